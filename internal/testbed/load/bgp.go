package load

import (
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/speaker"
	"glenport/internal/bgp/wire"
	"glenport/internal/eventloop"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/report"
)

// bgpBench is a speaker in this process and its emulated peers.
type bgpBench struct {
	prefixes int
	peers    []*emulator.BGPPeer
	loop     *eventloop.Loop
	loopEnd  sync.WaitGroup
	speaker  *speaker.Speaker
}

// MeasureBGP has one speaker announce so many prefixes to so many peers, and then change a tenth of them while one peer
// reads slowly.
func MeasureBGP(prefixes, peers int, out io.Writer) error {
	b := &bgpBench{prefixes: prefixes}
	defer b.close()
	if err := b.start(peers); err != nil {
		return err
	}
	if err := b.measureAnnouncements(out); err != nil {
		return err
	}
	time.Sleep(1100 * time.Millisecond) // the least interval between two updates of a route
	return b.measureWithdrawals(out)
}

func (b *bgpBench) start(peers int) error {
	config := speaker.Config{ASN: 65001, RouterID: [4]byte{192, 0, 2, 5}, Services: map[string]announce.Service{}}
	for i := range peers {
		p := &emulator.BGPPeer{
			AS:          65000,
			ID:          [4]byte{192, 0, 3, byte(i)},
			HoldTime:    90 * time.Second,
			RestartTime: 10 * time.Second,
		}
		address, err := p.Open()
		if err != nil {
			return err
		}
		b.peers = append(b.peers, p)
		config.Peers = append(config.Peers, speaker.PeerConfig{
			Addr: address, ASN: 65000, HoldTime: 900_000, Families: []wire.Family{wire.IPv4},
			Allow: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
		})
	}
	nextHop := netip.MustParseAddr("192.0.2.5")
	for i := range b.prefixes {
		address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		config.Services[benchService(i)] = announce.Service{Prefix: netip.PrefixFrom(address, 32), NextHop: nextHop}
	}
	if err := b.startSpeaker(config); err != nil {
		return err
	}
	return b.waitForPeers("session", b.peers, (*emulator.BGPPeer).Established)
}

func benchService(i int) string { return fmt.Sprint("s", i) }

func (b *bgpBench) startSpeaker(config speaker.Config) (err error) {
	if b.loop, err = eventloop.New(func() {}); err != nil {
		return err
	}
	b.loopEnd.Go(func() {
		_ = b.loop.Run() // a loop that ended early leaves a wait below without its condition
	})
	b.onLoop(func() {
		b.speaker = speaker.New(b.loop, config, slog.New(slog.DiscardHandler))
		err = b.speaker.Start()
	})
	return err
}

func (b *bgpBench) close() {
	if b.loop != nil {
		b.loop.Stop()
		b.loopEnd.Wait()
	}
	for _, p := range b.peers {
		p.Close()
	}
}

// onLoop calls f on the event loop and waits for its end.
func (b *bgpBench) onLoop(f func()) {
	done := make(chan struct{})
	b.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// waitForPeers waits until a condition holds for all of some peers.
func (b *bgpBench) waitForPeers(what string, peers []*emulator.BGPPeer, holds func(*emulator.BGPPeer) bool) error {
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		n := 0
		for _, p := range peers {
			if holds(p) {
				n++
			}
		}
		if n == len(peers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d peers after 60 s: %s", n, len(peers), what)
		}
	}
}

// waitForRoutes waits until each of some peers has exactly n routes.
func (b *bgpBench) waitForRoutes(what string, peers []*emulator.BGPPeer, n int) error {
	return b.waitForPeers(what, peers, func(p *emulator.BGPPeer) bool {
		return p.Stats().Routes == n
	})
}

func (b *bgpBench) measureAnnouncements(out io.Writer) error {
	var events []announce.Event
	for i := range b.prefixes {
		events = append(events, announce.ContainerRunning{Service: benchService(i), Container: "c"})
	}
	began := time.Now()
	b.onLoop(func() { b.speaker.Handle(events...) })
	if err := b.waitForRoutes("all routes", b.peers, b.prefixes); err != nil {
		return err
	}
	took := time.Since(began)
	stats := b.peers[0].Stats()
	report.Printf(
		out,
		"%d prefixes to %d peers: all have them after %d ms, %d messages and %d bytes a peer\n",
		b.prefixes,
		len(b.peers),
		took.Milliseconds(),
		stats.Updates,
		stats.UpdateSize,
	)
	return nil
}

// measureWithdrawals withdraws a tenth while one peer reads slowly: the others must not wait for it.
func (b *bgpBench) measureWithdrawals(out io.Writer) error {
	slow, others := b.peers[0], b.peers[1:]
	slow.SetReadDelay(20 * time.Millisecond)
	tenth := b.prefixes / 10
	var events []announce.Event
	for i := range tenth {
		events = append(events, announce.ContainerEnded{Service: benchService(i), Container: "c"})
	}
	began := time.Now()
	b.onLoop(func() { b.speaker.Handle(events...) })
	if len(others) == 0 {
		report.Printf(out, "%d of them change at once, the peer takes a message each 20 ms: it", tenth)
	} else {
		if err := b.waitForRoutes("withdrawals", others, b.prefixes-tenth); err != nil {
			return err
		}
		report.Printf(
			out,
			"%d of them change at once, one of %d peers takes a message each 20 ms: the others have it after %d ms, it",
			tenth,
			len(b.peers),
			time.Since(began).Milliseconds(),
		)
	}
	if err := b.waitForRoutes("withdrawals", []*emulator.BGPPeer{slow}, b.prefixes-tenth); err != nil {
		return err
	}
	report.Printf(out, " after %d ms\n", time.Since(began).Milliseconds())
	return nil
}
