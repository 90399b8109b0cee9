// Package scheduler decides on which machine each container of a service is started.
package scheduler

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

const (
	Millisecond Time = 10
	Second      Time = 10_000
)

// Effect says what a second run of a container would do.
type Effect uint8

const (
	Reissuable Effect = iota // may run again
	Numbered                 // repeats are dropped inside a group of machines, for a while
	AtMostOnce               // must never run twice
)

// Place is an extent of the fleet: where repeats are dropped, or what a spread counts.
type Place uint8

const (
	Nowhere Place = iota
	OneMachine
	OneCell
	OneZone
	Everywhere
)

// Workload holds the terms of one sort of container.
type Workload struct {
	Effect   Effect  `cbor:"Effect"`
	Repeats  Place   `cbor:"Repeats"` // numbered: the group that drops repeats
	Window   Time    `cbor:"Window"`  // numbered: for how long it does
	Agreed   Time    `cbor:"Agreed"`  // a start within it earns in full
	HardStop Time    `cbor:"HardStop"`
	Kind     int     `cbor:"Kind"` // the machine kind it needs, -1 for any
	Spread   Place   `cbor:"Spread"`
	Most     int     `cbor:"Most"` // containers of a service in one such place
	Gain     float64 `cbor:"Gain"`
}

// Kind is a sort of machine.
type Kind struct {
	Cores  float64 `cbor:"Cores"`
	Memory float64 `cbor:"Memory"`
}

// Customer has a share of the fleet, in cores asked of all placers.
type Customer struct {
	Cores float64 `cbor:"Cores"`
}

// Terms are what a placer is told when it starts.
type Terms struct {
	Seed         uint64     `cbor:"Seed"`
	Me           int        `cbor:"Me"` // this placer among them, from 0
	Placers      int        `cbor:"Placers"`
	Workloads    []Workload `cbor:"Workloads"`
	Kinds        []Kind     `cbor:"Kinds"`
	Customers    []Customer `cbor:"Customers"`
	OverShare    float64    `cbor:"OverShare"`   // worth of what a customer asks beyond its share
	AcceptCores  float64    `cbor:"AcceptCores"` // a machine accepts asks up to this multiple of its cores
	AcceptMemory float64    `cbor:"AcceptMemory"`
	MeanCores    float64    `cbor:"MeanCores"`
	MeanMemory   float64    `cbor:"MeanMemory"`
	YesRuns      bool       `cbor:"YesRuns"`    // a machine says yes only once the container runs
	UseNotes     bool       `cbor:"UseNotes"`   // use of own containers is told
	ListedAsks   bool       `cbor:"ListedAsks"` // list entries tell the room that nobody has asked for
	MayProbe     bool       `cbor:"MayProbe"`
	MostBids     int        `cbor:"MostBids"`
	AnswerGrace  Time       `cbor:"AnswerGrace"` // after the hard stop, in which an answer is still in time
	ListOnAsk    bool       `cbor:"ListOnAsk"`   // the list must be watched
	AskWithin    Time       `cbor:"AskWithin"`
	ColdFor      Time       `cbor:"ColdFor"` // a machine that came up is warm after this
	ColdWindow   Time       `cbor:"ColdWindow"`
	ColdBids     int        `cbor:"ColdBids"` // bids in a window that a cold machine always bears, from all placers
}

// MachineID and ContainerID name things at the door only.
type (
	MachineID   string
	ContainerID string
)

// Entry is what the list says of one machine.
type Entry struct {
	Machine    MachineID
	Zone       int
	Kind       int
	Cell       int
	State      MachineState
	FreeCores  float64
	FreeMemory float64
	PowerHint  float64
	StartedAt  Time // 0: long ago
}

type MachineState uint8

const (
	Serving MachineState = iota
	Draining
	Gone
)

type ListMode uint8

const (
	Changes ListMode = iota
	WholeList
	OldList // the list as last held before a restart
	ListFailed
	SelfReported // a new start by the machine's own hello: the list itself was not heard
)

// Event is something that happened to a placer.
type Event interface{ event() }

// ListCame is news of the machines.
type ListCame struct {
	Mode    ListMode
	Version int64
	Entries []Entry
}

// Ask describes a container.
type Ask struct {
	ID       ContainerID `cbor:"ID"`
	Key      string      `cbor:"Key"` // the same each time the container comes
	Service  string      `cbor:"Service"`
	Workload int         `cbor:"Workload"`
	Customer int         `cbor:"Customer"`
	Cores    float64     `cbor:"Cores"`
	Memory   float64     `cbor:"Memory"`
	Due      Time        `cbor:"Due"`   // its hard stop on the clock
	Life     Time        `cbor:"Life"`  // what it will still run, 0: not told
	Again    bool        `cbor:"Again"` // it came before
}

// Asked is a container to be placed; TookOver is one that runs already.
type (
	Asked    struct{ Ask }
	TookOver struct {
		Ask
		Machine MachineID
	}
)

