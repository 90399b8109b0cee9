package protocol

import "math"

const (
	maxNameLength = 200  // bytes
	maxNumber     = 1e12 // maximum magnitude of measured values
)

// validator records the first problem found in a frame.
type validator struct{ err error }

func (v *validator) fail(field, problem string) {
	if v.err == nil {
		v.err = &FieldError{field, problem}
	}
}

func (v *validator) name(field, value string) {
	switch {
	case value == "":
		v.fail(field, "is empty")
	case len(value) > maxNameLength:
		v.fail(field, "is too long")
	}
}

func (v *validator) count(field string, value int) {
	if value < 0 || value > maxElements {
		v.fail(field, "is out of range")
	}
}

func (v *validator) duration(field string, value Duration) {
	if value < 0 || value > maxDuration {
		v.fail(field, "is out of range")
	}
}

func (v *validator) number(field string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || math.Abs(value) > maxNumber {
		v.fail(field, "is no usable number")
	}
}

// size checks a number that must not be negative.
func (v *validator) size(field string, value float64) {
	v.number(field, value)
	if value < 0 {
		v.fail(field, "is below 0")
	}
}

// enum checks that a value is at least first and below count.
func (v *validator) enum(field string, value, first, count int) {
	if value < first || value >= count {
		v.fail(field, "is unknown")
	}
}

// report checks a load report. The order of the checks is random, so any of several problems may be reported.
func (v *validator) report(report map[string]float64) {
	for name, value := range report {
		v.name("report", name)
		v.number("report", value)
	}
}
