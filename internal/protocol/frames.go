// Package protocol is the framed protocol between placers, machines, the list and owners. docs/protocol.md
// describes it. A frame is a length of four bytes, the first most significant, a byte that tells its sort, and
// a CBOR array of its fields. Spans are tenths of a millisecond; memory is in GiB.
package protocol

import (
	"fmt"
	"math"
)

// Version of the protocol; the two sides of a link must name the same.
const Version = 1

const magic = "glenport"

// Role says who greets.
type Role uint8

const (
	Placer Role = 1 + iota
	Machine
	List
	Owner
)

func (r Role) String() string {
	return nameOf([]string{"", "placer", "machine", "list", "owner"}, int(r))
}

// Span is in tenths of a millisecond.
type Span int64

// Outcome is how a bid or a container ended, as a machine or a placer tells it.
type Outcome uint8

const (
	Finished Outcome = iota
	Erred
	Full
	Stopped
	Lost // its machine or the link to it
	outcomes
)

func (o Outcome) String() string {
	return nameOf([]string{"finished", "erred", "full", "stopped", "lost"}, int(o))
}

// Reason goes with an Outcome.
type Reason uint8

const (
	NoReason Reason = iota
	NoCores
	NoMemory
	LongQueue
	NotHere
	Evicted
	PushedOut
	SentAway
	reasons
)

func (r Reason) String() string {
	return nameOf([]string{"-", "no cores", "no memory", "long queue", "not here", "evicted", "pushed out",
		"sent away"}, int(r))
}

// Verdict is a placer's one answer to an owner.
type Verdict uint8

const (
	Placed Verdict = 1 + iota
	PushedBack
	GivenUp
	TurnedAway // not taken at all; the text says why
	verdicts
)

func (v Verdict) String() string {
	return nameOf([]string{"", "placed", "pushed back", "given up", "turned away"}, int(v))
}

// State of a listed machine.
type State uint8

const (
	Serving State = iota
	Draining
	Gone
	states
)

func (s State) String() string { return nameOf([]string{"serving", "draining", "gone"}, int(s)) }

func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return fmt.Sprintf("unknown %d", i)
	}
	return names[i]
}

// Frame is one message.
type Frame interface {
	sort() byte
	check() error
}

