package connmanager

import (
	"testing"

	"glenport/internal/testutil"
)

// idleConn returns a connection that its machine closes after 30 s of idle time.
func idleConn(idle Time) MachineConn {
	return MachineConn{IdleFor: idle, MachineIdleTimeout: 30 * Second}
}

func asPrimary(c MachineConn) MachineConn {
	c.Primary = true
	return c
}

func onBusyMachine(c MachineConn) MachineConn {
	c.MachineRunsContainers = true
	return c
}

func carryingRunningContainer(c MachineConn) MachineConn {
	c.CarriesRunningContainer = true
	return c
}

func TestIdleMachineConnIsKeptWhileUseful(t *testing.T) {
	for _, tc := range []struct {
		name string
		conn MachineConn
		want bool
	}{
		{"the first, its machine has a running container", asPrimary(onBusyMachine(idleConn(60 * Second))), true},
		{"the first, used recently", asPrimary(idleConn(14 * Second)), true},
		{"the first, idle", asPrimary(idleConn(15 * Second)), false},
		{"another, used recently", onBusyMachine(idleConn(4 * Second)), true},
		{"another, carries a running container", carryingRunningContainer(onBusyMachine(idleConn(60 * Second))), true},
		{"another, idle", onBusyMachine(idleConn(5 * Second)), false},
		{"another, the machine closes early", MachineConn{IdleFor: 2 * Second, MachineIdleTimeout: 3 * Second}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			testutil.Equal(t, tc.conn.ShouldKeep(), tc.want, "kept")
		})
	}
	a, b := MaxConnsPerMachine(384, 12), MaxConnsPerMachine(64, 1000)
	testutil.Expect(t, a == 10 && b == 1, "%d and %d connections per machine", a, b)
}

// Client connections, machine connections and the reserve together never exceed the descriptors, even if these are few.
// At the limit, the connection whose eviction costs least is evicted first.
func TestDescriptorLimitHolds(t *testing.T) {
	for _, n := range []int{64, 100, 256, 576, 1024} {
		conns, clients := MaxMachineConns(n), New(n).maxClients
		if conns < 8 || n >= 256 && clients < n/3 || clients+conns+reservedDescriptors > n {
			t.Errorf("of %d descriptors, %d are for machine connections", n, conns)
		}
	}
	conns := []MachineConn{ // in order of eviction
		{IdleFor: Second},
		{Primary: true, IdleFor: Second},
		{MachineRunsContainers: true, IdleFor: Second},
		{MachineRunsContainers: true, CarriesRunningContainer: true, IdleFor: Second},
	}
	last := 0
	for _, c := range conns {
		if n := c.EvictionRank(); n < last {
			t.Errorf("%+v has rank %d, after %d", c, n, last)
		} else {
			last = n
		}
		if c.IdleFor = minEvictionIdle - 1; c.EvictionRank() >= 0 {
			t.Errorf("%+v is evictable while its machine may still be sending", c)
		}
	}
	testutil.Expect(t, last == 2, "a connection that carries a running container has rank %d", last)
	testutil.Expect(t, idleConn(15*Second-1).CanCarryAttempt() && !idleConn(15*Second).CanCarryAttempt(),
		"an attempt may cross the machine's close of an idle connection")
}
