package controller

import (
	"slices"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

func TestTimersFireInOrderAndVoidOnesDoNot(t *testing.T) {
	now := &clock{}
	timers := newTimerQueue(now, &sequence{})
	first, second, cancelled, replaced := &replica{}, &replica{}, &replica{}, &replica{}
	timers.set(cancelled, 5)
	timers.set(replaced, 10)
	timers.set(first, 10)
	timers.set(second, 10)
	timers.cancel(cancelled)
	if at := timers.set(replaced, noTimer); at != 0 {
		t.Errorf("no timer is due at %d, want 0", at)
	}
	if after, ok := timers.wakeup(3); after != 3 || !ok {
		t.Errorf("wakeup after %d, %t, want that of the other component", after, ok)
	}
	if after, ok := timers.wakeup(0); ok {
		t.Errorf("wakeup after %d, want none as an earlier one covers it", after)
	}
	now.set(9)
	testutil.Equal(t, timers.nextDue(), nil, "a timer fired early, or a cancelled one did")
	now.set(10)
	if a, b, c := timers.nextDue(), timers.nextDue(), timers.nextDue(); a != first || b != second || c != nil {
		t.Error("timers of one time did not fire in the order in which they were set")
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
	orphans.connectionChanged(0)
	check(0, now.now()+orphanCancelDelay)
	check(orphanCancelDelay, 0, a, b)
	check(orphanCancelDelay, 0)
	orphans.refused(a, 5*scheduler.Second)
	orphans.refused(Orphan{1, "unknown"}, 0)
	check(5*scheduler.Second, 0, a)
	testutil.Expect(t, orphans.resolve(a) && !orphans.resolve(a), "an orphan is not resolved once")
}

func TestSchedulersAreDrawnAmongThoseConnected(t *testing.T) {
	schedulers, random := newSchedulerSet(3), newRandomSource(1)
	if n := schedulers.draw(random); n != noScheduler || schedulers.isConnected(noScheduler) {
		t.Errorf("scheduler %d is drawn, want none", n)
	}
	for _, e := range []SchedulerConnection{{0, true}, {2, true}} {
		testutil.Expect(t, schedulers.apply(e) && !schedulers.apply(e), "%+v is not news once", e)
	}
	if schedulers.apply(SchedulerConnection{3, true}) || schedulers.apply(SchedulerConnection{-1, true}) {
		t.Error("a scheduler that is not configured is connected")
	}
	drawn := map[int]int{}
	for range 100 {
		drawn[schedulers.draw(random)]++
	}
	testutil.Expect(t, drawn[0] != 0 && drawn[2] != 0 && drawn[0]+drawn[2] == 100, "drawn: %v, want 0 and 2", drawn)
}
