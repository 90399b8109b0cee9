package warmstart

import (
	"slices"

	"glenport/scheduler"
)

// transitDivisor limits the transit time of a send to 1/transitDivisor of the slow-start window. A send that was made
// up to the transit time before a machine started may have reached the machine after the start.
const transitDivisor = 8

// SlowStartSends are the attempts and probes sent to one incarnation of a machine while it was in slow start.
type SlowStartSends struct {
	Machine     scheduler.MachineID `cbor:"Machine"`
	Incarnation uint64              `cbor:"Start"` // incarnation of the machine
	Times       []scheduler.Time    `cbor:"Times"` // in order
}

// last returns the time of the latest send. Times must not be empty.
func (s SlowStartSends) last() scheduler.Time { return s.Times[len(s.Times)-1] }

// MachineLookup returns the start of a machine according to the machine list, and whether the machine is listed.
type MachineLookup func(scheduler.MachineID) (MachineStart, bool)

// SendLedger tracks the sends to machines, so that the slow-start budget of a machine is also enforced across restarts
// of the scheduler. Sends to a machine in slow start must be recorded in the log before they are made. Sends to other
// machines are kept in memory for two windows: if a start of such a machine is observed late, the sends may have
// reached it in slow start, and are recorded then. The record of a machine is dropped when its slow start is over or
// the machine is gone.
type SendLedger struct {
	slowStartPeriod scheduler.Time
	window          scheduler.Time
	recordedSends   map[scheduler.MachineID]*SlowStartSends
	unrecordedSends map[scheduler.MachineID][]scheduler.Time // in order, all later than the recorded sends
}

// NewSendLedger returns an empty ledger for a slow-start budget that applies per window.
func NewSendLedger(slowStartPeriod, window scheduler.Time) *SendLedger {
	return &SendLedger{
		slowStartPeriod: slowStartPeriod,
		window:          window,
		recordedSends:   map[scheduler.MachineID]*SlowStartSends{},
		unrecordedSends: map[scheduler.MachineID][]scheduler.Time{},
	}
}

// Restore records the sends of earlier incarnations of the scheduler. The map incarnations holds the incarnation of
// each machine.
func (l *SendLedger) Restore(r RestoredState, incarnations map[scheduler.MachineID]uint64) {
	for _, machine := range r.Snapshot.Machines {
		if len(machine.RecentSends) > 0 {
			l.recordedSends[machine.Machine] = &SlowStartSends{
				Machine:     machine.Machine,
				Incarnation: incarnations[machine.Machine],
				Times:       slices.Clone(machine.RecentSends),
			}
		}
	}
}

// ResolvePending records the pending sends to machine starts that the machine list names only now: a restored list may
// be older than these starts. It returns the sends that it recorded, by machine, and the sends that are still pending.
// Sends older than two windows are dropped.
func (l *SendLedger) ResolvePending(now scheduler.Time, pending []SlowStartSends,
	lookup MachineLookup,
) (resolved []scheduler.MachineSnapshot, left []SlowStartSends) {
	for _, sends := range pending {
		start, listed := lookup(sends.Machine)
		switch {
		case sends.last() <= l.cutoff(now):
		case !listed || start.Incarnation != sends.Incarnation:
			left = append(left, sends)
		default:
			l.resolve(sends)
			resolved = append(resolved,
				scheduler.MachineSnapshot{Machine: sends.Machine, StartedAt: start.StartedAt, RecentSends: sends.Times})
		}
	}
	return resolved, left
}

// resolve makes pending sends the record of their machine. Sends recorded for an earlier start of the machine may have
// reached the later start, so they are kept as unrecorded sends.
func (l *SendLedger) resolve(sends SlowStartSends) {
	if earlier := l.recordedSends[sends.Machine]; earlier != nil && earlier.Incarnation != sends.Incarnation {
		l.unrecordedSends[sends.Machine] = append(earlier.Times, l.unrecordedSends[sends.Machine]...)
	}
	sends.Times = slices.Clone(sends.Times)
	l.recordedSends[sends.Machine] = &sends
}

