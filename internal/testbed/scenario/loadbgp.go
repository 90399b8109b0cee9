package scenario

import (
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/speaker"
	"glenport/internal/bgp/wire"
	"glenport/internal/eventloop"
	"glenport/internal/testbed/emulator"
)

// MeasureBGP has one speaker tell so many prefixes to so many peers, and then change a tenth of them while one peer
// reads slowly; all in this process.
func MeasureBGP(prefixes, peers int, out io.Writer) error {
	place := speaker.Config{ASN: 65001, RouterID: [4]byte{192, 0, 2, 5}, Services: map[string]announce.Service{}}
	var all []*emulator.BGPPeer
	for i := range peers {
		p := &emulator.BGPPeer{AS: 65000, ID: [4]byte{192, 0, 3, byte(i)}, HoldTime: 90 * time.Second, RestartTime: 10 * time.Second}
		addr, err := p.Open()
		if err != nil {
			return err
		}
		defer p.Close()
		all = append(all, p)
		place.Peers = append(place.Peers, speaker.PeerConfig{Addr: addr, ASN: 65000, HoldTime: 900_000, Families: []wire.Family{wire.IPv4},
			Allow: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}})
	}
	hop := netip.MustParseAddr("192.0.2.5")
	name := func(i int) string { return fmt.Sprint("s", i) }
	for i := range prefixes {
		place.Services[name(i)] = announce.Service{Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 32), NextHop: hop}
	}
	l, err := eventloop.New(func() {})
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	defer func() { l.Stop(); <-done }()
	on := func(f func()) {
		ready := make(chan struct{})
		l.Post(func() { f(); close(ready) })
		<-ready
	}
	var s *speaker.Speaker
	on(func() {
		s = speaker.New(l, place, slog.New(slog.NewTextHandler(io.Discard, nil)))
		err = s.Start()
	})
	if err != nil {
		return err
	}
	wait := func(what string, holds func(p *emulator.BGPPeer) bool) error {
		for end := time.Now().Add(60 * time.Second); ; time.Sleep(time.Millisecond) {
			n := 0
			for _, p := range all {
				if holds(p) {
					n++
				}
			}
			if n == len(all) {
				return nil
			}
			if time.Now().After(end) {
				return fmt.Errorf("%d of %d peers after 60 s: %s", n, len(all), what)
			}
		}
	}
	if err := wait("session", (*emulator.BGPPeer).Established); err != nil {
		return err
	}
	var events []announce.Event
	for i := range prefixes {
		events = append(events, announce.ContainerRunning{Service: name(i), Container: "c"})
	}
	began := time.Now()
	on(func() { s.Handle(events...) })
	if err := wait("all routes", func(p *emulator.BGPPeer) bool { return p.Stats().Routes == prefixes }); err != nil {
		return err
	}
	took := time.Since(began)
	stats := all[0].Stats()
	messages, bytes := stats.Updates, stats.UpdateSize
	fmt.Fprintf(out, "%d prefixes to %d peers: all have them after %d ms, %d messages and %d bytes a peer\n", prefixes, peers, took.Milliseconds(),
		messages, bytes)
	// A tenth changes, one peer slow: the others must not wait for it.
	time.Sleep(1100 * time.Millisecond) // the pace
	all[0].SetReadDelay(20 * time.Millisecond)
	tenth := prefixes / 10
	events = events[:0]
	for i := range tenth {
		events = append(events, announce.ContainerEnded{Service: name(i), Container: "c"})
	}
	began = time.Now()
	on(func() { s.Handle(events...) })
	slow, rest := all[0], all[1:]
	if len(rest) > 0 {
		all = rest
		if err := wait("withdrawals", func(p *emulator.BGPPeer) bool { return p.Stats().Routes == prefixes-tenth }); err != nil {
			return err
		}
		fmt.Fprintf(out, "%d of them change at once, one of %d peers takes a message each 20 ms: the others have it after %d ms", tenth, peers,
			time.Since(began).Milliseconds())
	} else {
		fmt.Fprintf(out, "%d of them change at once, the peer takes a message each 20 ms: it", tenth)
	}
	all = []*emulator.BGPPeer{slow}
	if err := wait("withdrawals", func(p *emulator.BGPPeer) bool { return p.Stats().Routes == prefixes-tenth }); err != nil {
		return err
	}
	if len(rest) > 0 {
		fmt.Fprint(out, ", it")
	}
	fmt.Fprintf(out, " after %d ms\n", time.Since(began).Milliseconds())
	return nil
}
