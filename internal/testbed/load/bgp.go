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

// bgpBench is a BGP speaker in this process with emulated peers.
type bgpBench struct {
	prefixes  int
	peers     []*emulator.BGPPeer
	loop      *eventloop.Loop
	loopGroup sync.WaitGroup
	speaker   *speaker.Speaker
}

// MeasureBGP measures how long one speaker takes to announce prefixes to all peers, and to withdraw a tenth of them
// while one peer reads slowly.
func MeasureBGP(prefixes, peers int, out io.Writer) error {
	b := &bgpBench{prefixes: prefixes}
	defer b.close()
	if err := b.start(peers); err != nil {
		return err
	}
	if err := b.measureAnnouncements(out); err != nil {
		return err
	}
	time.Sleep(1100 * time.Millisecond) // minimum interval between two updates of a route
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
	b.loopGroup.Go(func() {
		_ = b.loop.Run() // if the loop fails, a wait below times out
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
		b.loopGroup.Wait()
	}
	for _, p := range b.peers {
		p.Close()
	}
}

// onLoop calls f on the event loop and waits until it returns.
func (b *bgpBench) onLoop(f func()) {
	done := make(chan struct{})
	b.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// waitForPeers waits until a condition holds for all given peers.
func (b *bgpBench) waitForPeers(condition string, peers []*emulator.BGPPeer, holds func(*emulator.BGPPeer) bool) error {
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
			return fmt.Errorf("condition met by only %d of %d peers after 60 s: %s", n, len(peers), condition)
		}
	}
}

// waitForRoutes waits until each of the given peers has exactly n routes.
func (b *bgpBench) waitForRoutes(condition string, peers []*emulator.BGPPeer, n int) error {
	return b.waitForPeers(condition, peers, func(p *emulator.BGPPeer) bool {
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
		"%d prefixes to %d peers: all peers have them after %d ms, %d messages and %d bytes per peer\n",
		b.prefixes,
		len(b.peers),
		took.Milliseconds(),
		stats.Updates,
		stats.UpdateSize,
	)
	return nil
}

// measureWithdrawals withdraws a tenth of the prefixes while one peer reads slowly, which must not delay the others.
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
		report.Printf(out, "withdrawal of %d, the peer reads a message every 20 ms: done", tenth)
	} else {
		if err := b.waitForRoutes("withdrawals", others, b.prefixes-tenth); err != nil {
			return err
		}
		report.Printf(
			out,
			"withdrawal of %d, one of %d peers reads a message every 20 ms: others done after %d ms, slow peer",
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
