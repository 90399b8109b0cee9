package restart

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/report"
	"glenport/internal/testbed/scenario"
)

// measureLost plays the same restart with and without the schedulers' persisted state: a zone restarts, a part of the
// machines hangs, and then every scheduler is killed. What is counted is what clients submit in the ten seconds after
// and do not get placed.
func (t *Trial) measureLost(s *scenario.Scenario, dir string, program []string) error {
	for i, withState := range []bool{true, false, true, false} {
		if err := t.measureLostOnce(s, filepath.Join(dir, fmt.Sprintf("lost-%d", i)), program, withState); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) measureLostOnce(s *scenario.Scenario, dir string, program []string, withState bool) error {
	const measured = 10 * time.Second
	c, err := cluster.Start(s.Spec, dir, program)
	if err != nil {
		return err
	}
	defer c.Shutdown()
	c.Clients.Start(s.Rate*2, s.Seed)
	time.Sleep(4 * time.Second)
	if err := restartZoneAndHang(c); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	for _, p := range c.Schedulers {
		c.KillScheduler(p)
		if !withState {
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
	submitted, placed, late := after.Submitted-before.Submitted, after.Placed-before.Placed, after.PlacedLate-before.PlacedLate
	report.Printf(
		t.Out,
		"ten seconds after a restart, kept state %-5v: %d submitted, %d not placed, %d of the placed after more than 1 s\n",
		withState,
		submitted,
		submitted-placed,
		late,
	)
	c.FreezeAll(false)
	c.Clients.Close()
	return c.Close()
}

// restartZoneAndHang restarts the machines of the second zone and freezes a fifth of the others.
func restartZoneAndHang(c *cluster.Cluster) error {
	const restartedZone, hangsEach = 1, 5
	for i, m := range c.Machines {
		switch {
		case m.ZoneIndex == restartedZone:
			m.Crash()
			if err := m.Start(false); err != nil {
				return err
			}
		case i%hangsEach == 0:
			m.SetFrozen(true)
		}
	}
	return nil
}
