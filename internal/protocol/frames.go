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
	RoleScheduler Role = 1 + iota
	RoleMachine
	RoleMachineList
	RoleClient
)

func (r Role) String() string {
	return enumName([]string{"", "placer", "machine", "list", "owner"}, int(r))
}

// Duration is in tenths of a millisecond.
type Duration int64

// Outcome is how a bid or a container ended, as a machine or a placer tells it.
type Outcome uint8

const (
	OutcomeFinished Outcome = iota
	OutcomeErrored
	OutcomeFull
	OutcomeStopped
	OutcomeLost // its machine or the link to it
	outcomeCount
)

func (o Outcome) String() string {
	return enumName([]string{"finished", "erred", "full", "stopped", "lost"}, int(o))
}

// Reason goes with an Outcome.
type Reason uint8

const (
	ReasonNone Reason = iota
	ReasonNoCores
	ReasonNoMemory
	ReasonQueueTooLong
	ReasonWrongMachine
	ReasonOutOfMemory
	ReasonPreempted
	ReasonDrained
	reasonCount
)

func (r Reason) String() string {
	return enumName([]string{"-", "no cores", "no memory", "long queue", "not here", "evicted", "pushed out",
		"sent away"}, int(r))
}

// Verdict is a placer's one answer to an owner.
type Verdict uint8

const (
	VerdictPlaced Verdict = 1 + iota
	VerdictRejected
	VerdictFailed
	VerdictNotAdmitted // not taken at all; the text says why
	verdictCount
)

func (v Verdict) String() string {
	return enumName([]string{"", "placed", "pushed back", "given up", "turned away"}, int(v))
}

// MachineState of a listed machine.
type MachineState uint8

const (
	MachineServing MachineState = iota
	MachineDraining
	MachineGone
	machineStateCount
)

func (s MachineState) String() string {
	return enumName([]string{"serving", "draining", "gone"}, int(s))
}

func enumName(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return fmt.Sprintf("unknown %d", i)
	}
	return names[i]
}

// Frame is one message.
type Frame interface {
	kind() byte
	validate() error
}

