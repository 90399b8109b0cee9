package bgp

import (
	"fmt"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/faultproxy"
)

// runPartition cuts off the zone in which an at-most-once container runs. The service's route must be withdrawn when
// the scheduler considers the container lost. After the partition the container still runs, and the route must be
// announced again.
func (t *Trial) runPartition() (string, error) {
	const service = partitionService
	id, machine, err := t.client.placeWorkload(service, atMostOnceClass, time.Hour)
	if err != nil {
		return "", err
	}
	if err := t.waitAnnouncedToAll(service); err != nil {
		return "", err
	}
	peer := t.peers[0]
	m, err := t.cluster.Machine(machine)
	if err != nil {
		return "", err
	}
	zone := cluster.MachineNames(t.cluster.ZoneMachines(m.ZoneIndex))
	began := time.Now()
	t.cluster.Net.SetFaults(func(_ string, peerRole protocol.Role, name string) faultproxy.Fault {
		return faultproxy.Fault{Partitioned: peerRole == protocol.RoleMachine && zone[name]}
	})
	if err := t.waitWithdrawn("the route is withdrawn", peer, service); err != nil {
		return "", err
	}
	withdrawn := time.Since(began)
	t.cluster.Net.SetFaults(func(string, protocol.Role, string) faultproxy.Fault { return faultproxy.Fault{} })
	began = time.Now()
	if err := t.waitUntil("the route is announced again", func() bool { return announced(peer, service) }); err != nil {
		return "", err
	}
	if !t.ends.endOf(id).IsZero() {
		t.Failf("the partition ended the container")
	}
	back := time.Since(began)
	if err := t.client.send(&protocol.CancelContainer{ContainerID: id, IdempotencyKey: id}); err != nil {
		return "", err
	}
	figures := fmt.Sprintf("withdrawn %.1f s after the partition began, announced %.1f s after its end",
		withdrawn.Seconds(), back.Seconds())
	return figures, t.waitWithdrawn("the route is withdrawn", peer, service)
}
