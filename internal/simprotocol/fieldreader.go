package simprotocol

import (
	"strconv"
	"strings"

	"glenport/scheduler"
)

// absentField is the text of an optional field that is not set.
const absentField = "-"

// Texts of a boolean field.
const (
	fieldFalse = "0"
	fieldTrue  = "1"
)

var booleanFields = map[bool]string{false: fieldFalse, true: fieldTrue}

// fieldReader decodes the fields of a line in order. It keeps the first error, which finish returns, so that callers
// check for errors only once.
type fieldReader struct {
	remaining []string
	err       error
}

func newFieldReader(line string) *fieldReader {
	return &fieldReader{remaining: strings.Split(line, " ")}
}

func (f *fieldReader) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// finish returns the first error. Unread fields are an error too.
func (f *fieldReader) finish() error {
	if len(f.remaining) > 0 {
		f.fail(&ExtraFieldsError{Count: len(f.remaining)})
	}
	return f.err
}

// text returns the next field, which must not be empty.
func (f *fieldReader) text() string {
	if len(f.remaining) == 0 {
		f.fail(ErrMissingField)
		return ""
	}
	field := f.remaining[0]
	f.remaining = f.remaining[1:]
	if field == "" {
		f.fail(ErrEmptyField)
	}
	return field
}

func (f *fieldReader) takeRemaining() []string {
	fields := f.remaining
	f.remaining = nil
	return fields
}

func (f *fieldReader) containerID() scheduler.ContainerID { return scheduler.ContainerID(f.text()) }
func (f *fieldReader) machineID() scheduler.MachineID     { return scheduler.MachineID(f.text()) }

func (f *fieldReader) parseNumber(field string) float64 {
	number, err := parseNumber(field)
	if err != nil {
		f.fail(err)
	}
	return number
}

func (f *fieldReader) number() float64 { return f.parseNumber(f.text()) }

func (f *fieldReader) numberOrZero() float64 {
	field := f.text()
	if field == absentField {
		return 0
	}
	return f.parseNumber(field)
}

func (f *fieldReader) time() scheduler.Time       { return timeFromMillis(f.number()) }
func (f *fieldReader) timeOrZero() scheduler.Time { return timeFromMillis(f.numberOrZero()) }

func (f *fieldReader) parseWholeNumber(field string) int {
	number, err := strconv.Atoi(field)
	if err != nil || number < 0 {
		f.fail(&ValueError{Value: field, Problem: "is no whole number from 0"})
		return 0
	}
	return number
}

func (f *fieldReader) wholeNumber() int { return f.parseWholeNumber(f.text()) }

func (f *fieldReader) wholeNumberOrZero() int {
	field := f.text()
	if field == absentField {
		return 0
	}
	return f.parseWholeNumber(field)
}

func (f *fieldReader) retryFlag() bool { return f.wholeNumberOrZero()&retryFlag != 0 }

func (f *fieldReader) boolean() bool {
	field := f.text()
	if field != fieldTrue && field != fieldFalse {
		f.fail(&ValueError{Value: field, Problem: "is neither 1 nor 0"})
	}
	return field == fieldTrue
}

// loadReport decodes name:value pairs. It leaves out pairs whose value is absent.
func (f *fieldReader) loadReport() scheduler.LoadReport {
	field := f.text()
	if field == absentField || field == "" {
		return nil
	}
	report := scheduler.LoadReport{}
	for pair := range strings.SplitSeq(field, ",") {
		name, value, found := strings.Cut(pair, ":")
		if !found {
			f.fail(&ReportError{Pair: pair})
			return nil
		}
		if value != absentField {
			report[name] = f.parseNumber(value)
		}
	}
	return report
}

// enumValue returns the value for the text of the next field.
func enumValue[T any](f *fieldReader, values map[string]T) T {
	text := f.text()
	value, known := values[text]
	if !known {
		f.fail(&ValueError{Value: text, Problem: "is not known here"})
	}
	return value
}
