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
	hop  = netip.MustParseAddr("192.0.2.5")
	hop6 = netip.MustParseAddr("2001:db8::5")
	web  = netip.MustParsePrefix("198.51.100.7/32")
	web6 = netip.MustParsePrefix("2001:db8:1::7/128")
	mail = netip.MustParsePrefix("203.0.113.1/32")
)

// fixture is a speaker with two peers: an outer one whose policy allows little, and one of its own AS.
type fixture struct {
	*testing.T
	loop         *eventloop.Loop
	speaker      *Speaker
	outer, inner *emulator.BGPPeer
}

// onLoop runs a function on the loop and waits for it.
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

func has(p *emulator.BGPPeer, x netip.Prefix) bool {
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
			"web":  {Prefix: web, NextHop: hop},
			"web6": {Prefix: web6, NextHop: hop6},
			"mail": {Prefix: mail, NextHop: hop},
		},
		Peers: make([]PeerConfig, 2),
	}
	f.outer, settings.Peers[0] = openPeer(t, 65000, "198.51.100.0/24", "2001:db8:1::/64")
	f.inner, settings.Peers[1] = openPeer(t, 65001, "0.0.0.0/0")
	f.loop = runLoop(t)
	f.onLoop(func() {
		f.speaker = New(f.loop, settings, slog.New(slog.DiscardHandler))
		testutil.ExpectNoError(t, f.speaker.Start())
	})
	f.waitUntil("both sessions are established", func() bool { return f.outer.Established() && f.inner.Established() })
	return f
}

func (f *fixture) runContainers(services ...string) {
	f.onLoop(func() {
		for _, s := range services {
			f.speaker.Handle(announce.ContainerRunning{Service: s, Container: "c"})
		}
	})
}

// A peer receives only what its policy allows, of both families, and a local preference only inside the AS.
func TestPeerReceivesOnlyWhatItsPolicyAllows(t *testing.T) {
	f := startSpeaker(t, 5)
	f.runContainers("web", "web6", "mail")
	f.waitUntil("the outer peer has what it may", func() bool { return has(f.outer, web) && has(f.outer, web6) })
	f.waitUntil("the inner one has the IPv4 ones", func() bool { return has(f.inner, web) && has(f.inner, mail) })
	testutil.Expect(t, !has(f.outer, mail) && !has(f.inner, web6), "a peer received what its policy does not allow")
	for _, x := range f.outer.Changes() {
		testutil.Expect(t, x.LocalPref == 0, "the outer peer received the local preference %d", x.LocalPref)
	}
	for _, x := range f.inner.Changes() {
		testutil.Expect(t, x.LocalPref == 100, "the inner peer received the local preference %d", x.LocalPref)
	}
}

func TestEndOfRoutesIsMarkedOnceAllContainersAreKnownAndNotBefore(t *testing.T) {
	f := startSpeaker(t, 5)
	f.runContainers("web")
	f.waitUntil("it is announced", func() bool { return has(f.outer, web) })
	testutil.Equal(t, f.outer.Stats().EndOfRIBs, 0, "the end was marked before all was known")
	f.onLoop(f.speaker.MarkRoutesComplete)
	f.waitUntil("both families are marked", func() bool { return f.outer.Stats().EndOfRIBs == 2 })
}

// A stop sends a shutdown message, by which peers drop routes that they would keep over a restart.
func TestStopMakesPeersDropRoutesAtOnce(t *testing.T) {
	f := startSpeaker(t, 5)
	f.runContainers("web")
	f.waitUntil("it is announced", func() bool { return has(f.outer, web) })
	f.onLoop(func() { f.speaker.Stop("done") })
	f.waitUntil("it is gone", func() bool { return !has(f.outer, web) && !f.outer.Established() })
}

// Two speakers announce one address, each for its own containers.
func TestWithdrawalLeavesTheRouteOfAnotherSpeaker(t *testing.T) {
	a := startSpeaker(t, 5)
	b := startSpeaker(t, 6)
	a.runContainers("web")
	b.runContainers("web")
	a.waitUntil("both announced", func() bool { return has(a.outer, web) && has(b.outer, web) })
	a.onLoop(func() { a.speaker.Handle(announce.ContainerEnded{Service: "web", Container: "c"}) })
	a.waitUntil("the first has withdrawn", func() bool { return !has(a.outer, web) })
	testutil.Expect(t, has(b.outer, web), "the second's route went with the first's")
}
