package protocol

// Verdict is the reply of a scheduler to a placement request.
type Verdict uint8

// The verdicts.
const (
	VerdictPlaced      Verdict = 1 + iota
	VerdictRejected            // may be retried after PlacementReply.RetryAfter
	VerdictFailed              // no further attempt is made
	VerdictNotAdmitted         // the request was not considered; the message gives the reason
	verdictCount
)

var verdictNames = []string{"", "placed", "pushed back", "given up", "turned away"}

// String is the name of the verdict in docs/protocol.md.
func (v Verdict) String() string { return enumName(verdictNames, int(v)) }

// Submit requests the placement of a container. One PlacementReply answers it, and one Termination follows a
// VerdictPlaced.
type Submit struct {
	_              struct{}      `cbor:",toarray"`
	TimeToDeadline Duration      `cbor:"Left"`
	Spec           ContainerSpec `cbor:"Work"`
}

// CancelContainer stops a container. It is identified by its ID or, if the scheduler does not know the ID, by its
// idempotency key.
type CancelContainer struct {
	_              struct{} `cbor:",toarray"`
	ContainerID    string   `cbor:"Container"`
	IdempotencyKey string   `cbor:"Key"` // may be empty
}

// Lookup asks for the container that runs under an idempotency key; it starts nothing. A PlacementReply answers it:
// VerdictPlaced with the machine, VerdictRejected if no container runs, VerdictNotAdmitted while the scheduler does not
// know yet.
type Lookup struct {
	_              struct{} `cbor:",toarray"`
	ContainerID    string   `cbor:"Container"`
	IdempotencyKey string   `cbor:"Key"`
}

// MessageCancelled is the message of a VerdictFailed that answers a CancelContainer. The container does not run and
// will not be started.
const MessageCancelled = "cancelled"

// PlacementReply answers a Submit, a Lookup, or a CancelContainer by key if the container does not run.
type PlacementReply struct {
	_           struct{} `cbor:",toarray"`
	ContainerID string   `cbor:"Container"`
	Verdict     Verdict  `cbor:"Verdict"`
	Machine     string   `cbor:"Machine"`
	RetryAfter  Duration `cbor:"HoldOff"`
	Message     string   `cbor:"Text"`
}

// Termination reports the end of a container that was placed.
type Termination struct {
	_           struct{} `cbor:",toarray"`
	ContainerID string   `cbor:"Container"`
	Machine     string   `cbor:"Machine"`
	Outcome     Outcome  `cbor:"Outcome"`
	Reason      Reason   `cbor:"Reason"`
}

func (*Submit) kind() kind          { return kindSubmit }
func (*CancelContainer) kind() kind { return kindCancelContainer }
func (*Lookup) kind() kind          { return kindLookup }
func (*PlacementReply) kind() kind  { return kindPlacementReply }
func (*Termination) kind() kind     { return kindTermination }

func (f *Submit) validate() error {
	var v validator
	v.duration("left", f.TimeToDeadline)
	f.Spec.validate(&v)
	return v.err
}

func (f *CancelContainer) validate() error {
	var v validator
	v.name("container", f.ContainerID)
	return v.err
}

func (f *Lookup) validate() error {
	var v validator
	v.name("container", f.ContainerID)
	v.name("key", f.IdempotencyKey)
	return v.err
}

func (f *PlacementReply) validate() error {
	var v validator
	v.name("container", f.ContainerID)
	v.duration("hold-off", f.RetryAfter)
	v.enum("verdict", int(f.Verdict), int(VerdictPlaced), int(verdictCount))
	return v.err
}

func (f *Termination) validate() error {
	var v validator
	v.name("container", f.ContainerID)
	validateOutcome(&v, f.Outcome, f.Reason)
	return v.err
}
