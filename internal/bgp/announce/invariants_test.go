package announce

import (
	"net/netip"
	"strconv"
	"testing"

	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"
	"glenport/scheduler"

	"pgregory.net/rapid"
)

// maxWithdrawalDelay is the time within which a withdrawal must follow the end of the last container.
const maxWithdrawalDelay = 2 * scheduler.Second

// Invariants for every sequence of events: Two updates of an address are at least minUpdateInterval apart. A withdrawal
// follows the end of the last container within two seconds. The routes of peers are correct whenever no change is
// pending. No state is left after all services and containers are removed and their penalties have decayed.
func TestInvariantsHoldForDrawnSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newInvariantModel(t)
		for range 80 {
			m.step()
			m.checkWithdrawals()
		}
		m.advanceBy(2 * sec)
		m.checkPeerRoutes()
		m.removeAll()
		m.advanceBy(5 * 60 * 60 * sec)
		testutil.Require(t, len(m.announcer.services) == 0 && len(m.peerRoutes) == 0,
			"%d services and %d routes are left", len(m.announcer.services), len(m.peerRoutes))
	})
}

// invariantModel tracks the routes of peers by the updates, and the expected routes by the events.
type invariantModel struct {
	*driver
	t          *rapid.T
	peerRoutes map[netip.Prefix]bool
	updatedAt  map[netip.Prefix]scheduler.Time
	running    map[string]map[string]bool // containers by service
	configured map[string]bool
	emptyAt    map[string]scheduler.Time // when a service's last container ended
}

func newInvariantModel(t *rapid.T) *invariantModel {
	m := &invariantModel{
		t: t, peerRoutes: map[netip.Prefix]bool{}, updatedAt: map[netip.Prefix]scheduler.Time{},
		running: map[string]map[string]bool{}, configured: map[string]bool{}, emptyAt: map[string]scheduler.Time{},
	}
	m.driver = newDriver(m.recordUpdate)
	return m
}

func prefixOf(service string) netip.Prefix {
	return netip.MustParsePrefix("192.0.2." + service + "/32")
}

func (m *invariantModel) recordUpdate(a Action) {
	var prefix netip.Prefix
	switch a := a.(type) {
	case Announce:
		prefix = a.Prefix
		m.peerRoutes[prefix] = true
	case Withdraw:
		prefix = a.Prefix
		delete(m.peerRoutes, prefix)
	default:
		return
	}
	at, updated := m.updatedAt[prefix]
	testutil.Require(m.t, !updated || m.now-at >= minUpdateInterval, "%s is updated twice within %d", prefix, m.now-at)
	m.updatedAt[prefix] = m.now
}

func (m *invariantModel) advanceBy(span scheduler.Time) { m.advance(m.now + span) }

func (m *invariantModel) step() {
	service := strconv.Itoa(rapid.IntRange(1, 3).Draw(m.t, "service"))
	if m.running[service] == nil {
		m.running[service] = map[string]bool{}
	}
	container := strconv.Itoa(rapid.IntRange(1, 2).Draw(m.t, "container"))
	switch rapid.IntRange(0, 4).Draw(m.t, "step") {
	case 0:
		config := web
		config.Prefix = prefixOf(service)
		m.configured[service] = true
		m.handle(ServiceSet{service, config})
	case 1:
		m.running[service][container] = true
		m.handle(ContainerRunning{service, container, rapid.Bool().Draw(m.t, "draining")})
	case 2:
		if delete(m.running[service], container); len(m.running[service]) == 0 {
			m.emptyAt[service] = m.now
		}
		m.handle(ContainerEnded{service, container})
	case 3:
		m.advanceBy(scheduler.Time(rapid.IntRange(0, 30000).Draw(m.t, "span")))
	case 4:
		m.configured[service] = false
		m.handle(ServiceRemoved{service})
	}
}

func (m *invariantModel) checkWithdrawals() {
	for service, containers := range m.running {
		if len(containers) == 0 && m.peerRoutes[prefixOf(service)] && m.now > m.emptyAt[service]+maxWithdrawalDelay {
			m.t.Fatalf("%s is announced %d ticks after its last container ended", service, m.now-m.emptyAt[service])
		}
	}
}

func (m *invariantModel) checkPeerRoutes() {
	for service, containers := range m.running {
		status, _ := m.announcer.Status(service)
		want := m.configured[service] && len(containers) > 0 && !status.Suppressed
		if announced := m.peerRoutes[prefixOf(service)]; announced != want {
			m.t.Fatalf("%s is announced: %t; configured %t, %d containers",
				service, announced, m.configured[service], len(containers))
		}
	}
}

func (m *invariantModel) removeAll() {
	for service, containers := range m.running {
		for container := range containers {
			m.handle(ContainerEnded{service, container})
		}
		m.handle(ServiceRemoved{service})
	}
}