// RecordSend counts an attempt or probe that is about to be sent. It returns the sends that must be in the log first,
// and whether there are any.
func (l *SendLedger) RecordSend(now scheduler.Time, id scheduler.MachineID, start MachineStart) (SlowStartSends, bool) {
	if !l.inSlowStart(now, start) {
		l.unrecordedSends[id] = append(l.recent(now, l.unrecordedSends[id]), now)
		return SlowStartSends{}, false
	}
	sends := l.sendsReaching(now, id, start)
	sends.Times = append(sends.Times, now)
	l.recordedSends[id] = sends
	return *sends, true
}

// IncarnationObserved handles a start that was just observed. It returns the earlier sends that may have reached the
// start and must be recorded now, and whether there are any.
func (l *SendLedger) IncarnationObserved(
	now scheduler.Time,
	id scheduler.MachineID,
	start MachineStart,
) (SlowStartSends, bool) {
	if !l.inSlowStart(now, start) || l.upToDate(id, start) {
		return SlowStartSends{}, false
	}
	sends := l.sendsReaching(now, id, start)
	if len(sends.Times) == 0 {
		return SlowStartSends{}, false
	}
	l.recordedSends[id] = sends
	return *sends, true
}

// upToDate reports whether the record of a machine is for this start and complete.
func (l *SendLedger) upToDate(id scheduler.MachineID, start MachineStart) bool {
	sends := l.recordedSends[id]
	return sends != nil && sends.Incarnation == start.Incarnation && len(l.unrecordedSends[id]) == 0
}

// sendsReaching returns the sends of the last two windows that may have reached a start, and drops the unrecorded sends
// to the machine.
func (l *SendLedger) sendsReaching(now scheduler.Time, id scheduler.MachineID, start MachineStart) *SlowStartSends {
	tooEarly := start.StartedAt - l.window/transitDivisor - 1 // sends up to this time cannot have reached the start
	sends := l.recordedSends[id]
	if sends == nil {
		sends = &SlowStartSends{Machine: id, Incarnation: start.Incarnation}
	} else if sends.Incarnation != start.Incarnation {
		sends = &SlowStartSends{Machine: id, Incarnation: start.Incarnation, Times: after(tooEarly, sends.Times)}
	}
	sends.Times = l.recent(now, append(sends.Times, after(tooEarly, l.unrecordedSends[id])...))
	delete(l.unrecordedSends, id)
	return sends
}

// Expire drops the records of machines that are no longer in slow start, or gone, and returns these machines, sorted.
// It keeps the sends of the last two windows as unrecorded sends, because they may have reached a machine start that
// is observed only later.
func (l *SendLedger) Expire(now scheduler.Time, lookup MachineLookup) []scheduler.MachineID {
	var expired []scheduler.MachineID
	for id, sends := range l.recordedSends {
		if l.expired(now, sends, lookup) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		l.unrecordedSends[id] = append(l.recordedSends[id].Times, l.unrecordedSends[id]...)
		delete(l.recordedSends, id)
	}
	for id, times := range l.unrecordedSends {
		if l.unrecordedSends[id] = l.recent(now, times); len(l.unrecordedSends[id]) == 0 {
			delete(l.unrecordedSends, id)
		}
	}
	return expired
}

func (l *SendLedger) expired(now scheduler.Time, sends *SlowStartSends, lookup MachineLookup) bool {
	start, listed := lookup(sends.Machine)
	if !listed { // within two windows the machine may be listed again without a restart
		return sends.last() <= l.cutoff(now)
	}
	return start.Incarnation != sends.Incarnation || !l.inSlowStart(now, start)
}

func (l *SendLedger) inSlowStart(now scheduler.Time, start MachineStart) bool {
	return start.StartedAt != 0 && now < start.StartedAt+l.slowStartPeriod
}

// cutoff returns the time up to which sends are dropped.
func (l *SendLedger) cutoff(now scheduler.Time) scheduler.Time { return now - 2*l.window }

func (l *SendLedger) recent(now scheduler.Time, times []scheduler.Time) []scheduler.Time {
	return after(l.cutoff(now), times)
}

// after returns the times that are later than t, from times in order.
func after(t scheduler.Time, times []scheduler.Time) []scheduler.Time {
	for len(times) > 0 && times[0] <= t {
		times = times[1:]
	}
	return times
}
