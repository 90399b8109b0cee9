package bgp

import (
	"fmt"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
)

// runDrain marks the machine of the only container of a service as draining. The service's route must become the last
// choice before it is withdrawn.
func (t *Trial) runDrain() (string, error) {
	id, machine, err := t.client.place(drainService, time.Hour)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitAnnounced(p, drainService); err != nil {
			return "", err
		}
		p.Changes()
	}
	m, err := t.cluster.Machine(machine)
	if err != nil {
		return "", err
	}
	began := time.Now()
	t.cluster.List.SetState(m, protocol.MachineDraining)
	defer t.cluster.List.SetState(m, protocol.MachineServing)
	for k, p := range t.peers {
		if err := t.waitShutdownAnnounced(p); err != nil {
			t.Failf("peer %d: %v", k, err)
		}
	}
	took := time.Since(began)
	if err := t.client.send(&protocol.CancelContainer{ContainerID: id}); err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitWithdrawn("the route is withdrawn", p, drainService); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("announced as the last choice %d ms after the drain began", took.Milliseconds()), nil
}

// waitShutdownAnnounced waits until a peer has received the route of the draining service as the last choice.
func (t *Trial) waitShutdownAnnounced(p *emulator.BGPPeer) error {
	lastChoice := false
	return t.waitUntil("the route is the last choice", func() bool {
		for _, update := range p.Changes() {
			lastChoice = lastChoice ||
				update.Prefix == prefix(drainService) && update.GracefulShutdown && !update.Withdrawn
		}
		return lastChoice
	})
}