type (
	// Hello opens a link, from both sides, before anything else.
	Hello struct {
		_           struct{} `cbor:",toarray"`
		Magic       string   `cbor:"Magic"`
		Version     uint     `cbor:"Version"`
		Role        Role     `cbor:"Role"`
		Name        string   `cbor:"Name"`
		Incarnation uint64   `cbor:"Life"` // grows with each start of that name
	}

	// Offer is a placer's bid at a machine. Bid numbers are unique in one life of a placer.
	Offer struct {
		_         struct{}      `cbor:",toarray"`
		AttemptID uint64        `cbor:"Bid"`
		Timeout   Duration      `cbor:"Wait"` // it lapses when it has not started by then
		Spec      ContainerSpec `cbor:"Work"`
	}

	// ContainerSpec describes a container. Window is above 0 for numbered work: repeats of Key are dropped so long.
	ContainerSpec struct {
		_               struct{} `cbor:",toarray"`
		ContainerID     string   `cbor:"Container"`
		IdempotencyKey  string   `cbor:"Key"`
		Service         string   `cbor:"Service"`
		WorkloadClass   int      `cbor:"Workload"`
		Tenant          int      `cbor:"Customer"`
		Cores           float64  `cbor:"Cores"`
		Memory          float64  `cbor:"Memory"`
		DedupWindow     Duration `cbor:"Window"`
		ExpectedRuntime Duration `cbor:"RunFor"` // 0: not told
		ClientRetry     bool     `cbor:"Again"`
	}

	// Accept answers an offer; Running tells whether it runs by now or was only accepted.
	Accept struct {
		_         struct{} `cbor:",toarray"`
		AttemptID uint64   `cbor:"Bid"`
		Running   bool     `cbor:"Running"`
	}

	// Result ends a bid, before or after a Yes.
	Result struct {
		_         struct{}           `cbor:",toarray"`
		AttemptID uint64             `cbor:"Bid"`
		Outcome   Outcome            `cbor:"Outcome"`
		Reason    Reason             `cbor:"Reason"`
		Report    map[string]float64 `cbor:"Report"`
	}

	// UsageReport is news of a container that runs: 1 it runs, 2 cores, 3 memory used, 4 part of full service,
	// 5 part of its machine's memory in use.
	UsageReport struct {
		_         struct{} `cbor:",toarray"`
		AttemptID uint64   `cbor:"Bid"`
		Metric    uint8    `cbor:"Sort"`
		Value     float64  `cbor:"Amount"`
	}

	// CancelAttempt calls a bid off, whether it waits or runs; a Result of Stopped follows where there was one.
	CancelAttempt struct {
		_                    struct{} `cbor:",toarray"`
		SchedulerIncarnation uint64   `cbor:"Life"`
		AttemptID            uint64   `cbor:"Bid"`
	}

	Probe struct {
		_   struct{} `cbor:",toarray"`
		Seq uint64   `cbor:"Seq"`
	}

	ProbeReply struct {
		_      struct{}           `cbor:",toarray"`
		Seq    uint64             `cbor:"Seq"`
		Report map[string]float64 `cbor:"Report"`
	}

	// Inventory follows a machine's Hello: what it holds for the placer that called, of all its lives.
	Inventory struct {
		_                  struct{}        `cbor:",toarray"`
		MachineIncarnation uint64          `cbor:"Incarnation"` // grows with each start of the machine
		Containers         []InventoryItem `cbor:"Held"`
	}

	InventoryItem struct {
		_                    struct{}      `cbor:",toarray"`
		SchedulerIncarnation uint64        `cbor:"Life"`
		AttemptID            uint64        `cbor:"Bid"`
		Running              bool          `cbor:"Running"`
		Spec                 ContainerSpec `cbor:"Work"`
	}

	// FetchMachineList asks for the whole list, Watch for changes after a version; a Listed or a Failed answers.
	FetchMachineList struct {
		_ struct{} `cbor:",toarray"`
	}

	WatchMachineList struct {
		_            struct{} `cbor:",toarray"`
		Enabled      bool     `cbor:"On"`
		SinceVersion int64    `cbor:"Since"`
	}

	MachineListUpdate struct {
		_            struct{}       `cbor:",toarray"`
		FullSnapshot bool           `cbor:"Whole"`
		Version      int64          `cbor:"Version"`
		Entries      []MachineEntry `cbor:"Entries"`
	}

	MachineEntry struct {
		_           struct{}     `cbor:",toarray"`
		Machine     string       `cbor:"Machine"`
		Address     string       `cbor:"Addr"`
		Zone        int          `cbor:"Zone"`
		MachineType int          `cbor:"Kind"`
		RackGroup   int          `cbor:"Cell"`
		State       MachineState `cbor:"State"`
		FreeCores   float64      `cbor:"FreeCores"`
		FreeMemory  float64      `cbor:"FreeMemory"`
		PowerHint   float64      `cbor:"Hint"`
		Incarnation uint64       `cbor:"Incarnation"`
		Age         Duration     `cbor:"Age"` // since its start; below 0: long ago
	}

	MachineListError struct {
		_       struct{} `cbor:",toarray"`
		Message string   `cbor:"Text"`
	}

	// Heartbeat keeps an idle link from looking dead.
	Heartbeat struct {
		_ struct{} `cbor:",toarray"`
	}

	// Submit asks for a container; Left is the time to its hard stop. One Answer follows, and after Placed
	// one Fate.
	Submit struct {
		_              struct{}      `cbor:",toarray"`
		TimeToDeadline Duration      `cbor:"Left"`
		Spec           ContainerSpec `cbor:"Work"`
	}

	// CancelContainer ends a container, by its id or, where that is not known, by the key it runs under.
	CancelContainer struct {
		_              struct{} `cbor:",toarray"`
		ContainerID    string   `cbor:"Container"`
		IdempotencyKey string   `cbor:"Key"` // may be empty
	}

	// Lookup asks for what runs under a key, and starts nothing: an Answer to the container named says placed and where,
	// pushed back where nothing of it runs, or turned away while that is not sure.
	Lookup struct {
		_              struct{} `cbor:",toarray"`
		ContainerID    string   `cbor:"Container"`
		IdempotencyKey string   `cbor:"Key"`
	}

	PlacementReply struct {
		_           struct{} `cbor:",toarray"`
		ContainerID string   `cbor:"Container"`
		Verdict     Verdict  `cbor:"Verdict"`
		Machine     string   `cbor:"Machine"`
		RetryAfter  Duration `cbor:"HoldOff"`
		Message     string   `cbor:"Text"`
	}

	Termination struct {
		_           struct{} `cbor:",toarray"`
		ContainerID string   `cbor:"Container"`
		Machine     string   `cbor:"Machine"`
		Outcome     Outcome  `cbor:"Outcome"`
		Reason      Reason   `cbor:"Reason"`
	}

	StatusRequest struct {
		_ struct{} `cbor:",toarray"`
	}

	// StatusReply is a placer's account of itself, in named figures.
	StatusReply struct {
		_     struct{} `cbor:",toarray"`
		Name  string   `cbor:"Name"`
		Stats []Stat   `cbor:"Figures"`
	}

	Stat struct {
		_     struct{} `cbor:",toarray"`
		Name  string   `cbor:"Name"`
		Value float64  `cbor:"Value"`
		Unit  string   `cbor:"Unit"`
	}

	// ExplainRequest asks a placer what keeps work like this from machines; a Why of the same number answers.
	ExplainRequest struct {
		_    struct{}      `cbor:",toarray"`
		Seq  uint64        `cbor:"Seq"`
		Spec ContainerSpec `cbor:"Work"`
	}

	// ExplainReply counts machines by what leaves them out.
	ExplainReply struct {
		_                  struct{} `cbor:",toarray"`
		Seq                uint64   `cbor:"Seq"`
		Known              bool     `cbor:"Known"` // false where the placer cannot tell
		Machines           int      `cbor:"Machines"`
		Gone               int      `cbor:"Gone"`
		WrongMachineType   int      `cbor:"OtherKind"`
		Draining           int      `cbor:"Draining"`
		TooSmall           int      `cbor:"TooSmall"`
		SelfDraining       int      `cbor:"Closing"`
		SpreadExhausted    int      `cbor:"SpreadFull"`
		SlowStartExhausted int      `cbor:"ColdSpent"`
		Ejected            int      `cbor:"Resting"`
		Suspected          int      `cbor:"Shunned"`
		InsufficientCores  int      `cbor:"NoCores"`
		InsufficientMemory int      `cbor:"NoMemory"`
		Eligible           int      `cbor:"Free"`
		SheddingLoad       bool     `cbor:"Yielding"`
		FullRatio          float64  `cbor:"NoRoomShare"`
		ListAge            Duration `cbor:"ListAge"` // since the list was last heard; below 0: never
	}

	// RoutesRequest asks how the announcements of addresses stand; a Routes answers.
	RoutesRequest struct {
		_       struct{} `cbor:",toarray"`
		Service string   `cbor:"Service"` // empty: all
	}

	RoutesReply struct {
		_        struct{}        `cbor:",toarray"`
		Peers    []BGPPeerStatus `cbor:"Peers"`
		Services []ServiceRoute  `cbor:"Services"`
	}

	BGPPeerStatus struct {
		_             struct{} `cbor:",toarray"`
		Address       string   `cbor:"Addr"`
		ASN           uint32   `cbor:"AS"`
		State         string   `cbor:"State"`
		Routes        int      `cbor:"Routes"`
		PendingRoutes int      `cbor:"Due"`
		UpdatesSent   int      `cbor:"Updates"`
		BytesSent     int      `cbor:"Bytes"`
		SessionsEnded int      `cbor:"Ends"` // sessions that ended
		LastError     string   `cbor:"Why"`
	}

	ServiceRoute struct {
		_               struct{} `cbor:",toarray"`
		Service         string   `cbor:"Service"`
		Prefix          string   `cbor:"Prefix"`
		Announced       bool     `cbor:"Announced"`
		LocalPreference uint32   `cbor:"Preference"`
		Running         int      `cbor:"Running"`
		Draining        int      `cbor:"Draining"`
		MinRunning      int      `cbor:"Least"`
		Penalty         float64  `cbor:"Penalty"`
		Suppressed      bool     `cbor:"Suppressed"`
		NextChangeIn    Duration `cbor:"Next"` // until a change that waits for its pace; 0: none does
	}

	// Goodbye tells why a link is about to be closed.
	Goodbye struct {
		_       struct{} `cbor:",toarray"`
		Message string   `cbor:"Text"`
	}
)

