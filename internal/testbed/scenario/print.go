package scenario

import (
	"fmt"
	"io"
)

// printf writes to a report. Its error is ignored: a trial's result is its exit status, and a reader that closed the
// terminal must not end a measurement.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
