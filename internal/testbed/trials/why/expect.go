package why

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// reasonLimit is the time in which a client must read the true reason.
const reasonLimit = time.Second

// codes are codes of reasons.
type codes []string

// expectation is what a client must read of a container.
type expectation struct {
	what      string // names the change before
	container string
	since     time.Time // when it became true
	want      codes     // codes that must be read
	not       codes     // codes that must not be read; all others may
	holds     func(pendingReasons) bool
}

func (e *expectation) met(read map[string]bool, answer pendingReasons) bool {
	if e.holds != nil && !e.holds(answer) {
		return false
	}
	for _, code := range e.want {
		if !read[code] {
			return false
		}
	}
	for _, code := range e.not {
		if read[code] {
			return false
		}
	}
	return true
}

// expect waits until the client reads the codes wanted and none of those excluded.
func (t *Trial) expect(what, container string, since time.Time, want, not codes) error {
	return t.expectMatching(expectation{what: what, container: container, since: since, want: want, not: not})
}

// expectMatching waits until what is read meets an expectation. It records the delay, and a miss if that is longer
// than reasonLimit.
func (t *Trial) expectMatching(e expectation) error {
	t.checks++
	for wrong := (pendingReasons{}); ; time.Sleep(10 * time.Millisecond) {
		read, answer, err := t.readCodes(e.container)
		if err != nil {
			return err
		}
		took := time.Since(e.since)
		switch {
		case e.met(read, answer):
			t.recordDelay(max(1, took.Milliseconds()))
			if took > reasonLimit {
				t.Missf("%s: the true reason was read after %d ms, before that %s %+v",
					e.what, took.Milliseconds(), wrong.State, wrong.Reasons)
			}
			return nil
		case took > 5*reasonLimit:
			t.Missf("%s: read [%s], true is [%s] and not [%s]", e.what,
				strings.Join(slices.Sorted(maps.Keys(read)), " "), strings.Join(e.want, " "), strings.Join(e.not, " "))
			t.recordDelay(took.Milliseconds())
			return nil
		}
		wrong = answer
	}
}

func (t *Trial) recordDelay(milliseconds int64) {
	_ = t.delays.RecordValue(milliseconds) // longer than its range is a miss already
}
