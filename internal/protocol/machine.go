package protocol

// Offer carries an attempt of a scheduler to place a container on a machine.
type Offer struct {
	_         struct{}      `cbor:",toarray"`
	AttemptID uint64        `cbor:"Bid"`  // unique within an incarnation of the scheduler
	Timeout   Duration      `cbor:"Wait"` // the offer expires if the container has not started by then
	Spec      ContainerSpec `cbor:"Work"`
}

// Accept answers an Offer. A Result follows it.
type Accept struct {
	_         struct{} `cbor:",toarray"`
	AttemptID uint64   `cbor:"Bid"`
	Running   bool     `cbor:"Running"` // false: accepted but not started yet
}

// Result ends an attempt, with or without an Accept before it.
type Result struct {
	_         struct{}           `cbor:",toarray"`
	AttemptID uint64             `cbor:"Bid"`
	Outcome   Outcome            `cbor:"Outcome"`
	Reason    Reason             `cbor:"Reason"`
	Report    map[string]float64 `cbor:"Report"` // load of the machine, by names that the machine chooses
}

// UsageMetric is the metric of a UsageReport. The values are those of scheduler.UsageMetric.
type UsageMetric = uint8

// The metrics.
const (
	MetricRunning       UsageMetric = 1 + iota // the container runs
	MetricCoresUsed                            // cores
	MetricMemoryUsed                           // GiB
	MetricServedShare                          // ratio of delivered to full service
	MetricMachineMemory                        // fraction of the machine's memory in use
)

// UsageReport is a measurement of a running container.
type UsageReport struct {
	_         struct{}    `cbor:",toarray"`
	AttemptID uint64      `cbor:"Bid"`
	Metric    UsageMetric `cbor:"Sort"`
	Value     float64     `cbor:"Amount"`
}

// CancelAttempt cancels an attempt, whether its container is waiting or running. A Result with OutcomeStopped follows
// if the machine knows the attempt.
type CancelAttempt struct {
	_                    struct{} `cbor:",toarray"`
	SchedulerIncarnation uint64   `cbor:"Life"`
	AttemptID            uint64   `cbor:"Bid"`
}

// Probe asks a machine for its load. A ProbeReply with the same number answers.
type Probe struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64   `cbor:"Seq"`
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	_      struct{}           `cbor:",toarray"`
	Seq    uint64             `cbor:"Seq"`
	Report map[string]float64 `cbor:"Report"` // as in Result
}

// Inventory follows the Hello of a machine. It lists all containers that the machine has accepted from any incarnation
// of the scheduler at the other end of the connection.
type Inventory struct {
	_                  struct{}        `cbor:",toarray"`
	MachineIncarnation uint64          `cbor:"Incarnation"` // increases with each start of the machine
	Containers         []InventoryItem `cbor:"Held"`
}

// InventoryItem is one container of an Inventory.
type InventoryItem struct {
	_                    struct{}      `cbor:",toarray"`
	SchedulerIncarnation uint64        `cbor:"Life"`
	AttemptID            uint64        `cbor:"Bid"`
	Running              bool          `cbor:"Running"`
	Spec                 ContainerSpec `cbor:"Work"`
}

func (*Offer) kind() kind         { return kindOffer }
func (*Accept) kind() kind        { return kindAccept }
func (*Result) kind() kind        { return kindResult }
func (*UsageReport) kind() kind   { return kindUsageReport }
func (*CancelAttempt) kind() kind { return kindCancelAttempt }
func (*Probe) kind() kind         { return kindProbe }
func (*ProbeReply) kind() kind    { return kindProbeReply }
func (*Inventory) kind() kind     { return kindInventory }

func (f *Offer) validate() error {
	var v validator
	v.duration("wait", f.Timeout)
	f.Spec.validate(&v)
	return v.err
}

func (f *Result) validate() error {
	var v validator
	validateOutcome(&v, f.Outcome, f.Reason)
	v.report(f.Report)
	return v.err
}

func (f *UsageReport) validate() error {
	var v validator
	if f.Metric < MetricRunning || f.Metric > MetricMachineMemory {
		v.fail("note", "is of unknown sort")
	}
	v.size("amount", f.Value)
	return v.err
}

func (f *ProbeReply) validate() error {
	var v validator
	v.report(f.Report)
	return v.err
}

func (f *Inventory) validate() error {
	var v validator
	for i := range f.Containers {
		f.Containers[i].Spec.validate(&v)
	}
	return v.err
}

func (*Accept) validate() error        { return nil }
func (*CancelAttempt) validate() error { return nil }
func (*Probe) validate() error         { return nil }
