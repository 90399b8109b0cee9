package restart

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
)

// commitStats counts and times the commits of concurrent writers. Times are in microseconds.
type commitStats struct{ count, total, worst atomic.Int64 }

func (s *commitStats) record(took time.Duration) {
	microseconds := took.Microseconds()
	s.count.Add(1)
	s.total.Add(microseconds)
	for {
		worst := s.worst.Load()
		if microseconds <= worst || s.worst.CompareAndSwap(worst, microseconds) {
			return
		}
	}
}

// measureCommits measures the commits of a log with and without group commit, on the disk of the trial's folder.
func (t *Trial) measureCommits() error {
	if err := t.measureCommitsWith("without group commit", wal.Options{SyncEachCommit: true}); err != nil {
		return err
	}
	return t.measureCommitsWith("with group commit", wal.Options{})
}

func (t *Trial) measureCommitsWith(what string, options wal.Options) (err error) {
	const writers = 64
	fs, err := vfs.OpenLocked(t.path("commits " + what))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fs.Close()) }()
	log, _, err := wal.Open(fs, options)
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
	count, syncs := float64(max(1, stats.count.Load())), float64(max(1, counters.Syncs))
	t.Printf("commits, %d clients, %s: %.0f a second, mean %.2f ms, worst %.1f ms; %d syncs of mean %.3f ms\n",
		writers, what, count/length.Seconds(),
		float64(stats.total.Load())/1000/count, float64(stats.worst.Load())/1000,
		counters.Syncs, counters.SyncTime.Seconds()*1000/syncs)
	return nil
}

// commitForOneSecond commits changes one after the other for a second. It stops at the first error.
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