// Placed is a machine's yes.
type Placed struct {
	ID      ContainerID
	Bid     int
	Machine MachineID
	Took    Time
}

type NoteSort uint8

const (
	Running NoteSort = 1 + iota
	CoresUsed
	MemoryUsed
	ServedShare
	MachineMemory
)

// Noted is news of a container that has no outcome yet.
type Noted struct {
	ID      ContainerID
	Machine MachineID
	Bid     int
	Sort    NoteSort
	Amount  float64
}

type Outcome uint8

const (
	Finished  Outcome = iota
	Erred             // may have started
	Full              // never ran
	TimedOut          // may have started, or may yet
	NoConnect         // never ran
	Reset             // lost, or cut short
	Stopped           // withdrawn or moved
	NotSent           // never ran
)

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
)

// Report is a machine's word on its load, by the names it uses.
type Report map[string]float64

// Ended is the one outcome of a bid.
type Ended struct {
	ID      ContainerID
	Over    bool // nothing more is owed
	Bid     int
	Outcome Outcome
	Machine MachineID
	Reason  Reason
	Took    Time
	Report  Report
}

// Probed answers a Probe.
type Probed struct {
	Machine MachineID
	Outcome Outcome // Finished when all is well
	Took    Time
	Report  Report
}

// Woke is a timer; Vanished ends a container from outside.
type (
	Woke     struct{ Name string }
	Vanished struct{ ID ContainerID }
)

func (ListCame) event() {}
func (Asked) event()    {}
func (TookOver) event() {}
func (Placed) event()   {}
func (Noted) event()    {}
func (Ended) event()    {}
func (Probed) event()   {}
func (Woke) event()     {}
func (Vanished) event() {}

// Action is something a placer wants done.
type Action interface{ action() }

type (
	// Bid offers a container to a machine; MaxWait 0 waits until the hard stop.
	Bid struct {
		ID      ContainerID
		Machine MachineID
		MaxWait Time
	}
	// PushBack tells the owner that asking again does no harm; GiveUp promises nothing.
	PushBack struct {
		ID      ContainerID
		HoldOff Time
	}
	GiveUp struct{ ID ContainerID }
	// Withdraw stops waiting on a bid.
	Withdraw struct {
		ID  ContainerID
		Bid int
	}
	Probe struct{ Machine MachineID }
	// Disconnect closes idle connections.
	Disconnect struct{ Machine MachineID }
	Wake       struct {
		After Time
		Name  string
	}
	Watch struct{ On bool }
	Fetch struct{}
	Log   struct{ Text string }
)

func (Bid) action()        {}
func (PushBack) action()   {}
func (GiveUp) action()     {}
func (Withdraw) action()   {}
func (Probe) action()      {}
func (Disconnect) action() {}
func (Wake) action()       {}
func (Watch) action()      {}
func (Fetch) action()      {}
func (Log) action()        {}

// Explanation answers why a container may find no machine: how many machines each filter leaves out.
type Explanation struct {
	Machines    int // listed and not gone; the sum of those below but Gone
	Gone        int
	OtherKind   int
	Draining    int
	TooSmall    int
	Closing     int // on their own word: sending containers away
	SpreadFull  int
	ColdSpent   int
	Resting     int // look sick
	Shunned     int
	NoCores     int // by the asks that the list tells
	NoMemory    int
	Free        int
	Yielding    bool // low gain is pushed back
	NoRoomShare float64
}

// Knowledge is what a placer has learned and no list tells. The times are by its clock.
type Knowledge struct {
	Machines  []Learned `cbor:"Machines"`
	Traits    []Trait   `cbor:"Traits"` // the workloads, then the customers, then no customer
	Full      float64   `cbor:"Full"`   // moving share of bids that found no room, and what they would have gained
	Missed    float64   `cbor:"Missed"`
	SentSince Time      `cbor:"SentSince"` // from then on all that was sent to cold machines is known
}

// Learned is what a placer knows of one start of a machine.
type Learned struct {
	Machine   MachineID `cbor:"Machine"`
	Started   Time      `cbor:"Started"`
	Sick      float64   `cbor:"Sick"`      // log odds
	RestUntil Time      `cbor:"RestUntil"` // a last resort until then; 0: it is not
	Rest      Time      `cbor:"Rest"`      // how long it is one
	ShutUntil Time      `cbor:"ShutUntil"` // out of every draw on its own word
	Doubts    []Doubt   `cbor:"Doubts"`    // by trait
	Cold      []Time    `cbor:"Cold"`      // when bids and probes went to it in the last window, the earliest first
}

// Trait is a workload or a customer: what some machines may treat unlike the rest.
type Trait struct {
	Lost float64 `cbor:"Lost"` // moving share of bids lost
	Bar  float64 `cbor:"Bar"`  // log odds from which a machine is taken to shun it
}

// Doubt is log odds that a machine shuns a trait, as of a time; they fade.
type Doubt struct {
	Odds float64 `cbor:"Odds"`
	At   Time    `cbor:"At"`
}
