package connmanager

import "testing"

func TestIdleMachineConnIsKeptWhileOfUse(t *testing.T) {
	const timeout = 30 * Second
	for _, tc := range []struct {
		name string
		conn MachineConn
		want bool
	}{
		{
			"the first, its machine has a running container",
			MachineConn{Primary: true, MachineHasRunning: true, IdleFor: 60 * Second, MachineIdleTimeout: timeout},
			true,
		},
		{"the first, used lately", MachineConn{Primary: true, IdleFor: 14 * Second, MachineIdleTimeout: timeout}, true},
		{"the first, idle", MachineConn{Primary: true, IdleFor: 15 * Second, MachineIdleTimeout: timeout}, false},
		{"another, used lately", MachineConn{MachineHasRunning: true, IdleFor: 4 * Second, MachineIdleTimeout: timeout}, true},
		{
			"another, carries a running container",
			MachineConn{MachineHasRunning: true, CarriesRunning: true, IdleFor: 60 * Second, MachineIdleTimeout: timeout},
			true,
		},
		{"another, idle", MachineConn{MachineHasRunning: true, IdleFor: 5 * Second, MachineIdleTimeout: timeout}, false},
		{"another, the machine closes early", MachineConn{IdleFor: 2 * Second, MachineIdleTimeout: 3 * Second}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.conn.ShouldKeep(); got != tc.want {
				t.Errorf("kept: %t", got)
			}
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
	if last != 2 {
		t.Errorf("one that carries a running container has rank %d", last)
	}
	const timeout = 30 * Second
	usable := MachineConn{IdleFor: timeout/2 - 1, MachineIdleTimeout: timeout}
	closing := MachineConn{IdleFor: timeout / 2, MachineIdleTimeout: timeout}
	if !usable.CanCarryAttempt() || closing.CanCarryAttempt() {
		t.Error("an attempt may cross the close of an idle connection")
	}
}
