package why

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// reasonLimit is the time within which a client must read the true reason.
const reasonLimit = time.Second

// codes is a list of reason codes.
type codes []string

// expectation describes the reasons that a client must read for a container.
type expectation struct {
	change    string // describes the change of state
	container string
	since     time.Time // when the change took effect
	want      codes     // codes that must be read
	forbidden codes     // codes that must not be read; codes in neither list are allowed
	condition func(pendingReasons) bool
}

func (e *expectation) met(read map[string]bool, answer pendingReasons) bool {
	if e.condition != nil && !e.condition(answer) {
		return false
	}
	for _, code := range e.want {
		if !read[code] {
			return false
		}
	}
	for _, code := range e.forbidden {
		if read[code] {
			return false
		}
	}
	return true
}

// expect waits until the client reads all codes of want and none of forbidden.
func (t *Trial) expect(change, container string, since time.Time, want, forbidden codes) error {
	return t.expectMatching(expectation{
		change: change, container: container, since: since, want: want, forbidden: forbidden,
	})
}

// expectMatching waits until the reasons read meet an expectation. It records the delay, and a failed check if the
// delay is longer than reasonLimit.
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
				t.Failf("%s: the true reason was read after %d ms, before that %s %+v",
					e.change, took.Milliseconds(), wrong.State, wrong.Reasons)
			}
			return nil
		case took > 5*reasonLimit:
			t.Failf("%s: read codes [%s], want [%s] and none of [%s]", e.change,
				strings.Join(slices.Sorted(maps.Keys(read)), " "), strings.Join(e.want, " "),
				strings.Join(e.forbidden, " "))
			t.recordDelay(took.Milliseconds())
			return nil
		}
		wrong = answer
	}
}

func (t *Trial) recordDelay(milliseconds int64) {
	_ = t.delays.RecordValue(milliseconds) // a value beyond the range is a failed check already
}
