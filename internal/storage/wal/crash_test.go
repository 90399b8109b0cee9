package wal

import (
	"errors"
	"maps"
	"math/rand/v2"
	"syscall"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/testutil"

	"pgregory.net/rapid"
)

// crashModel runs a random history of commits and crashes and holds the expected states.
type crashModel struct {
	fs      *faultfs.FS
	history []map[string]string // the state after each commit
	durable int                 // the last commit that must be on disk
}

// acknowledgement is a durable commit, with the number of operations after which it was acknowledged.
type acknowledgement struct{ operations, commit int }

// After each crash, also during recovery, the directory holds the state after some commit, which is not earlier than
// the last commit that was acknowledged as durable.
func TestStateAfterCrashMatchesSomeCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &crashModel{fs: faultfs.New(), history: []map[string]string{{}}}
		for range rapid.IntRange(1, 5).Draw(t, "incarnations") {
			m.run(t)
		}
	})
}

// run opens the directory, commits, and crashes.
func (m *crashModel) run(t *rapid.T) {
	l, _ := mustOpen(t, m.fs, Options{MinSnapshotLog: rapid.SampledFrom([]int{300, 5000}).Draw(t, "small")})
	m.checkState(t, valuesOf(t, l.State()))
	opened := m.fs.OperationCount()
	var acknowledged []acknowledgement
	for range rapid.IntRange(0, 12).Draw(t, "commits") {
		if m.commit(t, l) {
			acknowledged = append(acknowledged, acknowledgement{m.fs.OperationCount(), len(m.history) - 1})
		}
	}
	mustClose(t, l)
	crash := rapid.IntRange(opened, m.fs.OperationCount()).Draw(t, "crash after")
	for _, a := range acknowledged {
		if a.operations <= crash {
			m.durable = a.commit
		}
	}
	seed := rapid.Uint64().Draw(t, "survival")
	m.fs = m.fs.Crash(crash, faultfs.KeepSome(rand.New(rand.NewPCG(seed, 1))))
	if rapid.Bool().Draw(t, "crash in recovery") {
		m.crashInRecovery(t, seed)
	}
}

// checkState finds the commit whose state the directory holds. The history continues from that commit.
func (m *crashModel) checkState(t *rapid.T, found map[string]string) {
	for commit := len(m.history) - 1; commit >= m.durable; commit-- {
		if maps.Equal(m.history[commit], found) {
			m.history, m.durable = m.history[:commit+1], commit
			return
		}
	}
	t.Fatalf("found %v, which is not the state of any commit from %d on", found, m.durable)
}

// commit draws a commit and returns whether it is durable.
func (m *crashModel) commit(t *rapid.T, l *Log) bool {
	next := maps.Clone(m.history[len(m.history)-1])
	var changes []Change
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		if rapid.Bool().Draw(t, "put") {
			next[key] = rapid.StringN(0, 80, 900).Draw(t, "value")
			changes = append(changes, putText(key, next[key]))
		} else {
			delete(next, key)
			changes = append(changes, Change{Kind: "k", Key: key})
		}
	}
	durable := rapid.Bool().Draw(t, "durable")
	mustCommit(t, l, durable, changes...)
	m.history = append(m.history, next)
	return durable
}

func (m *crashModel) crashInRecovery(t *rapid.T, seed uint64) {
	before := m.fs.OperationCount()
	l, _ := mustOpen(t, m.fs, Options{})
	mustClose(t, l)
	crash := rapid.IntRange(before, m.fs.OperationCount()).Draw(t, "after")
	m.fs = m.fs.Crash(crash, faultfs.KeepSome(rand.New(rand.NewPCG(seed, 2))))
}

// rewriteTrial is a log with a failing sync of its segment, and the acknowledged states.
type rewriteTrial struct {
	fs               *faultfs.FS
	log              *Log
	want             map[string]string
	acknowledged     []acknowledgedState
	segment          string
	failing          string   // the kind of operation that fails
	failed           bool     // an operation on the segment has failed
	usedAfterFailure []string // operations on the segment after the failure
}

