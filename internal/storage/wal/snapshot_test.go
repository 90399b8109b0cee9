package wal

import (
	"maps"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"glenport/internal/storage/vfs"
	"glenport/internal/testutil"
)

// A directory holds a bounded amount while commits go on, and is read as it was written.
func TestSnapshotsBoundTheLog(t *testing.T) {
	dir, err := vfs.OpenLocked(t.TempDir())
	testutil.NoError(t, err)
	defer func() { testutil.ExpectNoError(t, dir.Close()) }()
	const wantSnapshots, leastCommits, mostCommits = 3, 3000, 300_000
	l, _ := mustOpen(t, dir, Options{MinSnapshotLog: 20_000})
	want := map[string]string{}
	var snapshots atomic.Int64 // written in the background, so how many 3,000 commits lead to is chance
	for i := 0; i < leastCommits || snapshots.Load() < wantSnapshots && i < mostCommits; i++ {
		key, value := strconv.Itoa(i%50), strings.Repeat(strconv.Itoa(i), 20)
		want[key] = value
		l.Commit([]Change{putText(key, value)}, false, func(err error) {
			snapshots.Store(int64(l.Counters().Snapshots))
			testutil.ExpectNoError(t, err)
		})
		if i%20 == 0 { // otherwise all is one group
			mustCommit(t, l, false)
		}
	}
	mustCommit(t, l, true)
	mustClose(t, l)
	if counters := l.Counters(); counters.Snapshots < wantSnapshots {
		t.Errorf("%+v", counters)
	}
	testutil.Expect(t, maps.Equal(valuesOf(t, mustLoad(t, dir)), want), "not what was written")
	if names := mustList(t, dir); len(names) > 4 {
		t.Errorf("%v", names)
	}
}