type (
	// Hello opens a link, from both sides, before anything else.
	Hello struct {
		_       struct{} `cbor:",toarray"`
		Magic   string   `cbor:"Magic"`
		Version uint     `cbor:"Version"`
		Role    Role     `cbor:"Role"`
		Name    string   `cbor:"Name"`
		Life    uint64   `cbor:"Life"` // grows with each start of that name
	}

	// Offer is a placer's bid at a machine. Bid numbers are unique in one life of a placer.
	Offer struct {
		_    struct{} `cbor:",toarray"`
		Bid  uint64   `cbor:"Bid"`
		Wait Span     `cbor:"Wait"` // it lapses when it has not started by then
		Work Work     `cbor:"Work"`
	}

	// Work describes a container. Window is above 0 for numbered work: repeats of Key are dropped so long.
	Work struct {
		_         struct{} `cbor:",toarray"`
		Container string   `cbor:"Container"`
		Key       string   `cbor:"Key"`
		Service   string   `cbor:"Service"`
		Workload  int      `cbor:"Workload"`
		Customer  int      `cbor:"Customer"`
		Cores     float64  `cbor:"Cores"`
		Memory    float64  `cbor:"Memory"`
		Window    Span     `cbor:"Window"`
		RunFor    Span     `cbor:"RunFor"` // 0: not told
		Again     bool     `cbor:"Again"`
	}

	// Yes answers an offer; Running tells whether it runs by now or was only accepted.
	Yes struct {
		_       struct{} `cbor:",toarray"`
		Bid     uint64   `cbor:"Bid"`
		Running bool     `cbor:"Running"`
	}

	// Result ends a bid, before or after a Yes.
	Result struct {
		_       struct{}           `cbor:",toarray"`
		Bid     uint64             `cbor:"Bid"`
		Outcome Outcome            `cbor:"Outcome"`
		Reason  Reason             `cbor:"Reason"`
		Report  map[string]float64 `cbor:"Report"`
	}

	// Note is news of a container that runs: 1 it runs, 2 cores, 3 memory used, 4 part of full service,
	// 5 part of its machine's memory in use.
	Note struct {
		_      struct{} `cbor:",toarray"`
		Bid    uint64   `cbor:"Bid"`
		Sort   uint8    `cbor:"Sort"`
		Amount float64  `cbor:"Amount"`
	}

	// Withdraw calls a bid off, whether it waits or runs; a Result of Stopped follows where there was one.
	Withdraw struct {
		_    struct{} `cbor:",toarray"`
		Life uint64   `cbor:"Life"`
		Bid  uint64   `cbor:"Bid"`
	}

	Probe struct {
		_   struct{} `cbor:",toarray"`
		Seq uint64   `cbor:"Seq"`
	}

	Probed struct {
		_      struct{}           `cbor:",toarray"`
		Seq    uint64             `cbor:"Seq"`
		Report map[string]float64 `cbor:"Report"`
	}

	// Holds follows a machine's Hello: what it holds for the placer that called, of all its lives.
	Holds struct {
		_           struct{}  `cbor:",toarray"`
		Incarnation uint64    `cbor:"Incarnation"` // grows with each start of the machine
		Held        []Holding `cbor:"Held"`
	}

	Holding struct {
		_       struct{} `cbor:",toarray"`
		Life    uint64   `cbor:"Life"`
		Bid     uint64   `cbor:"Bid"`
		Running bool     `cbor:"Running"`
		Work    Work     `cbor:"Work"`
	}

	// Fetch asks for the whole list, Watch for changes after a version; a Listed or a Failed answers.
	Fetch struct {
		_ struct{} `cbor:",toarray"`
	}

	Watch struct {
		_     struct{} `cbor:",toarray"`
		On    bool     `cbor:"On"`
		Since int64    `cbor:"Since"`
	}

	Listed struct {
		_       struct{} `cbor:",toarray"`
		Whole   bool     `cbor:"Whole"`
		Version int64    `cbor:"Version"`
		Entries []Entry  `cbor:"Entries"`
	}

	Entry struct {
		_           struct{} `cbor:",toarray"`
		Machine     string   `cbor:"Machine"`
		Addr        string   `cbor:"Addr"`
		Zone        int      `cbor:"Zone"`
		Kind        int      `cbor:"Kind"`
		Cell        int      `cbor:"Cell"`
		State       State    `cbor:"State"`
		FreeCores   float64  `cbor:"FreeCores"`
		FreeMemory  float64  `cbor:"FreeMemory"`
		Hint        float64  `cbor:"Hint"`
		Incarnation uint64   `cbor:"Incarnation"`
		Age         Span     `cbor:"Age"` // since its start; below 0: long ago
	}

	Failed struct {
		_    struct{} `cbor:",toarray"`
		Text string   `cbor:"Text"`
	}

	// Beat keeps an idle link from looking dead.
	Beat struct {
		_ struct{} `cbor:",toarray"`
	}

	// Submit asks for a container; Left is the time to its hard stop. One Answer follows, and after Placed
	// one Fate.
	Submit struct {
		_    struct{} `cbor:",toarray"`
		Left Span     `cbor:"Left"`
		Work Work     `cbor:"Work"`
	}

	// Cancel ends a container, by its id or, where that is not known, by the key it runs under.
	Cancel struct {
		_         struct{} `cbor:",toarray"`
		Container string   `cbor:"Container"`
		Key       string   `cbor:"Key"` // may be empty
	}

	// Look asks for what runs under a key, and starts nothing: an Answer to the container named says placed and where,
	// pushed back where nothing of it runs, or turned away while that is not sure.
	Look struct {
		_         struct{} `cbor:",toarray"`
		Container string   `cbor:"Container"`
		Key       string   `cbor:"Key"`
	}

	Answer struct {
		_         struct{} `cbor:",toarray"`
		Container string   `cbor:"Container"`
		Verdict   Verdict  `cbor:"Verdict"`
		Machine   string   `cbor:"Machine"`
		HoldOff   Span     `cbor:"HoldOff"`
		Text      string   `cbor:"Text"`
	}

	Fate struct {
		_         struct{} `cbor:",toarray"`
		Container string   `cbor:"Container"`
		Machine   string   `cbor:"Machine"`
		Outcome   Outcome  `cbor:"Outcome"`
		Reason    Reason   `cbor:"Reason"`
	}

	AskStatus struct {
		_ struct{} `cbor:",toarray"`
	}

	// Status is a placer's account of itself, in named figures.
	Status struct {
		_       struct{} `cbor:",toarray"`
		Name    string   `cbor:"Name"`
		Figures []Figure `cbor:"Figures"`
	}

	Figure struct {
		_     struct{} `cbor:",toarray"`
		Name  string   `cbor:"Name"`
		Value float64  `cbor:"Value"`
		Unit  string   `cbor:"Unit"`
	}

	// AskWhy asks a placer what keeps work like this from machines; a Why of the same number answers.
	AskWhy struct {
		_    struct{} `cbor:",toarray"`
		Seq  uint64   `cbor:"Seq"`
		Work Work     `cbor:"Work"`
	}

	// Why counts machines by what leaves them out.
	Why struct {
		_           struct{} `cbor:",toarray"`
		Seq         uint64   `cbor:"Seq"`
		Known       bool     `cbor:"Known"` // false where the placer cannot tell
		Machines    int      `cbor:"Machines"`
		Gone        int      `cbor:"Gone"`
		OtherKind   int      `cbor:"OtherKind"`
		Draining    int      `cbor:"Draining"`
		TooSmall    int      `cbor:"TooSmall"`
		Closing     int      `cbor:"Closing"`
		SpreadFull  int      `cbor:"SpreadFull"`
		ColdSpent   int      `cbor:"ColdSpent"`
		Resting     int      `cbor:"Resting"`
		Shunned     int      `cbor:"Shunned"`
		NoCores     int      `cbor:"NoCores"`
		NoMemory    int      `cbor:"NoMemory"`
		Free        int      `cbor:"Free"`
		Yielding    bool     `cbor:"Yielding"`
		NoRoomShare float64  `cbor:"NoRoomShare"`
		ListAge     Span     `cbor:"ListAge"` // since the list was last heard; below 0: never
	}

	// AskRoutes asks how the announcements of addresses stand; a Routes answers.
	AskRoutes struct {
		_       struct{} `cbor:",toarray"`
		Service string   `cbor:"Service"` // empty: all
	}

	Routes struct {
		_        struct{}    `cbor:",toarray"`
		Peers    []RoutePeer `cbor:"Peers"`
		Services []RouteOf   `cbor:"Services"`
	}

	RoutePeer struct {
		_       struct{} `cbor:",toarray"`
		Addr    string   `cbor:"Addr"`
		AS      uint32   `cbor:"AS"`
		State   string   `cbor:"State"`
		Routes  int      `cbor:"Routes"`
		Due     int      `cbor:"Due"`
		Updates int      `cbor:"Updates"`
		Bytes   int      `cbor:"Bytes"`
		Ends    int      `cbor:"Ends"` // sessions that ended
		Why     string   `cbor:"Why"`
	}

	RouteOf struct {
		_          struct{} `cbor:",toarray"`
		Service    string   `cbor:"Service"`
		Prefix     string   `cbor:"Prefix"`
		Announced  bool     `cbor:"Announced"`
		Preference uint32   `cbor:"Preference"`
		Running    int      `cbor:"Running"`
		Draining   int      `cbor:"Draining"`
		Least      int      `cbor:"Least"`
		Penalty    float64  `cbor:"Penalty"`
		Suppressed bool     `cbor:"Suppressed"`
		Next       Span     `cbor:"Next"` // until a change that waits for its pace; 0: none does
	}

	// Bye tells why a link is about to be closed.
	Bye struct {
		_    struct{} `cbor:",toarray"`
		Text string   `cbor:"Text"`
	}
)

