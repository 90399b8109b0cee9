package platformcheck

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is one of the ten kinds of events of docs/crossings.md.
type Kind uint8

// The kinds of events, in the order of docs/crossings.md.
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

func (k Kind) String() string {
	return [...]string{"TERM", "HUP", "bus", "list", "client", "answer", "connection", "fd", "start", "time"}[k]
}

// kindWeights are the relative frequencies of the kinds. Their sum is 200.
var kindWeights = [kindCount]int{
	KindTerm: 2, KindReload: 6, KindDiscovery: 12, KindMachineList: 20, KindClient: 76, KindResponse: 30,
	KindConnection: 20, KindDescriptors: 6, KindStart: 10, KindTiming: 18,
}

// Event is an event of a run. Its effect depends on its numbers and on the state of the run at its time.
type Event struct {
	At      time.Duration // since the start of the run
	Kind    Kind
	Variant uint32 // selects the action of the kind
	Target  uint32 // selects the peer
	Amount  uint32 // selects durations, numbers and choices of the action
}

// targetCount is the number of different targets of events.
const targetCount = 12

// eventGaps are the choices for the time between two events. Many events happen at the same time.
var eventGaps = [...]time.Duration{
	0, 0, 0, 0, time.Millisecond, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond,
	60 * time.Millisecond, 250 * time.Millisecond,
}

const (
	quietOneIn = 150             // one event in so many is preceded by quietTime
	quietTime  = 5 * time.Second // longer than knownWithin and than the time that unused connections stay open
)

// Draw returns a random list of events.
func Draw(seed uint64, count int) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	events := make([]Event, 0, count)
	at := 20 * time.Millisecond
	for range count {
		at += eventGaps[random.IntN(len(eventGaps))]
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
	for kind, weight := range kindWeights {
		if left < weight {
			return Kind(kind)
		}
		left -= weight
	}
	return KindTiming
}

// pickDuration returns the duration in a span that the amount of the event selects.
func (e Event) pickDuration(span [2]time.Duration) time.Duration {
	return span[0] + time.Duration(uint64(e.Amount)*uint64(span[1]-span[0])>>32)
}

// String describes the event in words.
func (e Event) String() string {
	return fmt.Sprintf("%8.1f ms  %-10s %s", float64(e.At)/float64(time.Millisecond), e.Kind, e.action().describe(e))
}

// action is a variant of a kind of event. Either do or doFor is set; doFor has a lasting effect.
type action struct {
	text  string // ends with "for" or "by" if doFor is set, because the duration follows
	do    func(w *World, e Event)
	span  [2]time.Duration // shortest and longest duration of doFor
	doFor func(w *World, e Event, span time.Duration)
}

// play carries out the event.
func (e Event) play(w *World) {
	a := e.action()
	if a.doFor != nil {
		a.doFor(w, e, e.pickDuration(a.span))
		return
	}
	a.do(w, e)
}

// action returns the action that the event selects.
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
