package audit

import (
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// moment is when an entry was recorded. What the entry says may have been so for the lag before that, which the proxy
// measured.
type moment struct {
	entry   int // its number in the recording; 0 for the end of the recording
	at, lag scheduler.Time
}

func newMoment(entry int, e *faultproxy.Entry) moment {
	return moment{entry: entry, at: scheduler.Time(e.At), lag: scheduler.Time(e.Lag)}
}

// timedOut reports whether an attempt's timeout was over at some time.
func (r *reporter) timedOut(a *attempt, at scheduler.Time) bool {
	return r.inTime(a.sent, at-a.timeout)
}

// inTime reports whether what was recorded at a moment was not after a limit that has the slack in it already, or may
// not have been by the lag of its own entry. It counts the entries for which only the lag decides.
func (r *reporter) inTime(m moment, limit scheduler.Time) bool {
	if m.at <= limit {
		return true
	}
	if m.at-m.lag > limit {
		return false
	}
	r.widened[m.entry] = true
	r.WidenedEntries = len(r.widened)
	r.WidenedLag = max(r.WidenedLag, milliseconds(m.lag))
	return true
}
