// Package report prints the results of the testbed.
package report

import (
	"fmt"
	"io"
	"strings"

	"glenport/internal/testbed/audit"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Printf writes to a report. It ignores write errors: the result of a trial is its exit status, and a closed terminal
// must not end a measurement.
func Printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// violationsPerRule is how many violations of each rule are printed.
const violationsPerRule = 3

// Violations writes the first violations of each rule and, if there are any, a summary line with the broken rules.
func Violations(out io.Writer, findings *audit.Report) {
	byRule := map[audit.Rule]int{}
	for _, violation := range findings.Violations {
		if byRule[violation.Rule]++; byRule[violation.Rule] <= violationsPerRule {
			Printf(out, "%v\n", violation)
		}
	}
	if len(byRule) == 0 {
		return
	}
	var summary strings.Builder
	for rule := audit.RuleFinalReply; rule <= audit.LastRule; rule++ {
		if byRule[rule] > 0 {
			fmt.Fprintf(&summary, " %d (%d times or more)", rule, byRule[rule])
		}
	}
	Printf(out, "rules: broken:%s\n", summary.String())
}

// RecordingLag writes the largest lag of the recording, and the number of entries that are in time only because of
// their lag.
func RecordingLag(out io.Writer, findings *audit.Report) {
	Printf(out, "recording lag: at most %.1f ms; %d entries needed their own lag added to the slack, "+
		"at most %.1f ms\n",
		findings.LargestLag, findings.WidenedEntries, findings.WidenedLag)
}

// QuantileMS returns a quantile, in milliseconds, of a histogram in microseconds.
func QuantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
