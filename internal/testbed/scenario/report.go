package scenario

import (
	"io"
	"maps"
	"slices"

	"glenport/internal/testbed/report"
)

// Print writes the figures of the outcome and, at the end, whether the rules were kept.
func (o *Outcome) Print(out io.Writer) {
	o.printClients(out)
	o.printSchedulers(out)
	findings, tally := o.Audit, &o.Tally
	report.Printf(out, "recording: %d frames, %d submissions, %d offers, %d accepts; "+
		"machines in slow start at most at %d of %d offers in a window, %d overloaded; "+
		"last offer %.1f ms after a drain was reported\n",
		findings.Frames, findings.Submitted, findings.Offers, findings.Accepted,
		findings.SlowStartPeak, findings.SlowStartBudget, o.OverloadedMachines, findings.DrainLatency)
	report.RecordingLag(out, findings)
	report.Violations(out, findings)
	if o.Passed() {
		answered := tally.Submitted - tally.Unanswered - tally.Unsent
		report.Printf(out, "rules: kept, one final answer for each of %d containers\n", answered)
	} else if findings.Passed() {
		report.Printf(out, "rules: kept on the record, but %d containers without an answer and %d answers too many\n",
			tally.Pending, tally.DuplicateReplies)
	}
}

// printClients writes the counts and latencies that the clients measured.
func (o *Outcome) printClients(out io.Writer) {
	tally := &o.Tally
	report.Printf(out, "clients: %d submitted (%d of them retries), %d placed, %d rejected, %d failed, "+
		"%d not admitted, %d whose scheduler was killed, %d unsent, %d without an answer, %d answers too many\n",
		tally.Submitted, tally.Retried, tally.Placed, tally.Rejected, tally.Failed, tally.NotAdmitted,
		tally.Unanswered, tally.Unsent, tally.Pending, tally.DuplicateReplies)
	report.Printf(out, "placed: %d ended while their client was connected, %d evicted, %d lost with a machine\n",
		tally.Ended, tally.Evicted, tally.Lost)
	latency := tally.PlacementLatency
	report.Printf(out, "submission to accept: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
		report.QuantileMS(latency, 50), report.QuantileMS(latency, 99), report.QuantileMS(latency, 99.9))
}

// printSchedulers writes the statistics of each scheduler.
func (o *Outcome) printSchedulers(out io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(o.Status)) {
		stats := o.Status[name]
		report.Printf(out, "%s: submission to first attempt p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms; "+
			"busy %.1f%%, deciding %.1f%% of that; %.0f adopted, %.0f MiB, %.0f goroutines\n",
			name, stats["placing p50"], stats["placing p99"], stats["placing p99.9"],
			100*stats["busy"]/stats["up"], 100*stats["deciding"]/stats["busy"],
			stats["containers taken over"], stats["memory"], stats["goroutines"])
	}
}