// sorts makes an empty frame of each sort; the byte on the wire is the place in it.
var sorts = [...]func() Frame{
	1: func() Frame { return new(Hello) }, 2: func() Frame { return new(Offer) },
	3: func() Frame { return new(Yes) }, 4: func() Frame { return new(Result) },
	5: func() Frame { return new(Note) }, 6: func() Frame { return new(Withdraw) },
	7: func() Frame { return new(Probe) }, 8: func() Frame { return new(Probed) },
	9: func() Frame { return new(Holds) }, 10: func() Frame { return new(Fetch) },
	11: func() Frame { return new(Watch) }, 12: func() Frame { return new(Listed) },
	13: func() Frame { return new(Failed) }, 14: func() Frame { return new(Beat) },
	15: func() Frame { return new(Submit) }, 16: func() Frame { return new(Cancel) },
	17: func() Frame { return new(Answer) }, 18: func() Frame { return new(Fate) },
	20: func() Frame { return new(AskStatus) },
	21: func() Frame { return new(Status) }, 22: func() Frame { return new(Bye) },
	23: func() Frame { return new(AskWhy) }, 24: func() Frame { return new(Why) },
	25: func() Frame { return new(AskRoutes) }, 26: func() Frame { return new(Routes) },
	27: func() Frame { return new(Look) },
}

