package restart

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testbed/report"
)

// commitStats counts the commits of concurrent writers; times are in microseconds.
type commitStats struct{ count, total, worst atomic.Int64 }

func (s *commitStats) record(took time.Duration) {
	microseconds := took.Microseconds()
	s.count.Add(1)
	s.total.Add(microseconds)
	for worst := s.worst.Load(); microseconds > worst && !s.worst.CompareAndSwap(worst, microseconds); worst = s.worst.Load() {
	}
}

// measureCommits measures the log with and without group commit, on the disk that there is.
func (t *Trial) measureCommits(dir string) error {
	for _, syncEach := range []bool{true, false} {
		if err := t.measureCommitsOf(fmt.Sprint(dir, syncEach), syncEach); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) measureCommitsOf(dir string, syncEach bool) (err error) {
	const writers = 64
	fs, err := vfs.OpenLocked(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fs.Close()) }()
	log, _, err := wal.Open(fs, wal.Options{SyncEachCommit: syncEach})
	if err != nil {
		return err
	}
	var stats commitStats
	var writing sync.WaitGroup
	began := time.Now()
	for writer := range writers {
		writing.Go(func() { commitForOneSecond(log, writer, began, &stats) })
	}
	writing.Wait()
	length := time.Since(began)
	if err := log.Close(); err != nil {
		return err
	}
	counters := log.Counters()
	report.Printf(
		t.Out,
		"commits, %d clients, group commit %v: %.0f a second, mean %.2f ms, worst %.1f ms; %d syncs of mean %.3f ms\n",
		writers,
		!syncEach,
		float64(stats.count.Load())/length.Seconds(),
		float64(stats.total.Load())/1000/float64(max(1, stats.count.Load())),
		float64(
			stats.worst.Load(),
		)/1000,
		counters.Syncs,
		counters.SyncTime.Seconds()*1000/float64(max(1, counters.Syncs)),
	)
	return nil
}

// commitForOneSecond commits one change after the other; it ends at the first error.
func commitForOneSecond(log *wal.Log, writer int, began time.Time, stats *commitStats) {
	value := make([]byte, 200)
	for i := 0; time.Since(began) < time.Second; i++ {
		started, done := time.Now(), make(chan error, 1)
		change := wal.Change{Kind: "k", Key: fmt.Sprint(writer, i%1000), Value: value}
		log.Commit([]wal.Change{change}, true, func(err error) { done <- err })
		if <-done != nil {
			return
		}
		stats.record(time.Since(started))
	}
}
