package speaker

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/wire"
	"glenport/internal/eventloop"
	"glenport/internal/testbed/emulator"
	"glenport/scheduler"

	"github.com/gaissmai/bart"
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

// rig is a speaker with two peers, an outer one that may hear of little and one of its own AS.
type rig struct {
	*testing.T
	l            *eventloop.Loop
	s            *Speaker
	outer, inner *emulator.BGPPeer
}

func (r *rig) on(f func()) {
	done := make(chan struct{})
	r.l.Post(func() { f(); close(done) })
	<-done
}

func (r *rig) until(what string, holds func() bool) {
	r.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.Fatal("not in 20 s: " + what)
		}
	}
}

func has(p *emulator.BGPPeer, x netip.Prefix) bool {
	ok, _ := p.Route(x)
	return ok
}

func start(t *testing.T, change func(*Config)) *rig {
	r := &rig{T: t}
	place := Config{AS: 65001, ID: [4]byte{192, 0, 2, 5}, Listen: "127.0.0.1:0", Services: map[string]announce.Service{
		"web": {Prefix: web, NextHop: hop}, "web6": {Prefix: web6, NextHop: hop6}, "mail": {Prefix: mail, NextHop: hop}}}
	both := []wire.Family{wire.IPv4, wire.IPv6}
	for _, p := range []struct {
		to    **emulator.BGPPeer
		as    uint32
		allow []netip.Prefix
	}{{&r.outer, 65000, []netip.Prefix{netip.MustParsePrefix("198.51.100.0/24"), netip.MustParsePrefix("2001:db8:1::/64")}},
		{&r.inner, 65001, []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0")}}} {
		*p.to = &emulator.BGPPeer{AS: p.as, ID: [4]byte{192, 0, 2, 250}, HoldTime: 3 * time.Second, RestartTime: 5 * time.Second, RecordChanges: true}
		addr, err := (*p.to).Open()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup((*p.to).Close)
		place.Peers = append(place.Peers, PeerConfig{Addr: addr, AS: p.as, Hold: 3 * scheduler.Second, Families: both, Restart: 5 * scheduler.Second, Allow: p.allow})
	}
	if change != nil {
		change(&place)
	}
	var err error
	if r.l, err = eventloop.New(func() {}); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.l.Run() }()
	t.Cleanup(func() { r.l.Stop(); <-done })
	r.on(func() {
		r.s = New(r.l, place, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := r.s.Start(); err != nil {
			t.Error(err)
		}
	})
	r.until("both sessions stand", func() bool { return r.outer.Established() && r.inner.Established() })
	return r
}

func (r *rig) run(services ...string) {
	r.on(func() {
		for _, s := range services {
			r.s.Handle(announce.ContainerRunning{Service: s, Container: "c"})
		}
	})
}

// A peer hears only what its policy allows, of both families, and with local preference only inside the AS.
func TestPolicy(t *testing.T) {
	r := start(t, nil)
	r.run("web", "web6", "mail")
	r.until("the outer peer has what it may", func() bool { return has(r.outer, web) && has(r.outer, web6) })
	r.until("the inner one has the IPv4 ones", func() bool { return has(r.inner, web) && has(r.inner, mail) })
	if has(r.outer, mail) || has(r.inner, web6) {
		t.Error("a peer was told what its policy does not allow")
	}
	for _, x := range r.outer.Changes() {
		if x.LocalPref != 0 {
			t.Errorf("the outer peer was told the local preference %d", x.LocalPref)
		}
	}
	for _, x := range r.inner.Changes() {
		if x.LocalPref != 100 {
			t.Errorf("the inner peer was told the local preference %d", x.LocalPref)
		}
	}
}

// The ends of routes are marked once all that runs is known, and not before.
func TestEndOfRoutes(t *testing.T) {
	r := start(t, nil)
	r.run("web")
	r.until("it is announced", func() bool { return has(r.outer, web) })
	if ends := r.outer.Stats().EndOfRIBs; ends != 0 {
		t.Error("the end was marked before all was known")
	}
	r.on(r.s.MarkRoutesComplete)
	r.until("both families are marked", func() bool { return r.outer.Stats().EndOfRIBs == 2 })
}

// A stop with a word makes peers drop routes at once, though they would keep them over a restart.
func TestStop(t *testing.T) {
	r := start(t, nil)
	r.run("web")
	r.until("it is announced", func() bool { return has(r.outer, web) })
	r.on(func() { r.s.Stop("done") })
	r.until("it is gone", func() bool { return !has(r.outer, web) && !r.outer.Established() })
}

// Two speakers announce one address: each tells for its own containers, and one that withdraws leaves the other's path.
func TestTwoSpeakers(t *testing.T) {
	a := start(t, nil)
	var b *rig
	b = start(t, func(p *Config) { p.ID = [4]byte{192, 0, 2, 6} })
	a.run("web")
	b.run("web")
	a.until("both announced", func() bool { return has(a.outer, web) && has(b.outer, web) })
	a.on(func() { a.s.Handle(announce.ContainerEnded{Service: "web", Container: "c"}) })
	a.until("the first has withdrawn", func() bool { return !has(a.outer, web) })
	if !has(b.outer, web) {
		t.Error("the second's route went with the first's")
	}
}

// A policy of many ranges, asked whether a prefix lies in one: the trie in use beside a list of ranges.
func BenchmarkPolicy(b *testing.B) {
	var lite bart.Lite
	var list []netip.Prefix
	for i := range 1000 {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 2), byte(i << 6), 0}), 26)
		lite.Insert(p)
		list = append(list, p)
	}
	x := netip.MustParsePrefix("10.249.192.7/32")
	b.Run("bart", func(b *testing.B) {
		for b.Loop() {
			if !lite.LookupPrefix(x) {
				b.Fatal("not found")
			}
		}
	})
	b.Run("list", func(b *testing.B) {
		for b.Loop() {
			found := false
			for _, p := range list {
				if p.Bits() <= x.Bits() && p.Contains(x.Addr()) {
					found = true
					break
				}
			}
			if !found {
				b.Fatal("not found")
			}
		}
	})
	byRange := map[netip.Prefix]bool{}
	for _, p := range list {
		byRange[p] = true
	}
	b.Run("map by every length", func(b *testing.B) {
		for b.Loop() {
			found := false
			for bits := x.Bits(); bits >= 0 && !found; bits-- {
				p, _ := x.Addr().Prefix(bits)
				found = byRange[p]
			}
			if !found {
				b.Fatal("not found")
			}
		}
	})
}
