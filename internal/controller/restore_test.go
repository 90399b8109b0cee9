package controller

import (
	"fmt"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

// jobDeleted, given as a count, means that the job is no longer stored.
const jobDeleted = -1

// restoreCase gives a stored container, the count of its job, and steps of driver.step. It then gives the state of the
// container, the number of requests sent for it, the scheduler and key of the last request, and the number of cancels.
type restoreCase struct {
	name        string
	idempotency scheduler.Idempotency
	state       ContainerState
	change      func(c *Container) // applied to the stored container
	count       int
	steps       string
	want        string
}

// Changes applied to the stored container.
func unchanged(*Container)          {}
func neverRequested(c *Container)   { c.Scheduler, c.RequestID, c.Submitted = -1, "", false }
func neverSubmitted(c *Container)   { c.Scheduler, c.Submitted = -1, false }
func sticky(c *Container)           { c.Sticky = true }
func schedulerRemoved(c *Container) { c.Scheduler = -1 }
func missing(c *Container)          { c.Job = "" }

const (
	idempotent = scheduler.Idempotent
	atMostOnce = scheduler.AtMostOnce
)

var restoreCases = []restoreCase{
	{"never requested", atMostOnce, StatePending, neverRequested, 1, "connect-other 1s", "placing 1 at 1 with j/0/41"},
	{"placing, another connected", atMostOnce, StatePlacing, unchanged, 1, "connect-other 9s", "unobserved 0"},
	{
		"placing, idempotent, another connected", idempotent, StatePlacing, unchanged, 1, "connect-other 5s",
		"unobserved 0",
	},
	{"placing, connected", atMostOnce, StatePlacing, unchanged, 1, "connect 2s", "placing 1 at 0 with j/0/41"},
	{"placing, accepted", atMostOnce, StatePlacing, unchanged, 1, "connect 2s accept", "running 1 at 0 with j/0/41"},
	{"running", atMostOnce, StateRunning, unchanged, 1, "connect 2s accept", "running 1 at 0 with j/0/41"},
	{
		"running, idempotent, scheduler not reconnected", idempotent, StateRunning, unchanged, 1, "connect-other 11s",
		"placing 1 at 1 with another key",
	},
	{"running, scheduler not reconnected", atMostOnce, StateRunning, unchanged, 1, "connect-other 60s", "unobserved 0"},
	{"sticky while pending", atMostOnce, StatePending, sticky, 1, "connect-other 9s", "unobserved 0"},
	{"fencing", atMostOnce, StateFencing, unchanged, 1, "connect 7s", "fencing 0"},
	{"fencing, delay over", atMostOnce, StateFencing, unchanged, 1, "connect 9s", "placing 1 at 0 with j/0/41"},
	{"completed", idempotent, StateCompleted, unchanged, 1, "connect 9s", "completed 0"},
	{"job deleted", atMostOnce, StateRunning, unchanged, jobDeleted, "connect 2s cancelled", "removed 0, 1 cancelled"},
	{"scaled down", atMostOnce, StateRunning, unchanged, 0, "connect 2s cancelled", "removed 0, 1 cancelled"},
	{"scaled down, never requested", atMostOnce, StatePending, neverSubmitted, 0, "", "removed 0"},
	{"scheduler removed", atMostOnce, StateRunning, schedulerRemoved, 1, "connect-other 60s", "pending 0"},
	{
		"scheduler removed, idempotent", idempotent, StateRunning, schedulerRemoved, 1, "connect-other 1s",
		"placing 1 at 1 with another key",
	},
	// Guards against indexing the schedulers with -1.
	{"scheduler removed, scaled down", atMostOnce, StateRunning, schedulerRemoved, 0, "connect 9s", "unobserved 0"},
	{
		"job without its container", atMostOnce, StatePending, missing, 1, "connect 1s",
		"placing 1 at 0 with another key",
	},
}

func TestRestoredContainerIsResumed(t *testing.T) {
	for _, tc := range restoreCases {
		t.Run(tc.name, func(t *testing.T) {
			spec := Spec{Service: "s", Cores: 1}
			stored := Container{
				Job: "j", State: tc.state, IdempotencyKey: "j/0/41", RequestID: "j/0#42", Submitted: true,
				SubmittedSpec: spec,
			}
			tc.change(&stored)
			d := newDriver(t, tc.idempotency)
			d.containers[0] = stored
			d.handle(restoredState(stored, tc.count, spec))
			d.steps(tc.steps)
			testutil.Equal(t, d.state()+d.lastTarget(stored)+d.cancelCount(), tc.want)
		})
	}
}

// restoredState returns an event with one container, unless the container has no job, and with its job, unless the job
// was deleted.
func restoredState(stored Container, count int, spec Spec) StateRestored {
	var e StateRestored
	if stored.Job != "" {
		e.Containers = []Container{stored}
	}
	if count != jobDeleted {
		e.Jobs = []JobSet{{"j", count, spec}}
	}
	return e
}

// lastTarget returns the scheduler and key of the last request as a text. The id of that request must not be the stored
// one.
func (d *driver) lastTarget(stored Container) string {
	d.Helper()
	if len(d.requests) == 0 {
		return ""
	}
	last := d.lastRequest()
	testutil.Expect(d, last.RequestID != stored.RequestID, "a request id of the earlier incarnation is used again")
	key := last.IdempotencyKey
	if key != stored.IdempotencyKey {
		key = "another key"
	}
	return fmt.Sprintf(" at %d with %s", last.Scheduler, key)
}

func TestRestartedControllerNumbersAboveStoredIDs(t *testing.T) {
	for _, stored := range []Container{
		{Job: "j", Scheduler: -1, IdempotencyKey: "j/0/41"},
		{Job: "j", Scheduler: -1, IdempotencyKey: "j/0/7", RequestID: "j/0#41"},
	} {
		d := newDriver(t, scheduler.Idempotent)
		d.handle(restoredState(stored, 2, Spec{}), SchedulerConnection{0, true})
		d.advanceTime(second)
		testutil.Require(t, len(d.requests) == 2, "%d requests, want 2", len(d.requests))
		for _, r := range d.requests {
			n := trailingNumber("#", r.RequestID)
			testutil.Expect(t, n > 41, "request %s is not numbered above 41", r.RequestID)
		}
		key := d.containers[1].IdempotencyKey
		testutil.Expect(t, trailingNumber("/", key) > 41, "key %s is not numbered above 41", key)
	}
}

// The containers with lower indexes are missing, and the last one ends at once. The gap and the last replica must leave
// the job's list in the same step.
func TestRestoredGapBeforeTheLastContainerIsDropped(t *testing.T) {
	d := newDriver(t, scheduler.Idempotent)
	d.handle(StateRestored{Containers: []Container{{Job: "j", Index: 2, Scheduler: -1, IdempotencyKey: "j/2/41"}}})
	d.handle(JobSet{"j", 1, Spec{}}, SchedulerConnection{0, true})
	d.advanceTime(second)
	testutil.Expect(t, len(d.requests) == 1 && len(d.containers) == 1,
		"%d requests for %d containers, want one of each", len(d.requests), len(d.containers))
}
