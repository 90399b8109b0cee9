package protocol

// StatusRequest asks a scheduler for its stats. A StatusReply answers it.
type StatusRequest struct {
	_ struct{} `cbor:",toarray"`
}

// StatusReply holds the stats of a scheduler.
type StatusReply struct {
	_     struct{} `cbor:",toarray"`
	Name  string   `cbor:"Name"` // name of the scheduler
	Stats []Stat   `cbor:"Figures"`
}

// Stat is one named value of a StatusReply.
type Stat struct {
	_     struct{} `cbor:",toarray"`
	Name  string   `cbor:"Name"`
	Value float64  `cbor:"Value"`
	Unit  string   `cbor:"Unit"`
}

// ExplainRequest asks a scheduler why machines are not eligible for a container with this spec. An ExplainReply with
// the same sequence number answers it.
type ExplainRequest struct {
	_    struct{}      `cbor:",toarray"`
	Seq  uint64        `cbor:"Seq"`
	Spec ContainerSpec `cbor:"Work"`
}

// ExplainReply counts machines by the reason for which they are excluded, as scheduler.Explanation does.
type ExplainReply struct {
	_                  struct{} `cbor:",toarray"`
	Seq                uint64   `cbor:"Seq"`
	Known              bool     `cbor:"Known"` // false: the scheduler has no explanation
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
	FullRatio          float64  `cbor:"NoRoomShare"` // share of attempts that machines rejected as full
	ListAge            Duration `cbor:"ListAge"`     // time since the last update of the machine list; negative: none
}

func (*StatusRequest) kind() kind  { return kindStatusRequest }
func (*StatusReply) kind() kind    { return kindStatusReply }
func (*ExplainRequest) kind() kind { return kindExplainRequest }
func (*ExplainReply) kind() kind   { return kindExplainReply }

func (f *StatusReply) validate() error {
	var v validator
	for _, stat := range f.Stats {
		v.name("figure", stat.Name)
		v.number(stat.Name, stat.Value)
	}
	return v.err
}

func (f *ExplainRequest) validate() error {
	var v validator
	f.Spec.validate(&v)
	return v.err
}

func (f *ExplainReply) validate() error {
	var v validator
	v.number("share", f.FullRatio)
	for _, count := range []int{
		f.Machines, f.Gone, f.WrongMachineType, f.Draining, f.TooSmall, f.SelfDraining, f.SpreadExhausted,
		f.SlowStartExhausted, f.Ejected, f.Suspected, f.InsufficientCores, f.InsufficientMemory, f.Eligible,
	} {
		v.count("count", count)
	}
	return v.err
}

func (*StatusRequest) validate() error { return nil }
