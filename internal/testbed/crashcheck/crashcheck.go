// Package crashcheck looks at every state in which a crash may leave the log of package wal, on a file system in
// memory.
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

// The sabotages of the log, which a Check is to see.
const (
	SabotageSync     = "sync"     // the log does not sync
	SabotageChecksum = "checksum" // the log does not check what it reads
)

// Check plays a history of commits on a folder in memory and looks at every state in which a crash, or a crash of
// the recovery from a crash, may leave it.
type Check struct {
	Seed         uint64
	Commits      int
	RandomStates int    // states drawn at each operation, beside all lost and all kept
	Sabotage     string // SabotageSync, SabotageChecksum or none

	Operations    int // of the history on the file system
	States        int // left by one crash and recovered
	SecondCrashes int // of recoveries
	BitFlips      int
	Refused       int // bit flips that recovery refused
}

// commitPoint is one commit of the history.
type commitPoint struct {
	state          string // encoded
	firstOperation int    // operations before it
	lastOperation  int    // operations when it was acknowledged
	durable        bool
}

// model is what a log holds after some commits, by kind and key.
type model map[string]string

// history commits random changes and returns what must be found after each. Every commit changes the value of "n", so
// that states differ.
func (c *Check) history(fs *faultfs.FS) ([]commitPoint, error) {
	log, _, err := wal.Open(fs, wal.Options{MinSnapshotLog: 2000})
	if err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(c.Seed, 3))
	held := model{}
	commits := []commitPoint{{state: held.encode()}}
	for n := range c.Commits {
		changes := randomChanges(n, r)
		held.apply(changes)
		commit := commitPoint{state: held.encode(), firstOperation: fs.OperationCount(), durable: r.IntN(3) > 0}
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
	held := model{}
	for _, kind := range s.Kinds() {
		_ = s.ForEach(kind, func(key string, value []byte) error { // only the callback, which does not fail, may fail
			held[kind+"/"+key] = string(value)
			return nil
		})
	}
	return held.encode()
}

// recoverState recovers a folder and returns what it holds.
func (c *Check) recoverState(d *faultfs.FS) (string, error) {
	s, _, err := wal.Open(d, wal.Options{SkipChecksums: c.Sabotage == SabotageChecksum})
	if err != nil {
		return "", err
	}
	held := encodeState(s.State())
	return held, s.Close()
}

// Add adds another check's counts.
func (c *Check) Add(other *Check) {
	c.Operations += other.Operations
	c.States += other.States
	c.SecondCrashes += other.SecondCrashes
	c.BitFlips += other.BitFlips
	c.Refused += other.Refused
}

// crashPoint is a crash after one of the operations of a history.
type crashPoint struct {
	after   int // operations
	commits []commitPoint
	floor   int // the last commit that must be found
	ceiling int // the last commit that may be found
}

func newCrashPoint(after int, commits []commitPoint) crashPoint {
	point := crashPoint{after: after, commits: commits}
	for i, m := range commits {
		if i > 0 && m.lastOperation <= after && m.durable {
			point.floor = i
		}
		if i > 0 && m.firstOperation < after {
			point.ceiling = i
		}
	}
	return point
}

// Run returns the first violation found, or nil.
func (c *Check) Run() error {
	d := faultfs.New()
	d.IgnoreSync = c.Sabotage == SabotageSync
	commits, err := c.history(d)
	if err != nil {
		return err
	}
	c.Operations = d.OperationCount()
	r := rand.New(rand.NewPCG(c.Seed, 4))
	for after := 0; after <= c.Operations; after++ {
		if err := c.checkPoint(d, newCrashPoint(after, commits), r); err != nil {
			return err
		}
	}
	return c.flipBits(d, commits, r)
}

// secondCrashEach is the interval of operations at which every state is crashed a second time; at the others only the
// last one is.
const secondCrashEach = 7

// checkPoint recovers from the states that a crash may leave: all unsynced lost, all kept, and some drawn at random.
func (c *Check) checkPoint(d *faultfs.FS, point crashPoint, r *rand.Rand) error {
	survivals := []faultfs.Survival{faultfs.LoseUnsynced, faultfs.KeepUnsynced}
	for range c.RandomStates {
		survivals = append(survivals, faultfs.KeepSome(r))
	}
	for n, survival := range survivals {
		crashed := d.Crash(point.after, survival)
		before := crashed.OperationCount()
		recovered, err := c.recoverState(crashed)
		if err != nil {
			return fmt.Errorf(
				"crash after operation %d of %d, survival %d: not opened: %w",
				point.after,
				c.Operations,
				n,
				err,
			)
		}
		c.States++
		if err := point.check(recovered); err != nil {
			return fmt.Errorf("crash after operation %d of %d, survival %d: %w", point.after, c.Operations, n, err)
		}
		if n < len(survivals)-1 && point.after%secondCrashEach != 0 {
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
	for again := before; again <= crashed.OperationCount(); again++ {
		recovered, err := c.recoverState(crashed.Crash(again, faultfs.KeepSome(r)))
		if err != nil {
			return fmt.Errorf(
				"crash after operation %d, and again after %d of its recovery: not opened: %w",
				point.after,
				again-before,
				err,
			)
		}
		c.SecondCrashes++
		if err := point.check(recovered); err != nil {
			return fmt.Errorf(
				"crash after operation %d, and again after %d of its recovery: %w",
				point.after,
				again-before,
				err,
			)
		}
	}
	return nil
}

// check reports a recovered state that the crash may not leave.
func (p crashPoint) check(recovered string) error {
	for i := p.floor; i <= p.ceiling; i++ {
		if p.commits[i].state == recovered {
			return nil
		}
	}
	for i := range p.commits {
		if p.commits[i].state == recovered {
			return fmt.Errorf(
				"the state is that after commit %d; durable were all up to %d, begun %d",
				i,
				p.floor,
				p.ceiling,
			)
		}
	}
	return errors.New("the state is that after no commit")
}

// flipBits turns single bits over in what a clean end left. Each must be refused, but in the last group: there it
// cannot be distinguished from a group that a crash cut off, and the state before it is found.
func (c *Check) flipBits(d *faultfs.FS, commits []commitPoint, r *rand.Rand) error {
	names, err := d.List()
	if err != nil {
		return err
	}
	last := len(commits) - 1
	for _, name := range names {
		p, err := d.Read(name)
		if err != nil {
			return err
		}
		for range 40 * c.RandomStates {
			bit := r.IntN(8 * len(p))
			left := d.Crash(c.Operations, faultfs.KeepUnsynced)
			if err := left.FlipBit(name, bit); err != nil {
				return err
			}
			held, err := c.recoverState(left)
			c.BitFlips++
			switch {
			case err != nil:
				c.Refused++
			case held != commits[last].state && held != commits[last-1].state:
				return fmt.Errorf(
					"bit %d of %s flipped: recovered without an error, and what was committed is not there",
					bit,
					name,
				)
			}
		}
	}
	return nil
}
