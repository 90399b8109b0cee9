package platformcheck

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is one of the ten sorts of events of docs/crossings.md.
type Kind uint8

// The sorts, in the order of docs/crossings.md.
const (
	KindTerm Kind = iota
	KindReload
	KindDiscovery
	KindMachineList
	KindClient
	KindResponse
	KindConnection
	KindDescriptors
	KindStart
	KindTiming
	kindCount
)

func (s Kind) String() string {
	return [...]string{"TERM", "HUP", "bus", "list", "client", "answer", "connection", "fd", "start", "time"}[s]
}

// kindWeights are how often each sort is drawn, in 200.
var kindWeights = [kindCount]int{
	KindTerm: 2, KindReload: 6, KindDiscovery: 12, KindMachineList: 20, KindClient: 76, KindResponse: 30,
	KindConnection: 20, KindDescriptors: 6, KindStart: 10, KindTiming: 18,
}

// Event is one thing that happens to the process. What exactly is determined by the choices, and by the state that the
// world is in by then.
type Event struct {
	At      time.Duration // since the begin of the run
	Kind    Kind
	Variant uint32 // which of the things of the sort
	Target  uint32 // to whom
	Amount  uint32 // how long, how many
}

// targetCount is how many different targetCount an event can name.
const targetCount = 12

// gaps are the times between two events; many events come at the same moment.
var gaps = [...]time.Duration{
	0, 0, 0, 0, time.Millisecond, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond,
	60 * time.Millisecond, 250 * time.Millisecond,
}

const (
	quietOneIn = 150             // events before which nothing happens for quietTime
	quietTime  = 5 * time.Second // longer than what a silent bus counts as told by, and than connections stay unused
)

// Draw draws a list of events.
func Draw(seed uint64, count int) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	events := make([]Event, 0, count)
	at := 20 * time.Millisecond
	for range count {
		at += gaps[random.IntN(len(gaps))]
		if random.IntN(quietOneIn) == 0 {
			at += quietTime
		}
		events = append(events, Event{
			At: at, Kind: drawKind(random),
			Variant: random.Uint32(), Target: random.Uint32N(targetCount), Amount: random.Uint32(),
		})
	}
	return events
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, weight := range kindWeights {
		total += weight
	}
	left := random.IntN(total)
	for sort, weight := range kindWeights {
		if left < weight {
			return Kind(sort)
		}
		left -= weight
	}
	return KindTiming
}

// pickDuration takes a time from the amount of an event.
func (e Event) pickDuration(span [2]time.Duration) time.Duration {
	return span[0] + time.Duration(uint64(e.Amount)*uint64(span[1]-span[0])>>32)
}

// String describes an event in words.
func (e Event) String() string {
	return fmt.Sprintf("%8.1f ms  %-10s %s", float64(e.At)/float64(time.Millisecond), e.Kind, e.action().describe(e))
}

// action is one variant of a sort of event: it does something at once, or something that lasts.
type action struct {
	text  string // ends with "for" or "by" where a span follows
	do    func(w *World, e Event)
	span  [2]time.Duration // the shortest and the longest one
	doFor func(w *World, e Event, span time.Duration)
}

// play has an event happen.
func (e Event) play(w *World) {
	a := e.action()
	if a.doFor != nil {
		a.doFor(w, e, e.pickDuration(a.span))
		return
	}
	a.do(w, e)
}

// action returns the variant that an event chose.
func (e Event) action() action {
	variants := actions[e.Kind]
	return variants[e.Variant%uint32(len(variants))]
}

func (a action) describe(e Event) string {
	text := a.text
	if a.doFor != nil {
		text += fmt.Sprintf(" %v", e.pickDuration(a.span).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s (target %d)", text, e.Target)
}
