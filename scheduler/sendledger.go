package scheduler

import "slices"

// sendLedger holds the send times of attempts and probes to a machine, earliest first. Every machine has one, because
// any machine may have restarted without the scheduler knowing it yet.
type sendLedger struct{ sendTimes []Time }

func (l *sendLedger) record(at Time) { l.sendTimes = append(l.sendTimes, at) }

// dropUntil drops the sends up to and including a time and returns the rest.
func (l *sendLedger) dropUntil(end Time) []Time {
	for len(l.sendTimes) > 0 && l.sendTimes[0] <= end {
		l.sendTimes = l.sendTimes[1:]
	}
	return l.sendTimes
}

// dropBefore drops the sends before a time.
func (l *sendLedger) dropBefore(start Time) {
	for len(l.sendTimes) > 0 && l.sendTimes[0] < start {
		l.sendTimes = l.sendTimes[1:]
	}
}

// restore inserts the sends of an earlier incarnation of the scheduler before the sends of this incarnation.
func (l *sendLedger) restore(snapshot MachineSnapshot) {
	l.sendTimes = append(slices.Clip(snapshot.RecentSends), l.sendTimes...)
}
