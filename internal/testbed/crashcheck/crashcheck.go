// Package crashcheck checks the recovery of the log of package wal from the states that a crash may leave behind, on a
// file system in memory.
package crashcheck

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/wal"
)

// The sabotages of the log. A Check must detect each of them.
const (
	SabotageSync     = "sync"     // the log does not sync
	SabotageChecksum = "checksum" // the log does not verify checksums when it reads
)

// Check plays a history of commits on a folder in memory. It then recovers from a crash after every operation of the
// history, and from a second crash during recovery, and checks the recovered states.
type Check struct {
	Seed         uint64
	Commits      int
	RandomStates int    // random states per operation, besides all unsynced data lost and all kept
	Sabotage     string // SabotageSync, SabotageChecksum, or empty for none

	Operations    int // file-system operations of the history
	States        int // states recovered after one crash
	SecondCrashes int // states recovered after a crash of the recovery
	BitFlips      int
	Refused       int // bit flips that recovery detected
}

// commitPoint is one commit of the history.
type commitPoint struct {
	state          string // encoded state after the commit
	firstOperation int    // number of operations before the commit
	lastOperation  int    // number of operations when the commit was acknowledged
	durable        bool
}

// model is the state that a log must hold after some commits, by kind and key.
type model map[string]string

// commitHistory commits random changes and returns the expected state after each commit. Every commit changes the value
// of "n", so that all states differ.
func (c *Check) commitHistory(fs *faultfs.FS) ([]commitPoint, error) {
	log, _, err := wal.Open(fs, wal.Options{MinSnapshotLog: 2000})
	if err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(c.Seed, 3))
	expected := model{}
	commits := []commitPoint{{state: expected.encode()}}
	for n := range c.Commits {
		changes := randomChanges(n, r)
		expected.apply(changes)
		commit := commitPoint{state: expected.encode(), firstOperation: fs.OperationCount(), durable: r.IntN(3) > 0}
		done := make(chan error, 1)
		log.Commit(changes, commit.durable, func(err error) {
			commit.lastOperation = fs.OperationCount()
			done <- err
		})
		if err := <-done; err != nil {
			return nil, err
		}
		commits = append(commits, commit)
	}
	return commits, log.Close()
}

// randomChanges draws the changes of commit n.
func randomChanges(n int, r *rand.Rand) []wal.Change {
	changes := []wal.Change{{Kind: "count", Key: "n", Value: fmt.Append(nil, n+1)}}
	for range r.IntN(4) {
		change := wal.Change{Kind: "job", Key: strconv.Itoa(r.IntN(20))}
		if r.IntN(3) > 0 {
			change.Value = []byte(strings.Repeat(string(rune('a'+r.IntN(26))), r.IntN(700)+1))
		}
		changes = append(changes, change)
	}
	return changes
}

func (m model) apply(changes []wal.Change) {
	for _, change := range changes {
		key := change.Kind + "/" + change.Key
		if change.Value == nil {
			delete(m, key)
		} else {
			m[key] = string(change.Value)
		}
	}
}