func (*Hello) sort() byte     { return 1 }
func (*Offer) sort() byte     { return 2 }
func (*Yes) sort() byte       { return 3 }
func (*Result) sort() byte    { return 4 }
func (*Note) sort() byte      { return 5 }
func (*Withdraw) sort() byte  { return 6 }
func (*Probe) sort() byte     { return 7 }
func (*Probed) sort() byte    { return 8 }
func (*Holds) sort() byte     { return 9 }
func (*Fetch) sort() byte     { return 10 }
func (*Watch) sort() byte     { return 11 }
func (*Listed) sort() byte    { return 12 }
func (*Failed) sort() byte    { return 13 }
func (*Beat) sort() byte      { return 14 }
func (*Submit) sort() byte    { return 15 }
func (*Cancel) sort() byte    { return 16 }
func (*Answer) sort() byte    { return 17 }
func (*Fate) sort() byte      { return 18 }
func (*AskStatus) sort() byte { return 20 }
func (*Status) sort() byte    { return 21 }
func (*Bye) sort() byte       { return 22 }
func (*AskWhy) sort() byte    { return 23 }
func (*Look) sort() byte      { return 27 }
func (*Why) sort() byte       { return 24 }
func (*AskRoutes) sort() byte { return 25 }
func (*Routes) sort() byte    { return 26 }

// longest of any name on the wire, in bytes, and the furthest span: a year.
const (
	longestName  = 200
	furthestSpan = Span(365 * 24 * 3600 * 10_000)
	mostCount    = 1 << 20
)

// checker keeps the first fault found in a frame.
type checker struct{ fault error }

func (c *checker) fail(field, what string) {
	if c.fault == nil {
		c.fault = fmt.Errorf("%s %s", field, what)
	}
}

func (c *checker) name(field, s string) {
	switch {
	case s == "":
		c.fail(field, "is empty")
	case len(s) > longestName:
		c.fail(field, "is too long")
	}
}

func (c *checker) count(field string, n int) {
	if n < 0 || n > mostCount {
		c.fail(field, "is out of range")
	}
}

func (c *checker) span(field string, s Span) {
	if s < 0 || s > furthestSpan {
		c.fail(field, "is out of range")
	}
}

func (c *checker) number(field string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > 1e12 {
		c.fail(field, "is no usable number")
	}
}

func (c *checker) size(field string, v float64) {
	c.number(field, v)
	if v < 0 {
		c.fail(field, "is below 0")
	}
}

func (c *checker) below(field string, v, end int) {
	if v >= end {
		c.fail(field, "is unknown")
	}
}

func (c *checker) report(r map[string]float64) {
	for k, v := range r {
		c.name("report", k)
		c.number("report", v)
	}
}

func (f *Hello) check() error {
	var c checker
	c.name("name", f.Name)
	if f.Magic != magic {
		c.fail("greeting", "is not glenport's")
	} else if f.Version != Version {
		c.fail("version", fmt.Sprintf("%d is not %d", f.Version, Version))
	}
	if f.Role < Placer || f.Role > Owner {
		c.fail("role", "is unknown")
	}
	return c.fault
}

