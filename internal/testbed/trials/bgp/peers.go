package bgp

import (
	"fmt"
	"net/netip"
	"time"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/config"
	"glenport/internal/testbed/emulator"
	"glenport/scheduler"
)

// The AS numbers of the scheduler and of the peers.
const (
	schedulerAS = 65001
	peerAS      = 65000
)

const (
	serviceCount = 250
	// firstReservedService is the first of the services that the steps after the first use. The routes of the services
	// below it are damped, because their containers ended often.
	firstReservedService = 200
)

func prefix(i int) netip.Prefix { return netip.MustParsePrefix(fmt.Sprintf("198.51.100.%d/32", i)) }

// announced reports whether a peer has the route of a service.
func announced(p *emulator.BGPPeer, service int) bool {
	has, _ := p.Route(prefix(service))
	return has
}

// sessionCount returns the number of sessions that the peer has had.
func sessionCount(p *emulator.BGPPeer) int {
	return p.Stats().Sessions
}

// startPeers starts the peers and returns the settings with which a scheduler announces its services to them.
func (t *Trial) startPeers() (*config.BGP, error) {
	settings := &config.BGP{
		ASN:      schedulerAS,
		RouterID: [4]byte{192, 0, 2, 5},
		Services: map[string]announce.Service{},
	}
	nextHop := netip.AddrFrom4(settings.RouterID)
	for i := range serviceCount {
		settings.Services[serviceName(i)] = announce.Service{Prefix: prefix(i), NextHop: nextHop}
	}
	for i := range 2 {
		p := &emulator.BGPPeer{
			AS:            peerAS,
			ID:            [4]byte{192, 0, 2, byte(250 + i)},
			HoldTime:      3 * time.Second,
			RestartTime:   10 * time.Second,
			RecordChanges: true,
		}
		address, err := p.Open()
		if err != nil {
			return nil, fmt.Errorf("open peer %d: %w", i, err)
		}
		t.peers = append(t.peers, p)
		settings.Peers = append(settings.Peers, config.BGPPeer{
			Addr:        address,
			ASN:         peerAS,
			HoldTime:    3 * scheduler.Second,
			Families:    []wire.Family{wire.IPv4},
			RestartTime: 10 * scheduler.Second,
			Allow:       []netip.Prefix{netip.MustParsePrefix("198.51.100.0/24")},
		})
	}
	return settings, nil
}

func (t *Trial) closePeers() {
	for _, p := range t.peers {
		p.Close()
	}
}

func serviceName(service int) string { return fmt.Sprint("web-", service) }

// waitAnnounced waits until a peer has the route of a service.
func (t *Trial) waitAnnounced(p *emulator.BGPPeer, service int) error {
	return t.waitUntil("the route is announced", func() bool { return announced(p, service) })
}

// waitWithdrawn waits until a peer has no route of a service.
func (t *Trial) waitWithdrawn(what string, p *emulator.BGPPeer, service int) error {
	return t.waitUntil(what, func() bool { return !announced(p, service) })
}

// waitAnnouncedToAll waits until all peers have the route of a service.
func (t *Trial) waitAnnouncedToAll(service int) error {
	for _, p := range t.peers {
		if err := t.waitAnnounced(p, service); err != nil {
			return err
		}
	}
	return nil
}
