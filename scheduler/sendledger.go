package scheduler

import "slices"

// sendLedger holds when attempts and probes were sent to a machine, the earliest first. It is kept for every machine,
// as any may have restarted unnoticed.
type sendLedger struct{ sent []Time }

func (l *sendLedger) record(at Time) { l.sent = append(l.sent, at) }

// dropUntil drops what was sent up to a time and returns the rest.
func (l *sendLedger) dropUntil(end Time) []Time {
	for len(l.sent) > 0 && l.sent[0] <= end {
		l.sent = l.sent[1:]
	}
	return l.sent
}

// dropBefore keeps what was sent at a time or later.
func (l *sendLedger) dropBefore(start Time) {
	for len(l.sent) > 0 && l.sent[0] < start {
		l.sent = l.sent[1:]
	}
}

// restore puts what an earlier incarnation of the scheduler sent before what this one did.
func (l *sendLedger) restore(learned MachineSnapshot) {
	l.sent = append(slices.Clip(learned.RecentSends), l.sent...)
}
