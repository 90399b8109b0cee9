package restart

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"glenport/internal/testbed/cluster"
)

// stateAtRestart says whether schedulers find their persisted state when they are started again.
type stateAtRestart string

const (
	statePersisted stateAtRestart = "persisted"
	stateRemoved   stateAtRestart = "removed"
)

// measureLostStarts compares restarts of all schedulers with and without their persisted state. Before the restart, the
// machines of one zone restart and some other machines freeze. It counts the containers that clients submit in the ten
// seconds after the restart, and those of them that are not placed.
func (t *Trial) measureLostStarts() error {
	for i, state := range []stateAtRestart{statePersisted, stateRemoved, statePersisted, stateRemoved} {
		if err := t.measureLostStartsOnce(t.path(fmt.Sprintf("lost-%d", i)), state); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) measureLostStartsOnce(dir string, state stateAtRestart) error {
	const measured = 10 * time.Second
	c, err := cluster.Start(t.scenario.Spec, dir, t.program)
	if err != nil {
		return err
	}
	defer c.Shutdown()
	c.Clients.Start(t.scenario.Rate*2, t.scenario.Seed)
	time.Sleep(4 * time.Second)
	if err := restartZoneAndFreeze(c); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	for _, p := range c.Schedulers {
		c.KillScheduler(p)
		if state == stateRemoved {
			if err := os.RemoveAll(filepath.Join(c.Dir, p.Name+".state")); err != nil {
				return err
			}
		}
	}
	before := c.Clients.Snapshot()
	for _, p := range c.Schedulers {
		if err := c.StartScheduler(p); err != nil {
			return err
		}
	}
	time.Sleep(measured)
	after := c.Clients.Snapshot()
	submitted, placed := after.Submitted-before.Submitted, after.Placed-before.Placed
	t.Printf(
		"ten seconds after a restart, state %-9s: %d submitted, %d not placed, %d placed after more than 1 s\n",
		state, submitted, submitted-placed, after.PlacedLate-before.PlacedLate,
	)
	c.UnfreezeAll()
	c.Clients.Close()
	return c.Close()
}

// restartZoneAndFreeze restarts the machines of the second zone and freezes a fifth of the other machines.
func restartZoneAndFreeze(c *cluster.Cluster) error {
	const restartedZone, frozenOneIn = 1, 5
	for i, m := range c.Machines {
		switch {
		case m.ZoneIndex == restartedZone:
			m.Crash()
			if err := m.Start(false); err != nil {
				return err
			}
		case i%frozenOneIn == 0:
			m.Freeze()
		}
	}
	return nil
}
