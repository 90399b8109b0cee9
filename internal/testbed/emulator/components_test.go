package emulator

import (
	"slices"
	"testing"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
)

// testContainer returns an accepted container. All of them have the same deduplicated idempotency key.
func testContainer(id string) *container {
	spec := protocol.ContainerSpec{ContainerID: id, IdempotencyKey: "key", DedupWindow: toProtocol(time.Minute)}
	c := newContainer(attemptKey{attemptID: uint64(len(id))}, &protocol.Offer{Spec: spec}, 1)
	c.applyOrLog(offerAccepted)
	return c
}

func TestSlowStartCountsOffersInAWindow(t *testing.T) {
	spec := &MachineSpec{SlowStartPeriod: time.Minute, SlowStartWindow: time.Second, SlowStartCapacity: 2}
	s := slowStart{spec: spec}
	began := time.Now()
	for _, offer := range []struct {
		after    time.Duration
		exceeded bool
	}{
		{0, false},
		{500, false},
		{1200, false},
		{1300, true},
		{2400, false},
		{60_000, false},
		{60_001, false},
		{60_002, false},
	} {
		at := began.Add(offer.after * time.Millisecond)
		got := s.countOffer(began, at)
		testutil.Expect(t, got == offer.exceeded, "after %d ms: exceeded %v", offer.after, got)
	}
}

func TestImageCacheKeepsRecentAndRunning(t *testing.T) {
	c := newImageCache(2)
	c.acquire("a")
	for _, service := range []string{"a", "b", "a", "c", "d"} {
		c.touch(service)
	}
	testutil.Expect(t, slices.Equal(c.recent, []string{"d", "c"}) && c.has("a") && !c.has("b"), "%+v", c)
	if c.release("a"); c.has("a") {
		t.Errorf("cache %+v after the last container of a", c)
	}
}

func TestStartQueueKeepsLimitAndSkipsEnded(t *testing.T) {
	q := startQueue{limit: 2}
	all := []*container{testContainer("a"), testContainer("b"), testContainer("c"), testContainer("d")}
	for _, c := range all {
		q.push(c)
	}
	all[1].applyOrLog(containerTerminated)
	var started []*container
	for c, ok := q.next(); ok; c, ok = q.next() {
		started = append(started, c)
	}
	if !slices.Equal(started, []*container{all[0], all[2]}) || q.length() != 1 {
		t.Errorf("%d containers start, %d wait", len(started), q.length())
	}
	q.done()
	if c, ok := q.next(); !ok || c != all[3] {
		t.Error("a completed start does not free its slot")
	}
}

func TestDedupGroupHoldsKeyUntilWindowEnds(t *testing.T) {
	var g DedupGroup
	first, second := testContainer("a"), testContainer("b")
	claims := func(c *container) bool { return g.claim(c, time.Minute) }
	testutil.Expect(t, claims(first) && !claims(second), "want the key claimed by the first container only")
	if g.cancel(first); !claims(second) {
		t.Error("the key of a container that never ran is still claimed")
	}
	if g.expire(second); claims(first) {
		t.Error("the key of a container that ran was freed before its window ended")
	}
}

func TestMachineListSendsDeltasAndSnapshots(t *testing.T) {
	machines := []*Machine{{MachineSpec: MachineSpec{Name: "a"}}, {MachineSpec: MachineSpec{Name: "b"}}}
	a, b := protocol.MachineEntry{Machine: "a"}, protocol.MachineEntry{Machine: "b"}
	gone := protocol.MachineEntry{Machine: "a", State: protocol.MachineGone}
	h := newListHistory()
	for _, step := range []struct {
		observed []protocol.MachineEntry
		changed  int
	}{{[]protocol.MachineEntry{a, b}, 2}, {[]protocol.MachineEntry{a, b}, 0}, {[]protocol.MachineEntry{gone, b}, 1}} {
		if changed := h.apply(step.observed); len(changed) != step.changed {
			t.Errorf("%v changes %v", step.observed, changed)
		}
	}
	if u := h.since(2, machines); u.FullSnapshot || u.Version != 3 || len(u.Entries) != 1 {
		t.Errorf("since version 2: %+v", u)
	}
	for _, version := range []int64{0, 4} {
		if u := h.since(version, machines); !u.FullSnapshot || len(u.Entries) != 1 || u.Entries[0].Machine != "b" {
			t.Errorf("since version %d: %+v", version, u)
		}
	}
}
