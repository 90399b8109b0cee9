package strictyaml

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// unit is a unit of measurement.
type unit struct {
	name string
	size float64 // in the base unit
}

var (
	durationUnits = []unit{{"ms", 10}, {"min", 600_000}, {"s", 10_000}, {"h", 36_000_000}}                   // in ticks
	memoryUnits   = []unit{{"KiB", 1.0 / (1 << 20)}, {"MiB", 1.0 / (1 << 10)}, {"GiB", 1}, {"TiB", 1 << 10}} // in GiB
)

// parseQuantity parses a non-negative number followed by one of the units, and returns the amount in the base unit.
func parseQuantity(text string, units []unit) (float64, error) {
	end := strings.LastIndexAny(text, "0123456789.") + 1
	number, err := strconv.ParseFloat(text[:end], 64)
	if err != nil || number < 0 || math.IsInf(number, 0) {
		return 0, fmt.Errorf("%q is no amount from 0", text)
	}
	suffix := text[end:]
	names := make([]string, 0, len(units))
	for _, u := range units {
		if suffix == u.name {
			return number * u.size, nil
		}
		names = append(names, u.name)
	}
	if suffix == "" {
		return 0, fmt.Errorf("%q has no unit; write one of %s after it", text, strings.Join(names, ", "))
	}
	return 0, fmt.Errorf("%q has the unit %q, which is none of %s", text, suffix, strings.Join(names, ", "))
}