// acknowledgedState is the state that must survive a crash after a number of operations.
type acknowledgedState struct {
	operations int
	want       map[string]string
}

func (r *rewriteTrial) commit(key string) error {
	err := commitAndWait(r.log, true, putText(key, key))
	if err == nil {
		r.want[key] = key
		r.acknowledged = append(r.acknowledged, acknowledgedState{r.fs.OperationCount(), maps.Clone(r.want)})
	}
	return err
}

func (r *rewriteTrial) mustCommit(t *testing.T, key string) {
	t.Helper()
	if err := r.commit(key); err != nil {
		t.Fatalf("%s: %v", key, err)
	}
}

// After a failed sync the same process rewrites the state as soon as the disk permits. Whenever the system crashes
// during the rewrite, acknowledged commits survive in every state in which the crash may leave the disk. The file whose
// sync failed is not used again.
func TestRewriteAfterFailedSyncSurvivesCrashes(t *testing.T) {
	for _, operation := range []string{"sync", "sync folder", "create", "rename", "remove", "write"} {
		t.Run("a sync fails, then "+operation, func(t *testing.T) {
			r := &rewriteTrial{fs: faultfs.New(), want: map[string]string{}}
			r.log, _ = mustOpen(t, r.fs, Options{})
			r.mustCommit(t, "a")
			r.mustCommit(t, "b")
			r.failSync(t, operation)
			mustClose(t, r.log)
			testutil.Expect(t, len(r.usedAfterFailure) == 0, "the failed file was used again: %v", r.usedAfterFailure)
			first := r.acknowledged[0].operations
			for operations := first; operations <= r.fs.OperationCount(); operations++ {
				r.checkCrash(t, operations)
			}
		})
	}
}

// failSync makes the sync of the segment fail, then an operation of the rewrite, and then lets all operations succeed.
func (r *rewriteTrial) failSync(t *testing.T, operation string) {
	t.Helper()
	names := mustList(t, r.fs)
	r.segment, r.failing = names[len(names)-1], "sync"
	r.fs.InjectError = r.injectError // stays set until the end, to record operations on the failed segment
	if err := r.commit("c"); !errors.Is(err, ErrSyncFailed) {
		t.Fatalf("%v", err)
	}
	r.failing = operation
	for range 2 {
		if err := r.commit("d"); !errors.Is(err, ErrSyncFailed) && operation != "remove" {
			t.Errorf("%v", err)
		}
	}
	r.failing = ""
	for _, key := range []string{"e", "f"} {
		if err := r.commit(key); err != nil {
			t.Errorf("%s after the failures: %v", key, err)
		}
	}
}

// injectError makes one kind of operation fail. The first sync that fails is that of the segment.
func (r *rewriteTrial) injectError(kind, name string) error {
	isSegment := name == r.segment
	if r.failed && isSegment && kind != "remove" {
		r.usedAfterFailure = append(r.usedAfterFailure, kind)
	}
	if kind != r.failing || kind == "sync" && !r.failed && !isSegment {
		return nil
	}
	r.failed = r.failed || isSegment
	return syscall.ENOSPC
}

// checkCrash opens the directory in several states in which a crash may leave it, and checks the acknowledged values.
func (r *rewriteTrial) checkCrash(t *testing.T, operations int) {
	t.Helper()
	want := map[string]string{}
	for _, a := range r.acknowledged {
		if a.operations <= operations {
			want = a.want
		}
	}
	for seed := range uint64(6) {
		survival := []faultfs.Survival{faultfs.LoseUnsynced, faultfs.KeepUnsynced}[seed%2]
		if seed > 1 {
			survival = faultfs.KeepSome(rand.New(rand.NewPCG(seed, uint64(operations))))
		}
		l, _, err := Open(r.fs.Crash(operations, survival), Options{})
		testutil.Require(t, err == nil, "crash after %d operations, survival %d: %v", operations, seed, err)
		found := valuesOf(t, l.State())
		mustClose(t, l)
		for key := range want {
			testutil.Require(t, found[key] == key,
				"crash after %d operations, survival %d: %s is missing in %v", operations, seed, key, found)
		}
	}
}
