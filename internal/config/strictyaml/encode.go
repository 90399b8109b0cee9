package strictyaml

import (
	"math"
	"strconv"
)

// encodedPosition is the position of a value to be encoded, which was not read from a file. It makes IsSet return true.
var encodedPosition = Position{Line: 1, Column: 1}

// IsZero reports whether a value is not set. The encoder omits such a value.
func (p Position) IsZero() bool { return !p.IsSet() }

// NewString returns a text to be encoded.
func NewString(value string) String { return String{encodedPosition, value} }

// NewFloat returns a number to be encoded.
func NewFloat(value float64) Float { return Float{encodedPosition, value} }

// NewCount returns an integer to be encoded.
func NewCount(value int) Count { return Count{encodedPosition, value} }

// NewBool returns a boolean to be encoded.
func NewBool(value bool) Bool { return Bool{encodedPosition, value} }

// NewDuration returns a duration to be encoded.
func NewDuration(ticks int64) Duration { return Duration{encodedPosition, ticks} }

// NewMemory returns an amount of memory to be encoded.
func NewMemory(gib float64) Memory { return Memory{encodedPosition, gib} }

// MarshalYAML returns the text.
func (s String) MarshalYAML() (any, error) { return s.Value, nil }

// MarshalYAML returns the number.
func (v Float) MarshalYAML() (any, error) { return v.Value, nil }

// MarshalYAML returns the number.
func (v Count) MarshalYAML() (any, error) { return v.Value, nil }

// MarshalYAML returns the boolean.
func (v Bool) MarshalYAML() (any, error) { return v.Value, nil }

// MarshalYAML formats the duration in the longest unit of which it is a whole multiple, and in ms if there is none.
func (v Duration) MarshalYAML() (any, error) {
	return formatQuantity(float64(v.Ticks), durationUnits, func(amount float64) bool {
		return amount == math.Trunc(amount)
	}), nil
}

// MarshalYAML formats the amount in the largest unit in which it is at least 1, and in KiB if there is none.
func (v Memory) MarshalYAML() (any, error) {
	return formatQuantity(v.GiB, memoryUnits, func(amount float64) bool { return amount >= 1 }), nil
}

// formatQuantity formats an amount of the base unit in the largest unit for which fits returns true, and in the first
// and smallest unit if there is none.
func formatQuantity(amount float64, units []unit, fits func(float64) bool) string {
	best := units[0]
	for _, u := range units[1:] {
		if u.size > best.size && amount > 0 && fits(amount/u.size) {
			best = u
		}
	}
	return strconv.FormatFloat(amount/best.size, 'f', -1, 64) + best.name
}