func (m model) encode() string {
	var lines []string
	for key, value := range m {
		lines = append(lines, key+"="+value)
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

func encodeState(s *wal.State) string {
	state := model{}
	for _, kind := range s.Kinds() {
		_ = s.ForEach(kind, func(key string, value []byte) error { // fails only if the callback does, which it does not
			state[kind+"/"+key] = string(value)
			return nil
		})
	}
	return state.encode()
}

// recoverState recovers the log of a folder and returns its encoded state.
func (c *Check) recoverState(fs *faultfs.FS) (string, error) {
	log, _, err := wal.Open(fs, wal.Options{SkipChecksums: c.Sabotage == SabotageChecksum})
	if err != nil {
		return "", err
	}
	state := encodeState(log.State())
	return state, log.Close()
}

// Add adds the counts of another check.
func (c *Check) Add(other *Check) {
	c.Operations += other.Operations
	c.States += other.States
	c.SecondCrashes += other.SecondCrashes
	c.BitFlips += other.BitFlips
	c.Refused += other.Refused
}

// crashPoint is a crash after one of the operations of a history.
type crashPoint struct {
	operations int // number of operations before the crash
	commits    []commitPoint
	minCommit  int // the last commit that recovery must find
	maxCommit  int // the last commit that recovery may find
}

func newCrashPoint(operations int, commits []commitPoint) crashPoint {
	point := crashPoint{operations: operations, commits: commits}
	for i, commit := range commits {
		if i > 0 && commit.lastOperation <= operations && commit.durable {
			point.minCommit = i
		}
		if i > 0 && commit.firstOperation < operations {
			point.maxCommit = i
		}
	}
	return point
}

// Run makes the check and returns the first violation, or nil.
func (c *Check) Run() error {
	fs := faultfs.New()
	fs.IgnoreSync = c.Sabotage == SabotageSync
	commits, err := c.commitHistory(fs)
	if err != nil {
		return err
	}
	c.Operations = fs.OperationCount()
	r := rand.New(rand.NewPCG(c.Seed, 4))
	for operations := 0; operations <= c.Operations; operations++ {
		if err := c.checkCrashPoint(fs, newCrashPoint(operations, commits), r); err != nil {
			return err
		}
	}
	return c.flipBits(fs, commits, r)
}

// secondCrashInterval is the interval, in operations, of the crash points at which the recovery of every state is
// crashed. At the other crash points, only the recovery of the last state is crashed.
const secondCrashInterval = 7

// checkCrashPoint recovers from the states that a crash may leave: all unsynced data lost, all of it kept, and random
// states between.
func (c *Check) checkCrashPoint(fs *faultfs.FS, point crashPoint, r *rand.Rand) error {
	survivals := []faultfs.Survival{faultfs.LoseUnsynced, faultfs.KeepUnsynced}
	for range c.RandomStates {
		survivals = append(survivals, faultfs.KeepSome(r))
	}
	for n, survival := range survivals {
		crashed := fs.Crash(point.operations, survival)
		before := crashed.OperationCount()
		recovered, err := c.recoverState(crashed)
		if err != nil {
			return fmt.Errorf(
				"crash after operation %d of %d, survival %d: recovery failed: %w",
				point.operations,
				c.Operations,
				n,
				err,
			)
		}
		c.States++
		if err := point.check(recovered); err != nil {
			return fmt.Errorf("crash after operation %d of %d, survival %d: %w", point.operations, c.Operations, n, err)
		}
		if n < len(survivals)-1 && point.operations%secondCrashInterval != 0 {
			continue
		}
		if err := c.crashRecovery(crashed, before, point, r); err != nil {
			return err
		}
	}
	return nil
}

// crashRecovery crashes the recovery from a crash after each of its operations.
func (c *Check) crashRecovery(crashed *faultfs.FS, before int, point crashPoint, r *rand.Rand) error {
	for operations := before; operations <= crashed.OperationCount(); operations++ {
		recovered, err := c.recoverState(crashed.Crash(operations, faultfs.KeepSome(r)))
		if err != nil {
			return fmt.Errorf(
				"crash after operation %d, and again after operation %d of the recovery: recovery failed: %w",
				point.operations,
				operations-before,
				err,
			)
		}
		c.SecondCrashes++
		if err := point.check(recovered); err != nil {
			return fmt.Errorf(
				"crash after operation %d, and again after operation %d of the recovery: %w",
				point.operations,
				operations-before,
				err,
			)
		}
	}
	return nil
}

// check returns an error if the recovered state is not one that the crash may leave.
func (p crashPoint) check(recovered string) error {
	for i := p.minCommit; i <= p.maxCommit; i++ {
		if p.commits[i].state == recovered {
			return nil
		}
	}
	for i := range p.commits {
		if p.commits[i].state == recovered {
			return fmt.Errorf(
				"recovered the state after commit %d; commits up to %d were durable, commits up to %d begun",
				i,
				p.minCommit,
				p.maxCommit,
			)
		}
	}
	return errors.New("recovered a state that no commit produced")
}

// flipBits flips single bits in the files of a cleanly closed log. Recovery must detect each flip, except in the last
// group: a damaged last group cannot be distinguished from a group that a crash truncated, and recovery returns the
// state before that group.
func (c *Check) flipBits(fs *faultfs.FS, commits []commitPoint, r *rand.Rand) error {
	names, err := fs.List()
	if err != nil {
		return err
	}
	last := len(commits) - 1
	for _, name := range names {
		data, err := fs.Read(name)
		if err != nil {
			return err
		}
		for range 40 * c.RandomStates {
			bit := r.IntN(8 * len(data))
			damaged := fs.Crash(c.Operations, faultfs.KeepUnsynced)
			if err := damaged.FlipBit(name, bit); err != nil {
				return err
			}
			recovered, err := c.recoverState(damaged)
			c.BitFlips++
			switch {
			case err != nil:
				c.Refused++
			case recovered != commits[last].state && recovered != commits[last-1].state:
				return fmt.Errorf(
					"bit %d of %s flipped: recovered without an error, but committed changes are missing",
					bit,
					name,
				)
			}
		}
	}
	return nil
}
