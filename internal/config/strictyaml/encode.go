package strictyaml

import (
	"math"
	"strconv"
)

// given is the position of a value that was not read from a file.
var given = Position{Line: 1, Column: 1}

// IsZero reports whether a value was left out; such a value is not written.
func (p Position) IsZero() bool { return !p.IsSet() }

// NewString returns a text to be written.
func NewString(value string) String { return String{given, value} }

// NewFloat returns a number to be written.
func NewFloat(value float64) Float { return Float{given, value} }

// NewCount returns a whole number to be written.
func NewCount(value int) Count { return Count{given, value} }

// NewBool returns true or false to be written.
func NewBool(value bool) Bool { return Bool{given, value} }

// NewDuration returns a length of time to be written.
func NewDuration(ticks int64) Duration { return Duration{given, ticks} }

// NewMemory returns an amount of memory to be written.
func NewMemory(gib float64) Memory { return Memory{given, gib} }

// MarshalYAML writes the text.
func (s String) MarshalYAML() (any, error) { return s.Value, nil }

// MarshalYAML writes the number.
func (v Float) MarshalYAML() (any, error) { return v.Value, nil }

// MarshalYAML writes the number.
func (v Count) MarshalYAML() (any, error) { return v.Value, nil }

// MarshalYAML writes true or false.
func (v Bool) MarshalYAML() (any, error) { return v.Value, nil }

// MarshalYAML writes the time in the longest unit of which it is a whole multiple, and in ms otherwise.
func (v Duration) MarshalYAML() (any, error) {
	return formatQuantity(float64(v.Ticks), durationUnits, func(amount float64) bool {
		return amount == math.Trunc(amount)
	}), nil
}

// MarshalYAML writes the amount in the largest unit of which it is one at least, and in KiB otherwise.
func (v Memory) MarshalYAML() (any, error) {
	return formatQuantity(v.GiB, memoryUnits, func(amount float64) bool { return amount >= 1 }), nil
}

// formatQuantity writes an amount of the base unit in the largest unit that suits it, and in the first, which is the
// smallest, if none does.
func formatQuantity(amount float64, units []unit, suits func(float64) bool) string {
	best := units[0]
	for _, u := range units[1:] {
		if u.size > best.size && amount > 0 && suits(amount/u.size) {
			best = u
		}
	}
	return strconv.FormatFloat(amount/best.size, 'f', -1, 64) + best.name
}
