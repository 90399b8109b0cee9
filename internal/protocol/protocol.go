// Package protocol is the framed protocol between schedulers, machines, the machine list and clients. docs/protocol.md
// describes it.
//
// A frame consists of a length of four bytes in big-endian order, one byte for its kind, and a CBOR array of its fields
// in order. The kinds and the order of the fields are the wire format. The cbor tags hold the names of the fields in
// docs/protocol.md, for use in errors. Memory is in GiB.
package protocol

import "fmt"

// Version is the version of the protocol. Both sides of a connection must use the same.
const Version = 1

const helloMagic = "glenport"

// Duration is in tenths of a millisecond.
type Duration int64

// maxDuration is a year.
const maxDuration = Duration(365 * 24 * 3600 * 10_000)

// Frame is one message. Its implementations are pointers to structs of this package.
type Frame interface {
	kind() kind
	validate() error
}

// Name returns the name of a frame in docs/protocol.md.
func Name(f Frame) string { return frameTypes[f.kind()].name }

// kind is the byte that identifies the type of a frame on the wire. Kind 19 is no longer in use.
type kind byte

const (
	kindHello             kind = 1
	kindOffer             kind = 2
	kindAccept            kind = 3
	kindResult            kind = 4
	kindUsageReport       kind = 5
	kindCancelAttempt     kind = 6
	kindProbe             kind = 7
	kindProbeReply        kind = 8
	kindInventory         kind = 9
	kindFetchMachineList  kind = 10
	kindWatchMachineList  kind = 11
	kindMachineListUpdate kind = 12
	kindMachineListError  kind = 13
	kindHeartbeat         kind = 14
	kindSubmit            kind = 15
	kindCancelContainer   kind = 16
	kindPlacementReply    kind = 17
	kindTermination       kind = 18
	kindStatusRequest     kind = 20
	kindStatusReply       kind = 21
	kindGoodbye           kind = 22
	kindExplainRequest    kind = 23
	kindExplainReply      kind = 24
	kindRoutesRequest     kind = 25
	kindRoutesReply       kind = 26
	kindLookup            kind = 27
)

// frameType describes a kind of frame to the codec.
type frameType struct {
	name     string // in docs/protocol.md
	newFrame func() Frame
}

// frameTypes holds the frame type of each kind. Entries of unused kinds are empty.
var frameTypes = [...]frameType{
	kindHello:             {"Hello", func() Frame { return new(Hello) }},
	kindOffer:             {"Offer", func() Frame { return new(Offer) }},
	kindAccept:            {"Yes", func() Frame { return new(Accept) }},
	kindResult:            {"Result", func() Frame { return new(Result) }},
	kindUsageReport:       {"Note", func() Frame { return new(UsageReport) }},
	kindCancelAttempt:     {"Withdraw", func() Frame { return new(CancelAttempt) }},
	kindProbe:             {"Probe", func() Frame { return new(Probe) }},
	kindProbeReply:        {"Probed", func() Frame { return new(ProbeReply) }},
	kindInventory:         {"Holds", func() Frame { return new(Inventory) }},
	kindFetchMachineList:  {"Fetch", func() Frame { return new(FetchMachineList) }},
	kindWatchMachineList:  {"Watch", func() Frame { return new(WatchMachineList) }},
	kindMachineListUpdate: {"Listed", func() Frame { return new(MachineListUpdate) }},
	kindMachineListError:  {"Failed", func() Frame { return new(MachineListError) }},
	kindHeartbeat:         {"Beat", func() Frame { return new(Heartbeat) }},
	kindSubmit:            {"Submit", func() Frame { return new(Submit) }},
	kindCancelContainer:   {"Cancel", func() Frame { return new(CancelContainer) }},
	kindPlacementReply:    {"Answer", func() Frame { return new(PlacementReply) }},
	kindTermination:       {"Fate", func() Frame { return new(Termination) }},
	kindStatusRequest:     {"AskStatus", func() Frame { return new(StatusRequest) }},
	kindStatusReply:       {"Status", func() Frame { return new(StatusReply) }},
	kindGoodbye:           {"Bye", func() Frame { return new(Goodbye) }},
	kindExplainRequest:    {"AskWhy", func() Frame { return new(ExplainRequest) }},
	kindExplainReply:      {"Why", func() Frame { return new(ExplainReply) }},
	kindRoutesRequest:     {"AskRoutes", func() Frame { return new(RoutesRequest) }},
	kindRoutesReply:       {"Routes", func() Frame { return new(RoutesReply) }},
	kindLookup:            {"Look", func() Frame { return new(Lookup) }},
}

// newFrame returns an empty frame of a kind, or nil if the kind is unknown.
func newFrame(k kind) Frame {
	if int(k) >= len(frameTypes) || frameTypes[k].newFrame == nil {
		return nil
	}
	return frameTypes[k].newFrame()
}

// enumName returns the name of an enumerated value.
func enumName(names []string, value int) string {
	if value < 0 || value >= len(names) {
		return fmt.Sprintf("unknown %d", value)
	}
	return names[value]
}