// frameTypes makes an empty frame of each sort; the byte on the wire is the place in it.
var frameTypes = [...]func() Frame{
	1: func() Frame { return new(Hello) }, 2: func() Frame { return new(Offer) },
	3: func() Frame { return new(Accept) }, 4: func() Frame { return new(Result) },
	5: func() Frame { return new(UsageReport) }, 6: func() Frame { return new(CancelAttempt) },
	7: func() Frame { return new(Probe) }, 8: func() Frame { return new(ProbeReply) },
	9: func() Frame { return new(Inventory) }, 10: func() Frame { return new(FetchMachineList) },
	11: func() Frame { return new(WatchMachineList) }, 12: func() Frame { return new(MachineListUpdate) },
	13: func() Frame { return new(MachineListError) }, 14: func() Frame { return new(Heartbeat) },
	15: func() Frame { return new(Submit) }, 16: func() Frame { return new(CancelContainer) },
	17: func() Frame { return new(PlacementReply) }, 18: func() Frame { return new(Termination) },
	20: func() Frame { return new(StatusRequest) },
	21: func() Frame { return new(StatusReply) }, 22: func() Frame { return new(Goodbye) },
	23: func() Frame { return new(ExplainRequest) }, 24: func() Frame { return new(ExplainReply) },
	25: func() Frame { return new(RoutesRequest) }, 26: func() Frame { return new(RoutesReply) },
	27: func() Frame { return new(Lookup) },
}