func (w *Work) examine(c *checker) {
	c.name("container", w.Container)
	c.name("key", w.Key)
	c.name("service", w.Service)
	c.count("workload", w.Workload)
	c.count("customer", w.Customer)
	c.size("cores", w.Cores)
	c.size("memory", w.Memory)
	c.span("window", w.Window)
	c.span("run for", w.RunFor)
}

func (f *Offer) check() error {
	var c checker
	c.span("wait", f.Wait)
	f.Work.examine(&c)
	return c.fault
}

func (f *Result) check() error {
	var c checker
	c.below("outcome", int(f.Outcome), int(outcomes))
	c.below("reason", int(f.Reason), int(reasons))
	c.report(f.Report)
	return c.fault
}

func (f *Note) check() error {
	var c checker
	if f.Sort < 1 || f.Sort > 5 {
		c.fail("note", "is of unknown sort")
	}
	c.size("amount", f.Amount)
	return c.fault
}

func (f *Probed) check() error {
	var c checker
	c.report(f.Report)
	return c.fault
}

func (f *Holds) check() error {
	var c checker
	for i := range f.Held {
		f.Held[i].Work.examine(&c)
	}
	return c.fault
}

func (f *Listed) check() error {
	var c checker
	for i := range f.Entries {
		e := &f.Entries[i]
		c.name("machine", e.Machine)
		if e.State != Gone {
			c.name("address", e.Addr)
		}
		c.count("zone", e.Zone)
		c.count("kind", e.Kind)
		c.count("cell", e.Cell)
		c.below("state", int(e.State), int(states))
		c.number("free cores", e.FreeCores)
		c.number("free memory", e.FreeMemory)
		c.number("hint", e.Hint)
		if e.Age > furthestSpan {
			c.fail("age", "is out of range")
		}
		if c.fault != nil {
			return fmt.Errorf("entry %d: %w", i, c.fault)
		}
	}
	return nil
}

func (f *Submit) check() error {
	var c checker
	c.span("left", f.Left)
	f.Work.examine(&c)
	return c.fault
}

func (f *AskWhy) check() error {
	var c checker
	f.Work.examine(&c)
	return c.fault
}

func (f *Why) check() error {
	var c checker
	c.number("share", f.NoRoomShare)
	for _, n := range []int{f.Machines, f.Gone, f.OtherKind, f.Draining, f.TooSmall, f.Closing, f.SpreadFull, f.ColdSpent,
		f.Resting, f.Shunned, f.NoCores, f.NoMemory, f.Free} {
		c.count("count", n)
	}
	return c.fault
}

func (f *Cancel) check() error {
	var c checker
	c.name("container", f.Container)
	return c.fault
}

func (f *Look) check() error {
	var c checker
	c.name("container", f.Container)
	c.name("key", f.Key)
	return c.fault
}

func (f *Answer) check() error {
	var c checker
	c.name("container", f.Container)
	c.span("hold-off", f.HoldOff)
	if f.Verdict < Placed || f.Verdict >= verdicts {
		c.fail("verdict", "is unknown")
	}
	return c.fault
}

func (f *Fate) check() error {
	var c checker
	c.name("container", f.Container)
	c.below("outcome", int(f.Outcome), int(outcomes))
	c.below("reason", int(f.Reason), int(reasons))
	return c.fault
}

func (f *Status) check() error {
	var c checker
	for _, g := range f.Figures {
		c.name("figure", g.Name)
		c.number(g.Name, g.Value)
	}
	return c.fault
}

func (f *Watch) check() error {
	if f.Since < 0 {
		return fmt.Errorf("version is below 0")
	}
	return nil
}

func (*Yes) check() error       { return nil }
func (*Withdraw) check() error  { return nil }
func (*Probe) check() error     { return nil }
func (*Fetch) check() error     { return nil }
func (*Failed) check() error    { return nil }
func (*Beat) check() error      { return nil }
func (*AskStatus) check() error { return nil }
func (*Bye) check() error       { return nil }
func (*AskRoutes) check() error { return nil }
func (*Routes) check() error    { return nil }
