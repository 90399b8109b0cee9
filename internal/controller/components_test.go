package controller

import (
	"slices"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

func TestTimersFireInOrderAndStaleOnesDoNot(t *testing.T) {
	now := &clock{}
	timers := newTimerQueue(now, &sequence{})
	first, second, cancelled, replaced := &replica{}, &replica{}, &replica{}, &replica{}
	timers.set(cancelled, 5)
	timers.set(replaced, 10)
	timers.set(first, 10)
	timers.set(second, 10)
	timers.cancel(cancelled)
	at := timers.set(replaced, noTimer)
	testutil.Expect(t, at == 0, "noTimer is due at %d, want 0", at)
	if after, ok := timers.nextWakeup(3); after != 3 || !ok {
		t.Errorf("wakeup after %d, %t, want after 3, when the other component is due", after, ok)
	}
	if after, ok := timers.nextWakeup(0); ok {
		t.Errorf("wakeup after %d, want none as an earlier one covers it", after)
	}
	now.set(9)
	testutil.Equal(t, timers.nextDue(), nil, "a timer fired early, or a cancelled timer fired")
	now.set(10)
	if a, b, c := timers.nextDue(), timers.nextDue(), timers.nextDue(); a != first || b != second || c != nil {
		t.Error("timers due at the same time did not fire in the order in which they were set")
	}
}

func TestOrphansAreCancelledWhileTheirSchedulerIsConnected(t *testing.T) {
	now := &clock{time: 1}
	schedulers := newSchedulerSet(2)
	orphans := newOrphanTable(now, schedulers)
	a, b, elsewhere := Orphan{0, "a"}, Orphan{0, "b"}, Orphan{1, "a"}
	check := func(span scheduler.Time, wantNext scheduler.Time, want ...Orphan) {
		t.Helper()
		now.set(now.now() + span)
		if due, next := orphans.takeDue(); !slices.Equal(due, want) || next != wantNext {
			t.Errorf("at %d: got %v and %d, want %v and %d", now.now(), due, next, want, wantNext)
		}
	}
	orphans.restore(elsewhere)
	orphans.record(b)
	orphans.record(a)
	check(orphanCancelDelay, 0)
	schedulers.apply(SchedulerConnection{0, true})
	orphans.reschedule(0)
	check(0, now.now()+orphanCancelDelay)
	check(orphanCancelDelay, 0, a, b)
	check(orphanCancelDelay, 0)
	orphans.scheduleRetry(a, 5*scheduler.Second)
	orphans.scheduleRetry(Orphan{1, "unknown"}, 0)
	check(5*scheduler.Second, 0, a)
	testutil.Expect(t, orphans.resolve(a) && !orphans.resolve(a), "an orphan is not resolved exactly once")
}

func TestOnlyConnectedSchedulersAreDrawn(t *testing.T) {
	schedulers, random := newSchedulerSet(3), newRandomSource(1)
	n := schedulers.draw(random)
	testutil.Expect(t, n == noScheduler && !schedulers.isConnected(noScheduler), "scheduler %d drawn, want none", n)
	for _, e := range []SchedulerConnection{{0, true}, {2, true}} {
		testutil.Expect(t, schedulers.apply(e) && !schedulers.apply(e), "%+v is not applied exactly once", e)
	}
	if schedulers.apply(SchedulerConnection{3, true}) || schedulers.apply(SchedulerConnection{-1, true}) {
		t.Error("a connection of a scheduler that is not configured was applied")
	}
	drawn := map[int]int{}
	for range 100 {
		drawn[schedulers.draw(random)]++
	}
	testutil.Expect(t, drawn[0] != 0 && drawn[2] != 0 && drawn[0]+drawn[2] == 100,
		"drawn: %v, want only 0 and 2, each at least once", drawn)
}