func (*Hello) kind() byte             { return 1 }
func (*Offer) kind() byte             { return 2 }
func (*Accept) kind() byte            { return 3 }
func (*Result) kind() byte            { return 4 }
func (*UsageReport) kind() byte       { return 5 }
func (*CancelAttempt) kind() byte     { return 6 }
func (*Probe) kind() byte             { return 7 }
func (*ProbeReply) kind() byte        { return 8 }
func (*Inventory) kind() byte         { return 9 }
func (*FetchMachineList) kind() byte  { return 10 }
func (*WatchMachineList) kind() byte  { return 11 }
func (*MachineListUpdate) kind() byte { return 12 }
func (*MachineListError) kind() byte  { return 13 }
func (*Heartbeat) kind() byte         { return 14 }
func (*Submit) kind() byte            { return 15 }
func (*CancelContainer) kind() byte   { return 16 }
func (*PlacementReply) kind() byte    { return 17 }
func (*Termination) kind() byte       { return 18 }
func (*StatusRequest) kind() byte     { return 20 }
func (*StatusReply) kind() byte       { return 21 }
func (*Goodbye) kind() byte           { return 22 }
func (*ExplainRequest) kind() byte    { return 23 }
func (*Lookup) kind() byte            { return 27 }
func (*ExplainReply) kind() byte      { return 24 }
func (*RoutesRequest) kind() byte     { return 25 }
func (*RoutesReply) kind() byte       { return 26 }

// longest of any name on the wire, in bytes, and the furthest span: a year.
const (
	maxNameLength = 200
	maxDuration   = Duration(365 * 24 * 3600 * 10_000)
	maxElements   = 1 << 20
)

// validator keeps the first fault found in a frame.
type validator struct{ err error }

func (c *validator) fail(field, what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%s %s", field, what)
	}
}

func (c *validator) name(field, s string) {
	switch {
	case s == "":
		c.fail(field, "is empty")
	case len(s) > maxNameLength:
		c.fail(field, "is too long")
	}
}

func (c *validator) count(field string, n int) {
	if n < 0 || n > maxElements {
		c.fail(field, "is out of range")
	}
}

func (c *validator) duration(field string, s Duration) {
	if s < 0 || s > maxDuration {
		c.fail(field, "is out of range")
	}
}

func (c *validator) number(field string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > 1e12 {
		c.fail(field, "is no usable number")
	}
}

func (c *validator) size(field string, v float64) {
	c.number(field, v)
	if v < 0 {
		c.fail(field, "is below 0")
	}
}

func (c *validator) below(field string, v, end int) {
	if v >= end {
		c.fail(field, "is unknown")
	}
}

func (c *validator) report(r map[string]float64) {
	for k, v := range r {
		c.name("report", k)
		c.number("report", v)
	}
}

func (f *Hello) validate() error {
	var c validator
	c.name("name", f.Name)
	if f.Magic != magic {
		c.fail("greeting", "is not glenport's")
	} else if f.Version != Version {
		c.fail("version", fmt.Sprintf("%d is not %d", f.Version, Version))
	}
	if f.Role < RoleScheduler || f.Role > RoleClient {
		c.fail("role", "is unknown")
	}
	return c.err
}

