package scheduler

import "slices"

// sendLedger holds the send times of attempts and probes to a machine, earliest first. Every machine has one, because
// any machine may have restarted without the scheduler knowing it yet.
type sendLedger struct{ sent []Time }

func (l *sendLedger) record(at Time) { l.sent = append(l.sent, at) }

// dropUntil drops the sends up to and including a time and returns the rest.
func (l *sendLedger) dropUntil(end Time) []Time {
	for len(l.sent) > 0 && l.sent[0] <= end {
		l.sent = l.sent[1:]
	}
	return l.sent
}

// dropBefore drops the sends before a time.
func (l *sendLedger) dropBefore(start Time) {
	for len(l.sent) > 0 && l.sent[0] < start {
		l.sent = l.sent[1:]
	}
}

// restore inserts the sends of an earlier incarnation of the scheduler before those of this one.
func (l *sendLedger) restore(snapshot MachineSnapshot) {
	l.sent = append(slices.Clip(snapshot.RecentSends), l.sent...)
}
