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

// The number of files in a directory stays bounded during commits, and loading it gives the committed state.
func TestSnapshotsBoundTheLog(t *testing.T) {
	dir, err := vfs.OpenLocked(t.TempDir())
	testutil.NoError(t, err)
	defer func() { testutil.ExpectNoError(t, dir.Close()) }()
	const wantSnapshots, leastCommits, mostCommits = 3, 3000, 300_000
	l, _ := mustOpen(t, dir, Options{MinSnapshotLog: 20_000})
	want := map[string]string{}
	var snapshots atomic.Int64 // written in the background, so their number after 3,000 commits varies
	for i := 0; i < leastCommits || snapshots.Load() < wantSnapshots && i < mostCommits; i++ {
		key, value := strconv.Itoa(i%50), strings.Repeat(strconv.Itoa(i), 20)
		want[key] = value
		l.Commit([]Change{putText(key, value)}, false, func(err error) {
			snapshots.Store(int64(l.Counters().Snapshots))
			testutil.ExpectNoError(t, err)
		})
		if i%20 == 0 { // otherwise all commits would form one group
			mustCommit(t, l, false)
		}
	}
	mustCommit(t, l, true)
	mustClose(t, l)
	counters := l.Counters()
	testutil.Expect(t, counters.Snapshots >= wantSnapshots, "%+v", counters)
	testutil.Expect(t, maps.Equal(valuesOf(t, mustLoad(t, dir)), want), "the loaded state is not the committed one")
	names := mustList(t, dir)
	testutil.Expect(t, len(names) <= 4, "%v", names)
}