func (w *ContainerSpec) validate(c *validator) {
	c.name("container", w.ContainerID)
	c.name("key", w.IdempotencyKey)
	c.name("service", w.Service)
	c.count("workload", w.WorkloadClass)
	c.count("customer", w.Tenant)
	c.size("cores", w.Cores)
	c.size("memory", w.Memory)
	c.duration("window", w.DedupWindow)
	c.duration("run for", w.ExpectedRuntime)
}

func (f *Offer) validate() error {
	var c validator
	c.duration("wait", f.Timeout)
	f.Spec.validate(&c)
	return c.err
}

func (f *Result) validate() error {
	var c validator
	c.below("outcome", int(f.Outcome), int(outcomeCount))
	c.below("reason", int(f.Reason), int(reasonCount))
	c.report(f.Report)
	return c.err
}

func (f *UsageReport) validate() error {
	var c validator
	if f.Metric < 1 || f.Metric > 5 {
		c.fail("note", "is of unknown sort")
	}
	c.size("amount", f.Value)
	return c.err
}

func (f *ProbeReply) validate() error {
	var c validator
	c.report(f.Report)
	return c.err
}

func (f *Inventory) validate() error {
	var c validator
	for i := range f.Containers {
		f.Containers[i].Spec.validate(&c)
	}
	return c.err
}

func (f *MachineListUpdate) validate() error {
	var c validator
	for i := range f.Entries {
		e := &f.Entries[i]
		c.name("machine", e.Machine)
		if e.State != MachineGone {
			c.name("address", e.Address)
		}
		c.count("zone", e.Zone)
		c.count("kind", e.MachineType)
		c.count("cell", e.RackGroup)
		c.below("state", int(e.State), int(machineStateCount))
		c.number("free cores", e.FreeCores)
		c.number("free memory", e.FreeMemory)
		c.number("hint", e.PowerHint)
		if e.Age > maxDuration {
			c.fail("age", "is out of range")
		}
		if c.err != nil {
			return fmt.Errorf("entry %d: %w", i, c.err)
		}
	}
	return nil
}

func (f *Submit) validate() error {
	var c validator
	c.duration("left", f.TimeToDeadline)
	f.Spec.validate(&c)
	return c.err
}

func (f *ExplainRequest) validate() error {
	var c validator
	f.Spec.validate(&c)
	return c.err
}

func (f *ExplainReply) validate() error {
	var c validator
	c.number("share", f.FullRatio)
	for _, n := range []int{f.Machines, f.Gone, f.WrongMachineType, f.Draining, f.TooSmall, f.SelfDraining, f.SpreadExhausted, f.SlowStartExhausted,
		f.Ejected, f.Suspected, f.InsufficientCores, f.InsufficientMemory, f.Eligible} {
		c.count("count", n)
	}
	return c.err
}

func (f *CancelContainer) validate() error {
	var c validator
	c.name("container", f.ContainerID)
	return c.err
}

func (f *Lookup) validate() error {
	var c validator
	c.name("container", f.ContainerID)
	c.name("key", f.IdempotencyKey)
	return c.err
}

func (f *PlacementReply) validate() error {
	var c validator
	c.name("container", f.ContainerID)
	c.duration("hold-off", f.RetryAfter)
	if f.Verdict < VerdictPlaced || f.Verdict >= verdictCount {
		c.fail("verdict", "is unknown")
	}
	return c.err
}

func (f *Termination) validate() error {
	var c validator
	c.name("container", f.ContainerID)
	c.below("outcome", int(f.Outcome), int(outcomeCount))
	c.below("reason", int(f.Reason), int(reasonCount))
	return c.err
}

func (f *StatusReply) validate() error {
	var c validator
	for _, g := range f.Stats {
		c.name("figure", g.Name)
		c.number(g.Name, g.Value)
	}
	return c.err
}

func (f *WatchMachineList) validate() error {
	if f.SinceVersion < 0 {
		return fmt.Errorf("version is below 0")
	}
	return nil
}

func (*Accept) validate() error           { return nil }
func (*CancelAttempt) validate() error    { return nil }
func (*Probe) validate() error            { return nil }
func (*FetchMachineList) validate() error { return nil }
func (*MachineListError) validate() error { return nil }
func (*Heartbeat) validate() error        { return nil }
func (*StatusRequest) validate() error    { return nil }
func (*Goodbye) validate() error          { return nil }
func (*RoutesRequest) validate() error    { return nil }
func (*RoutesReply) validate() error      { return nil }
