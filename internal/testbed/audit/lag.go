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

// timedOut reports whether the timeout of an attempt had, or by the lag of its entry may have, expired at a time.
func (r *reporter) timedOut(a *attempt, at scheduler.Time) bool {
	return r.inTime(a.sent, at-a.timeout)
}

// inTime reports whether an event happened no later than a limit, or may have, given the lag of its own entry. The
// limit includes the slack. The entries for which only the lag decides are counted.
func (r *reporter) inTime(m entryTime, limit scheduler.Time) bool {
	if m.at <= limit {
		return true
	}
	if m.at-m.lag > limit {
		return false
	}
	r.widenedEntries[m.entry] = true
	r.WidenedEntries = len(r.widenedEntries)
	r.WidenedLag = max(r.WidenedLag, milliseconds(m.lag))
	return true
}
