package scenario

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"glenport/internal/testbed/audit"
)

// violationsPerRule is how many violations of a rule are printed.
const violationsPerRule = 3

// Print writes the outcome's figures and, last, whether the rules were kept.
func (o *Outcome) Print(out io.Writer) {
	o.printClients(out)
	for _, name := range slices.Sorted(maps.Keys(o.Status)) {
		stats := o.Status[name]
		printf(
			out,
			"%s: submission to bid p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms; busy %.1f%%, deciding %.1f%% of that; "+
				"%.0f taken over, %.0f MiB, %.0f goroutines\n",
			name,
			stats["placing p50"],
			stats["placing p99"],
			stats["placing p99.9"],
			100*stats["busy"]/stats["up"],
			100*stats["deciding"]/stats["busy"],
			stats["containers taken over"],
			stats["memory"],
			stats["goroutines"],
		)
	}
	report := o.Audit
	printf(
		out,
		"record: %d frames, %d submissions, %d offers, %d yeses; cold machines at most at %d of %d offers in a window, "+
			"%d pushed over; last offer after a drain was told %.1f ms\n",
		report.Frames,
		report.Submitted,
		report.Offers,
		report.Accepted,
		report.SlowStartPeak,
		report.SlowStartBudget,
		o.OverloadedMachines,
		report.DrainLatency,
	)
	PrintViolations(out, report)
	tally := &o.Tally
	if o.Passed() {
		printf(
			out,
			"rules: kept, one final answer for each of %d containers\n",
			tally.Submitted-tally.Unanswered-tally.Unsent,
		)
	} else if report.Passed() {
		printf(
			out,
			"rules: kept on the record, but %d containers without an answer and %d answers too many\n",
			tally.Pending,
			tally.DuplicateReplies,
		)
	}
}

// printClients writes what the clients saw.
func (o *Outcome) printClients(out io.Writer) {
	tally := &o.Tally
	printf(
		out,
		"owners: %d submitted (%d of them again), %d placed, %d pushed back, %d given up, %d turned away, "+
			"%d whose placer went first, %d unsent, %d without an answer, %d answers too many\n",
		tally.Submitted,
		tally.Retried,
		tally.Placed,
		tally.Rejected,
		tally.Failed,
		tally.NotAdmitted,
		tally.Unanswered,
		tally.Unsent,
		tally.Pending,
		tally.DuplicateReplies,
	)
	printf(
		out,
		"placed: %d ended in their owner's hearing, %d evicted, %d lost with a machine\n",
		tally.Ended,
		tally.Evicted,
		tally.Lost,
	)
	printf(
		out,
		"submission to yes: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
		quantileMS(tally.PlacementLatency, 50),
		quantileMS(tally.PlacementLatency, 99),
		quantileMS(tally.PlacementLatency, 99.9),
	)
}

// PrintViolations writes the first violations of each rule and, where there are any, the numbers of the rules.
func PrintViolations(out io.Writer, report *audit.Report) {
	byRule := map[audit.Rule]int{}
	for _, violation := range report.Violations {
		if byRule[violation.Rule]++; byRule[violation.Rule] <= violationsPerRule {
			printf(out, "%v\n", violation)
		}
	}
	if len(byRule) == 0 {
		return
	}
	summary := ""
	for rule := audit.RuleFinalReply; rule <= audit.LastRule; rule++ {
		if byRule[rule] > 0 {
			summary += fmt.Sprintf(" %d (%d times or more)", rule, byRule[rule])
		}
	}
	printf(out, "rules: broken:%s\n", summary)
}
