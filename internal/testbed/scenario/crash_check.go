package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/wal"
)

// CrashCheck plays a history of commits on a folder in memory and looks at every state in which a crash, or a crash of
// the recovery from a crash, may leave it.
type CrashCheck struct {
	Seed         uint64
	Commits      int
	RandomStates int    // states drawn at each operation, beside all lost and all kept
	Sabotage     string // sync or checksum: sabotage

	Operations, States, SecondCrashes, BitFlips, Refused int
}

// commitPoint is one commit of the history.
type commitPoint struct {
	state          string
	firstOperation int // operations before it
	lastOperation  int // operations when it was acknowledged
	durable        bool
}

// history commits and notes what must be found. Every commit changes the value of "n", so that states differ.
func (c *CrashCheck) history(d *faultfs.FS) ([]commitPoint, error) {
	s, _, err := wal.Open(d, wal.Options{MinSnapshotLog: 2000})
	if err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(c.Seed, 3))
	model := map[string]string{}
	all := []commitPoint{{state: encodeModel(model)}}
	for n := range c.Commits {
		changes := []wal.Change{{Kind: "count", Key: "n", Value: fmt.Append(nil, n+1)}}
		for range r.IntN(4) {
			ch := wal.Change{Kind: "job", Key: fmt.Sprint(r.IntN(20))}
			if r.IntN(3) > 0 {
				ch.Value = []byte(strings.Repeat(string(rune('a'+r.IntN(26))), r.IntN(700)+1))
			}
			changes = append(changes, ch)
		}
		for _, ch := range changes {
			if ch.Value == nil {
				delete(model, ch.Kind+"/"+ch.Key)
			} else {
				model[ch.Kind+"/"+ch.Key] = string(ch.Value)
			}
		}
		m := commitPoint{state: encodeModel(model), firstOperation: d.OperationCount(), durable: r.IntN(3) > 0}
		done := make(chan error, 1)
		s.Commit(changes, m.durable, func(err error) {
			m.lastOperation = d.OperationCount()
			done <- err
		})
		if err := <-done; err != nil {
			return nil, err
		}
		all = append(all, m)
	}
	return all, s.Close()
}

func encodeModel(model map[string]string) string {
	var all []string
	for k, v := range model {
		all = append(all, k+"="+v)
	}
	sort.Strings(all)
	return strings.Join(all, "\n")
}

func encodeState(s *wal.State) string {
	model := map[string]string{}
	for _, kind := range s.Kinds() {
		s.ForEach(kind, func(k string, v []byte) error {
			model[kind+"/"+k] = string(v)
			return nil
		})
	}
	return encodeModel(model)
}

// recoverState recovers a folder and tells what it holds.
func (c *CrashCheck) recoverState(d *faultfs.FS) (string, error) {
	s, _, err := wal.Open(d, wal.Options{SkipChecksums: c.Sabotage == "checksum"})
	if err != nil {
		return "", err
	}
	held := encodeState(s.State())
	return held, s.Close()
}

// Run returns what was found to be wrong first, or nil.
func (c *CrashCheck) Run() error {
	d := faultfs.New()
	d.IgnoreSync = c.Sabotage == "sync"
	moments, err := c.history(d)
	if err != nil {
		return err
	}
	c.Operations = d.OperationCount()
	r := rand.New(rand.NewPCG(c.Seed, 4))
	for at := 0; at <= c.Operations; at++ {
		floor, ceiling := 0, 0
		for i, m := range moments {
			if i > 0 && m.lastOperation <= at && m.durable {
				floor = i
			}
			if i > 0 && m.firstOperation < at {
				ceiling = i
			}
		}
		fates := []faultfs.Survival{faultfs.LoseUnsynced, faultfs.KeepUnsynced}
		for range c.RandomStates {
			fates = append(fates, faultfs.KeepSome(r))
		}
		for n, fate := range fates {
			left := d.Crash(at, fate)
			before := left.OperationCount()
			held, err := c.recoverState(left)
			if err != nil {
				return fmt.Errorf("crash after operation %d of %d, fate %d: not opened: %w", at, c.Operations, n, err)
			}
			c.States++
			if err := checkRecoveredState(held, moments, floor, ceiling); err != nil {
				return fmt.Errorf("crash after operation %d of %d, fate %d: %w", at, c.Operations, n, err)
			}
			if n < len(fates)-1 && at%7 != 0 {
				continue
			}
			for again := before; again <= left.OperationCount(); again++ { // a second crash, during the recovery from the first
				twice, err := c.recoverState(left.Crash(again, faultfs.KeepSome(r)))
				if err != nil {
					return fmt.Errorf("crash after operation %d, and again after %d of its recovery: not opened: %w", at, again-before, err)
				}
				c.SecondCrashes++
				if err := checkRecoveredState(twice, moments, floor, ceiling); err != nil {
					return fmt.Errorf("crash after operation %d, and again after %d of its recovery: %w", at, again-before, err)
				}
			}
		}
	}
	return c.flipBits(d, moments, r)
}

func checkRecoveredState(held string, moments []commitPoint, floor, ceiling int) error {
	for i := floor; i <= ceiling; i++ {
		if moments[i].state == held {
			return nil
		}
	}
	for i := range moments {
		if moments[i].state == held {
			return fmt.Errorf("the state is that after commit %d; kept were all up to %d, begun %d", i, floor, ceiling)
		}
	}
	return errors.New("the state is that after no commit")
}

// flipBits turns single bits over in what a clean end left. Each must be refused, but in the last group: there it
// cannot be told from a group that a crash cut off, and the state before it is found.
func (c *CrashCheck) flipBits(d *faultfs.FS, moments []commitPoint, r *rand.Rand) error {
	names, _ := d.List()
	last := len(moments) - 1
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
			case held != moments[last].state && held != moments[last-1].state:
				return fmt.Errorf("bit %d of %s turned over: opened without a word, and what was kept is not there", bit, name)
			}
		}
	}
	return nil
}
