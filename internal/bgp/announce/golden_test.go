package announce

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/scheduler"
)

// TestDecisionsMatchGoldenDigests runs seeded sequences of events and compares a digest of all actions with the one in
// testdata. The digest covers the order of the actions and the time at which each was returned. A changed decision
// changes the digest; a renamed identifier does not.
func TestDecisionsMatchGoldenDigests(t *testing.T) {
	const sequences, steps = 250, 150
	var got strings.Builder
	for group, maxStep := range []scheduler.Time{100 * scheduler.Millisecond, 2 * sec, 60 * sec, 1200 * sec} {
		digest := actionDigest{golden.NewDigest()}
		for seed := range sequences {
			h := &history{
				digest:    digest,
				random:    rand.New(rand.NewPCG(uint64(1000*group+seed), 29)),
				announcer: New(),
				maxStep:   maxStep,
			}
			for range steps {
				h.step()
			}
		}
		fmt.Fprintf(&got, "steps of up to %d: %s\n", maxStep, digest.Summary("actions"))
	}
	golden.CheckText(t, "testdata/decisions.txt", got.String())
}

// actionDigest is a digest of actions: of the ordinal of each type and the values of the fields, except log messages.
type actionDigest struct{ *golden.Digest }

func (d actionDigest) add(now scheduler.Time, a Action) {
	d.Count(1)
	d.Numbers(uint64(now))
	switch a := a.(type) {
	case Announce:
		d.Numbers(1)
		d.announcement(a)
	case Withdraw:
		d.Numbers(2)
		d.Text(a.Prefix.String())
	case SetTimer:
		d.Numbers(3)
		d.Numbers(uint64(a.After))
	case Log:
		d.Numbers(4)
		d.Text(a.Prefix.String())
		d.Numbers(math.Float64bits(a.Penalty))
	default:
		panic(fmt.Sprintf("no ordinal for %T", a))
	}
}

func (d actionDigest) announcement(a Announce) {
	d.Text(a.Prefix.String())
	d.path(a.Path)
}

func (d actionDigest) path(p Path) {
	d.Text(p.NextHop.String())
	d.Numbers(uint64(p.Preference))
	d.Numbers(uint64(p.MED))
	d.Text(p.Communities)
}

// history runs one seeded sequence of events on four services.
type history struct {
	digest    actionDigest
	random    *rand.Rand
	announcer *Announcer
	maxStep   scheduler.Time
	now       scheduler.Time
	wakeAt    scheduler.Time
}

func (h *history) chance(p float64) bool { return h.random.Float64() < p }

func (h *history) handle(events ...Event) {
	for _, a := range h.announcer.Handle(h.now, events) {
		h.digest.add(h.now, a)
		if a, ok := a.(SetTimer); ok {
			h.wakeAt = h.now + a.After
		}
	}
}

func (h *history) step() {
	if h.chance(0.4) && h.wakeAt > h.now {
		h.now = h.wakeAt
	} else {
		h.now += scheduler.Time(h.random.IntN(int(h.maxStep)))
	}
	if h.wakeAt > 0 && h.now >= h.wakeAt {
		h.wakeAt = 0
		h.handle(TimerFired{})
	}
	var events []Event
	for range 1 + h.random.IntN(3) {
		events = append(events, h.event())
	}
	h.handle(events...)
	if h.chance(0.1) {
		h.digestState()
	}
}

func (h *history) event() Event {
	name := fmt.Sprint("s", h.random.IntN(4))
	container := fmt.Sprint("c", h.random.IntN(7))
	switch n := h.random.IntN(100); {
	case n < 12:
		return h.configure(name)
	case n < 16:
		return ServiceRemoved{Name: name}
	case n < 55:
		return ContainerRunning{Service: name, Container: container, Draining: h.chance(0.25)}
	case n < 97:
		return ContainerEnded{Service: name, Container: container}
	}
	return TimerFired{}
}

func (h *history) configure(name string) Event {
	prefix, hop := netip.MustParsePrefix("192.0.2."+name[1:]+"/32"), netip.MustParseAddr("198.51.100.1")
	switch h.random.IntN(6) {
	case 0:
		prefix, hop = netip.MustParsePrefix("2001:db8::"+name[1:]+"/128"), netip.MustParseAddr("2001:db8:1::1")
	case 1:
		hop = netip.MustParseAddr("198.51.100.2")
	}
	return ServiceSet{Name: name, Service: Service{
		Prefix: prefix, NextHop: hop, MED: uint32(h.random.IntN(3) * 50),
		MinRunning: h.random.IntN(4), MEDByHealth: h.chance(0.5),
	}}
}

// digestState adds the status of services and the announced routes to the digest.
func (h *history) digestState() {
	for _, a := range h.announcer.Announced() {
		h.digest.announcement(a)
	}
	for i := range 5 {
		status, known := h.announcer.Status(fmt.Sprint("s", i))
		h.digest.Value(known)
		h.digest.Value(status.Announced)
		h.digest.path(status.Path)
		h.digest.Numbers(uint64(status.Running))
		h.digest.Numbers(uint64(status.Draining))
		h.digest.Numbers(uint64(status.MinRunning))
		h.digest.Numbers(math.Float64bits(status.Penalty))
		h.digest.Value(status.Suppressed)
		h.digest.Numbers(uint64(status.NextUpdate))
	}
}
