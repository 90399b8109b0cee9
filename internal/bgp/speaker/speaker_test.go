package speaker

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/eventloop"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testutil"
	"glenport/scheduler"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	nextHop  = netip.MustParseAddr("192.0.2.5")
	nextHop6 = netip.MustParseAddr("2001:db8::5")
	web      = netip.MustParsePrefix("198.51.100.7/32")
	web6     = netip.MustParsePrefix("2001:db8:1::7/128")
	mail     = netip.MustParsePrefix("203.0.113.1/32")
)

// fixture is a speaker with two peers: an external one with a restrictive policy, and an internal one of the same AS.
type fixture struct {
	*testing.T
	loop                       *eventloop.Loop
	speaker                    *Speaker
	externalPeer, internalPeer *emulator.BGPPeer
}

// onLoop runs a function on the event loop and waits for its end.
func (f *fixture) onLoop(run func()) {
	done := make(chan struct{})
	f.loop.Post(func() { run(); close(done) })
	<-done
}

// waitUntil fails the test if a condition does not hold within 20 seconds.
func (f *fixture) waitUntil(condition string, holds func() bool) {
	f.Helper()
	testutil.WaitUntil(f, condition, holds)
}

func hasRoute(p *emulator.BGPPeer, x netip.Prefix) bool {
	ok, _ := p.Route(x)
	return ok
}

// openPeer opens a peer and returns its configuration at the speaker.
func openPeer(t *testing.T, as uint32, allow ...string) (*emulator.BGPPeer, PeerConfig) {
	t.Helper()
	peer := &emulator.BGPPeer{
		AS: as, ID: [4]byte{192, 0, 2, 250}, HoldTime: 3 * time.Second, RestartTime: 5 * time.Second,
		RecordChanges: true,
	}
	addr, err := peer.Open()
	testutil.NoError(t, err)
	t.Cleanup(peer.Close)
	config := PeerConfig{
		Addr: addr, ASN: as, HoldTime: 3 * scheduler.Second, RestartTime: 5 * scheduler.Second,
		Families: []wire.Family{wire.IPv4, wire.IPv6},
	}
	for _, prefix := range allow {
		config.Allow = append(config.Allow, netip.MustParsePrefix(prefix))
	}
	return peer, config
}

// runLoop runs an event loop until the end of the test.
func runLoop(t *testing.T) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New(func() {})
	testutil.NoError(t, err)
	testutil.RunUntilEnd(t, loop.Run, loop.Stop)
	return loop
}

func startSpeaker(t *testing.T, routerID byte) *fixture {
	t.Helper()
	f := &fixture{T: t}
	settings := Config{
		ASN:        65001,
		RouterID:   [4]byte{192, 0, 2, routerID},
		ListenAddr: "127.0.0.1:0",
		Services: map[string]announce.Service{
			"web":  {Prefix: web, NextHop: nextHop},
			"web6": {Prefix: web6, NextHop: nextHop6},
			"mail": {Prefix: mail, NextHop: nextHop},
		},
		Peers: make([]PeerConfig, 2),
	}
	f.externalPeer, settings.Peers[0] = openPeer(t, 65000, "198.51.100.0/24", "2001:db8:1::/64")
	f.internalPeer, settings.Peers[1] = openPeer(t, 65001, "0.0.0.0/0")
	f.loop = runLoop(t)
	f.onLoop(func() {
		f.speaker = New(f.loop, settings, slog.New(slog.DiscardHandler))
		testutil.ExpectNoError(t, f.speaker.Start())
	})
	f.waitUntil("both sessions are established", func() bool {
		return f.externalPeer.Established() && f.internalPeer.Established()
	})
	return f
}

func (f *fixture) runContainers(services ...string) {
	f.onLoop(func() {
		for _, s := range services {
			f.speaker.Handle(announce.ContainerRunning{Service: s, Container: "c"})
		}
	})
}

// A peer receives only the prefixes that its policy allows, of both families. Only a peer of the same AS receives a
// local preference.
func TestPeerReceivesOnlyWhatItsPolicyAllows(t *testing.T) {
	f := startSpeaker(t, 5)
	f.runContainers("web", "web6", "mail")
	f.waitUntil("the external peer has the allowed routes", func() bool {
		return hasRoute(f.externalPeer, web) && hasRoute(f.externalPeer, web6)
	})
	f.waitUntil("the internal peer has the IPv4 routes", func() bool {
		return hasRoute(f.internalPeer, web) && hasRoute(f.internalPeer, mail)
	})
	testutil.Expect(t, !hasRoute(f.externalPeer, mail) && !hasRoute(f.internalPeer, web6),
		"a peer received a route that its policy does not allow")
	for _, x := range f.externalPeer.Changes() {
		testutil.Expect(t, x.LocalPref == 0, "the external peer received the local preference %d", x.LocalPref)
	}
	for _, x := range f.internalPeer.Changes() {
		testutil.Expect(t, x.LocalPref == 100, "the internal peer received the local preference %d", x.LocalPref)
	}
}

func TestEndOfRIBIsSentOnlyOnceAllContainersAreKnown(t *testing.T) {
	f := startSpeaker(t, 5)
	f.runContainers("web")
	f.waitUntil("it is announced", func() bool { return hasRoute(f.externalPeer, web) })
	testutil.Equal(t, f.externalPeer.Stats().EndOfRIBs, 0, "End-of-RIB was sent before all containers were known")
	f.onLoop(f.speaker.MarkRoutesComplete)
	f.waitUntil("End-of-RIB is sent for both families", func() bool { return f.externalPeer.Stats().EndOfRIBs == 2 })
}

// Stop sends a shutdown message. It makes peers drop the routes that they would keep during a restart.
func TestStopMakesPeersDropRoutesAtOnce(t *testing.T) {
	f := startSpeaker(t, 5)
	f.runContainers("web")
	f.waitUntil("it is announced", func() bool { return hasRoute(f.externalPeer, web) })
	f.onLoop(func() { f.speaker.Stop("done") })
	f.waitUntil("the route and the session are gone", func() bool {
		return !hasRoute(f.externalPeer, web) && !f.externalPeer.Established()
	})
}

// Two speakers announce the same address, each for its own containers.
func TestWithdrawalKeepsRouteOfAnotherSpeaker(t *testing.T) {
	a := startSpeaker(t, 5)
	b := startSpeaker(t, 6)
	a.runContainers("web")
	b.runContainers("web")
	a.waitUntil("both speakers have announced the route", func() bool {
		return hasRoute(a.externalPeer, web) && hasRoute(b.externalPeer, web)
	})
	a.onLoop(func() { a.speaker.Handle(announce.ContainerEnded{Service: "web", Container: "c"}) })
	a.waitUntil("the first speaker has withdrawn its route", func() bool { return !hasRoute(a.externalPeer, web) })
	testutil.Expect(t, hasRoute(b.externalPeer, web), "the route of the second speaker was withdrawn too")
}
