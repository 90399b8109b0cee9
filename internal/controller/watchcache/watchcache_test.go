package watchcache

import (
	"errors"
	"fmt"
	"testing"

	"glenport/internal/testutil"
)

func putJobs(c *Cache, n int) {
	for i := range n {
		c.Put("jobs", fmt.Sprintf("j%06d", i), i)
	}
}

func TestListIsPagedAndWatchResumesAfterVersion(t *testing.T) {
	c := New(func(o *Object) []byte { return []byte(o.ID) })
	putJobs(c, 10)
	odd := func(o *Object) bool { return o.Value.(int)%2 == 1 }
	page := c.List(Query{Kind: "jobs", After: "j000002", Limit: 3, Match: odd})
	testutil.Expect(t, len(page.Objects) == 3 && page.Objects[0].ID == "j000003" && page.More && page.Version == 10,
		"got %+v", page)
	w, err := c.Watch(8, "jobs")
	testutil.NoError(t, err)
	c.Put("machines", "m", 1)
	c.Delete("jobs", "j000000")
	testutil.Expect(t, !c.Delete("jobs", "j000000"), "the second deletion reports that the object existed")
	for _, want := range []string{"j000008", "j000009", "j000000"} {
		if o := <-w.Changes; o.ID != want {
			t.Errorf("got a change of %s, want %s", o.ID, want)
		}
	}
	w.Close()
}

// A watch from a version that is older than the history, or that has not been assigned, fails. It must not look like a
// watch without changes.
func TestWatchFromUnknownVersionIsCompacted(t *testing.T) {
	c := New(func(*Object) []byte { return nil })
	putJobs(c, historyLength+100)
	for _, tc := range []struct {
		from int64
		want error
	}{{99, ErrCompacted}, {100, nil}, {historyLength + 100, nil}, {historyLength + 101, ErrCompacted}} {
		w, err := c.Watch(tc.from, "jobs")
		testutil.Expect(t, errors.Is(err, tc.want), "watch from %d: unexpected result, error %v", tc.from, err)
		if err != nil {
			continue
		}
		for v := tc.from + 1; v <= historyLength+100; v++ {
			o := <-w.Changes
			testutil.Require(t, o.Version == v, "watch from %d: got version %d, want %d", tc.from, o.Version, v)
		}
	}
}

func TestStalledWatcherIsDroppedAndOthersMissNothing(t *testing.T) {
	c := New(func(*Object) []byte { return nil })
	stalled, err := c.Watch(0, "jobs")
	testutil.NoError(t, err)
	live, err := c.Watch(0, "jobs")
	testutil.NoError(t, err)
	for i := range watcherBuffer + 10 {
		c.Put("jobs", "j", i)
		o := <-live.Changes
		testutil.Require(t, o.Value.(int) == i, "got value %v, want %d", o.Value, i)
	}
	n := 0
	for range stalled.Changes {
		n++
	}
	testutil.Expect(t, n == watcherBuffer && len(c.watchers) == 1,
		"%d changes before the watcher was dropped, %d watchers left", n, len(c.watchers))
}
