// Package report prints the results of the testbed.
package report

import (
	"fmt"
	"io"
	"strings"

	"glenport/internal/testbed/audit"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Printf writes to a report. Its error is ignored: a trial's result is its exit status, and a reader that closed the
// terminal must not end a measurement.
func Printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// violationsPerRule is how many violations of a rule are printed.
const violationsPerRule = 3

// Violations writes the first violations of each rule and, where there are any, the numbers of the rules.
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

// RecordingLag writes how late the recording was, and for how many entries that was decisive.
func RecordingLag(out io.Writer, findings *audit.Report) {
	Printf(out, "recording lag: %.1f ms at most; %d entries judged with a slack widened by their own, "+
		"by %.1f ms at most\n",
		findings.LargestLag, findings.WidenedEntries, findings.WidenedLag)
}

// QuantileMS is a quantile, in milliseconds, of a histogram in microseconds.
func QuantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
