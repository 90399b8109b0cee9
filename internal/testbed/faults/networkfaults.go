package faults

import (
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/faultproxy"
)

// halfOpenConnections stops all traffic to and from a fraction of the machines without closing the connections.
type halfOpenConnections struct{}

func (halfOpenConnections) inject(i *Injector, f Fault) {
	names := cluster.MachineNames(i.pickMachines(f.Fraction))
	remove := i.addNetworkRule(func(_ string, peerRole protocol.Role, peer string) faultproxy.Fault {
		return faultproxy.Fault{Partitioned: peerRole == protocol.RoleMachine && names[peer]}
	})
	i.wait(f.Duration)
	remove()
}

// zonePartition stops all traffic between a zone and the other zones. Schedulers reach only the machines on their side.
type zonePartition struct{}

func (zonePartition) inject(i *Injector, f Fault) {
	names := cluster.MachineNames(i.ZoneMachines(f.Zone))
	inside := map[string]bool{}
	for _, s := range i.Schedulers {
		inside[s.Name] = s.Zone == f.Zone
	}
	remove := i.addNetworkRule(func(scheduler string, peerRole protocol.Role, peer string) faultproxy.Fault {
		return faultproxy.Fault{Partitioned: peerRole == protocol.RoleMachine && names[peer] != inside[scheduler]}
	})
	i.wait(f.Duration)
	remove()
}

// connectionResets resets the connections to a newly drawn fraction of the machines every second.
type connectionResets struct{}

func (connectionResets) inject(i *Injector, f Fault) {
	for left := f.Duration; left > 0; left -= time.Second {
		names := cluster.MachineNames(i.pickMachines(f.Fraction))
		i.Net.Reset(func(_ string, peerRole protocol.Role, peer string) bool {
			return peerRole == protocol.RoleMachine && names[peer]
		})
		i.wait(min(left, time.Second))
	}
}

// lostAccepts drops a fraction of the accept frames of machines. The size of the fault is the fraction.
type lostAccepts struct{}

func (lostAccepts) inject(i *Injector, f Fault) {
	remove := i.addNetworkRule(func(_ string, peerRole protocol.Role, _ string) faultproxy.Fault {
		if peerRole == protocol.RoleMachine {
			return faultproxy.Fault{AcceptLoss: f.Size}
		}
		return faultproxy.Fault{}
	})
	i.wait(f.Duration)
	remove()
}

// networkDelay delays all frames. The size of the fault is the delay in milliseconds.
type networkDelay struct{}

func (networkDelay) inject(i *Injector, f Fault) {
	remove := i.addNetworkRule(func(string, protocol.Role, string) faultproxy.Fault {
		return faultproxy.Fault{Delay: time.Duration(f.Size * float64(time.Millisecond))}
	})
	i.wait(f.Duration)
	remove()
}
