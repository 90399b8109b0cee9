package connmanager

import (
	"testing"

	"glenport/internal/testutil"
)

// idleFor is a connection that its machine closes after 30 s; first, busy and carrier change one fact each.
func idleFor(idle Time) MachineConn {
	return MachineConn{IdleFor: idle, MachineIdleTimeout: 30 * Second}
}

func first(c MachineConn) MachineConn {
	c.Primary = true
	return c
}

func busy(c MachineConn) MachineConn {
	c.MachineHasRunning = true
	return c
}

func carrier(c MachineConn) MachineConn {
	c.CarriesRunning = true
	return c
}

func TestIdleMachineConnIsKeptWhileOfUse(t *testing.T) {
	for _, tc := range []struct {
		name string
		conn MachineConn
		want bool
	}{
		{"the first, its machine has a running container", first(busy(idleFor(60 * Second))), true},
		{"the first, used lately", first(idleFor(14 * Second)), true},
		{"the first, idle", first(idleFor(15 * Second)), false},
		{"another, used lately", busy(idleFor(4 * Second)), true},
		{"another, carries a running container", carrier(busy(idleFor(60 * Second))), true},
		{"another, idle", busy(idleFor(5 * Second)), false},
		{"another, the machine closes early", MachineConn{IdleFor: 2 * Second, MachineIdleTimeout: 3 * Second}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			testutil.Equal(t, tc.conn.ShouldKeep(), tc.want, "kept")
		})
	}
	if a, b := MaxConnsPerMachine(384, 12), MaxConnsPerMachine(64, 1000); a != 10 || b != 1 {
		t.Errorf("%d and %d connections a machine", a, b)
	}
}

// Clients, machine connections and the reserve stay within the descriptors, however few, and where no more connections
// may be open the one that loses least is evicted.
func TestDescriptorLimitHolds(t *testing.T) {
	for _, n := range []int{64, 100, 256, 576, 1024} {
		conns, clients := MaxMachineConns(n), New(n).maxClients
		if conns < 8 || n >= 256 && clients < n/3 || clients+conns+reservedDescriptors > n {
			t.Errorf("of %d descriptors %d are for machine connections", n, conns)
		}
	}
	conns := []MachineConn{ // in the order in which they are evicted
		{IdleFor: Second},
		{Primary: true, IdleFor: Second},
		{MachineHasRunning: true, IdleFor: Second},
		{MachineHasRunning: true, CarriesRunning: true, IdleFor: Second},
	}
	last := 0
	for _, c := range conns {
		if n := c.EvictionRank(); n < last {
			t.Errorf("%+v has rank %d, after %d", c, n, last)
		} else {
			last = n
		}
		if c.IdleFor = minEvictionIdle - 1; c.EvictionRank() >= 0 {
			t.Errorf("%+v is evictable before its machine could send", c)
		}
	}
	testutil.Expect(t, last == 2, "one that carries a running container has rank %d", last)
	if !idleFor(15*Second-1).CanCarryAttempt() || idleFor(15*Second).CanCarryAttempt() {
		t.Error("an attempt may cross the close of an idle connection")
	}
}
