package audit

import (
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// entryTime is the time at which an entry was recorded. The recorded event may have happened earlier, by at most the
// lag that the proxy measured.
type entryTime struct {
	entry   int // number of the entry in the recording; 0 for the end of the recording
	at, lag scheduler.Time
}

func newEntryTime(entry int, e *faultproxy.Entry) entryTime {
	return entryTime{entry: entry, at: scheduler.Time(e.At), lag: scheduler.Time(e.Lag)}
}

// timedOut reports whether an attempt had timed out at a given time, or may have timed out given the lag of its entry.
func (r *reporter) timedOut(a *attempt, at scheduler.Time) bool {
	return r.inTime(a.sent, at-a.timeout)
}

// inTime reports whether a recorded event happened by a limit, or may have happened by then given the lag of its entry.
// The caller adds the slack to the limit. Entries that are in time only because of their lag are counted.
func (r *reporter) inTime(event entryTime, limit scheduler.Time) bool {
	if event.at <= limit {
		return true
	}
	if event.at-event.lag > limit {
		return false
	}
	r.widenedEntries[event.entry] = true
	r.WidenedEntries = len(r.widenedEntries)
	r.WidenedLag = max(r.WidenedLag, milliseconds(event.lag))
	return true
}
