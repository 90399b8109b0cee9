package connmanager

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"glenport/internal/golden"
)

const digestFile = "testdata/decisions.txt"

// digest hashes decisions. It includes neither names of types or fields nor texts of reasons: an action is hashed as
// its ordinal below and its values in order, a reason as the ordinal of its first occurrence.
type digest struct {
	*golden.Digest
	reasons map[string]uint64
}

func newDigest() *digest { return &digest{Digest: golden.NewDigest(), reasons: map[string]uint64{}} }

func (d *digest) reason(reason any) {
	text := fmt.Sprint(reason)
	if _, ok := d.reasons[text]; !ok {
		d.reasons[text] = uint64(len(d.reasons))
	}
	d.Numbers(d.reasons[text])
}

func (d *digest) action(now Time, action Action) {
	d.Count(1)
	d.Numbers(uint64(now))
	switch a := action.(type) {
	case CloseClient:
		d.Numbers(0, uint64(a.Client))
		d.reason(a.Reason)
	case NotifyTermination:
		d.Numbers(1, uint64(a.Cause), uint64(a.Client))
		d.Text(a.RequestID)
	case PauseReading:
		d.Numbers(2, uint64(a.Client), uint64(a.Duration))
	default:
		panic(fmt.Sprintf("action %T has no ordinal", action))
	}
}

// sequence is a sequence of random events for one manager. It tracks connected clients and terminations, so that most
// events are consistent with the earlier ones; a few are not.
type sequence struct {
	random           *rand.Rand
	now              Time
	grid             Time // time advances in multiples of it; 0: by arbitrary amounts
	lastID           uint64
	connectedClients []uint64
	terminatedIDs    []string
	count            int
}

// client returns a client that is connected, in most cases.
func (s *sequence) client() ClientID {
	if len(s.connectedClients) == 0 || s.random.IntN(25) == 0 {
		return ClientID(s.random.Uint64N(s.lastID + 3)) // 0, a disconnected client, or one that never connected
	}
	return ClientID(s.connectedClients[s.random.IntN(len(s.connectedClients))])
}

func (s *sequence) terminatedID() string {
	if len(s.terminatedIDs) == 0 || s.random.IntN(8) == 0 {
		return "never-told"
	}
	return s.terminatedIDs[s.random.IntN(len(s.terminatedIDs))]
}

func (s *sequence) connect() Event {
	s.lastID++
	s.connectedClients = append(s.connectedClients, s.lastID)
	return ClientConnected{Client: ClientID(s.lastID)}
}

func (s *sequence) disconnect() Event {
	id := s.client()
	for i, c := range s.connectedClients {
		if ClientID(c) == id {
			s.connectedClients = append(s.connectedClients[:i], s.connectedClients[i+1:]...)
			break
		}
	}
	return ClientDisconnected{Client: id}
}

func (s *sequence) terminate() Event {
	s.count++
	id := fmt.Sprintf("%016x", s.count)
	s.terminatedIDs = append(s.terminatedIDs, id)
	from := s.client()
	if s.random.IntN(3) == 0 {
		from = 0
	}
	return ContainerTerminated{RequestID: id, Cause: s.random.IntN(50) - 1, Client: from}
}

func (s *sequence) receive() Event {
	return BytesReceived{Client: s.client(), Partial: s.random.IntN(3) == 0}
}

func (s *sequence) send() Event {
	return MessageSent{Client: s.client(), ClosedRequests: s.random.IntN(3)}
}

func (s *sequence) acknowledge() Event {
	return TerminationAcknowledged{RequestID: s.terminatedID(), Client: s.client()}
}

// weights are the relative frequencies of the events in a group of sequences.
type weights struct {
	connect, receive, request, send, cancel, invalid, prove, reclaim, disconnect, terminate, acknowledge, tick int
}

func (s *sequence) event(w weights) Event {
	return golden.Draw(s.random,
		golden.NewChoice(w.connect, s.connect),
		golden.NewChoice(w.receive, s.receive),
		golden.NewChoice(w.request, func() Event { return PlacementRequested{Client: s.client()} }),
		golden.NewChoice(w.send, s.send),
		golden.NewChoice(w.cancel, func() Event { return RequestCancelled{Client: s.client()} }),
		golden.NewChoice(w.invalid, func() Event { return InvalidMessageReceived{Client: s.client()} }),
		golden.NewChoice(w.prove, func() Event { return OwnershipProven{Client: s.client()} }),
		golden.NewChoice(w.reclaim, func() Event { return ContainerReclaimed{Client: s.client()} }),
		golden.NewChoice(w.disconnect, s.disconnect),
		golden.NewChoice(w.terminate, s.terminate),
		golden.NewChoice(w.acknowledge, s.acknowledge),
		golden.NewChoice(w.tick, func() Event { return Tick{} }),
	)
}

// wait advances the time. On a grid, events fall exactly on deadlines.
func (s *sequence) wait() {
	if s.grid > 0 {
		s.now += s.grid * Time(s.random.IntN(4))
		return
	}
	s.now += golden.DrawWait(s.random, Second)
}

func (s *sequence) run(d *digest, descriptors, batches int, w weights) {
	manager := New(descriptors)
	s.now = Time(s.random.IntN(1000))
	for range batches {
		s.wait()
		events := make([]Event, 0, 4)
		for range 1 + s.random.IntN(4) {
			events = append(events, s.event(w))
		}
		for _, a := range manager.Handle(s.now, events) {
			d.action(s.now, a)
		}
	}
}

func clientGroup(seed uint64, descriptors []int, batches int, w weights) func(*digest) {
	return func(d *digest) {
		for i := range 400 {
			grids := []Time{0, Second / 4, Second / 10}
			s := &sequence{random: rand.New(rand.NewPCG(seed, uint64(i))), grid: grids[i%len(grids)]}
			s.run(d, descriptors[i%len(descriptors)], batches, w)
		}
	}
}

// machineConnections hashes every decision on connections to machines, at and around each limit.
func machineConnections(d *digest) {
	for _, descriptors := range []int{0, 1, 16, 31, 32, 33, 48, 64, 100, 255, 256, 384, 576, 1024, 65536} {
		d.Numbers(uint64(MaxMachineConns(descriptors)))
		for _, machines := range []int{0, 1, 2, 12, 100, 1000} {
			d.Numbers(uint64(MaxConnsPerMachine(descriptors, machines)))
		}
		for connections := max(0, descriptors-40); connections <= descriptors+1; connections++ {
			d.Value(CanOpenBeforeClose(descriptors, connections))
		}
		d.Count(2)
	}
	for flags := range 8 {
		for _, closes := range []Time{0, 1, Second, 3 * Second, 10 * Second, 30 * Second} {
			for _, idle := range []Time{
				0, 1, Second/2 - 1, Second / 2, Second, closes/2 - 1, closes / 2, closes,
				5*Second - 1, 5 * Second, 60 * Second,
			} {
				conn := MachineConn{
					Primary: flags&1 != 0, MachineRunsContainers: flags&2 != 0, CarriesRunningContainer: flags&4 != 0,
					IdleFor: idle, MachineIdleTimeout: closes,
				}
				d.Value(conn.ShouldKeep())
				d.Value(conn.CanCarryAttempt())
				d.Numbers(uint64(conn.EvictionRank()))
				d.Count(3)
			}
		}
	}
}

func shutdown(d *digest) {
	deadlines := []Time{0, 1, Second / 10, Second / 2, 7 * Second / 10, Second, 3 * Second, 6 * Second, 60 * Second}
	for _, longest := range deadlines {
		for since := Time(0); since <= 5*Second; since += Second / 20 {
			for _, at := range []Time{since - 1, since, since + 1} {
				d.Value(ShouldKeepDraining(at, 0, longest))
				d.Value(ShouldKeepDraining(at, 1, longest))
				d.Value(ShouldForceAnswers(at, longest))
				d.Count(3)
			}
		}
	}
}

// TestDecisionsAreUnchanged compares the decisions on some thousand random sequences of events with the recorded ones.
func TestDecisionsAreUnchanged(t *testing.T) {
	uniform := weights{4, 8, 5, 6, 2, 2, 2, 2, 3, 4, 3, 6}
	manyClients := weights{20, 10, 8, 8, 2, 1, 3, 2, 4, 2, 2, 3}
	manyTerminations := weights{3, 4, 3, 4, 1, 0, 3, 3, 3, 10, 4, 15}
	fewRequests := weights{6, 3, 1, 1, 1, 1, 1, 2, 1, 1, 1, 12}
	manyInvalid := weights{2, 4, 2, 2, 2, 12, 1, 1, 3, 1, 1, 3}
	var got strings.Builder
	for _, group := range []struct {
		name string
		run  func(*digest)
	}{
		{"mixed events, many descriptors", clientGroup(1, []int{1024, 384}, 100, uniform)},
		{"mixed events, few descriptors", clientGroup(2, []int{0, 40, 52, 64}, 100, uniform)},
		{"more clients than descriptors", clientGroup(3, []int{48, 56, 64, 100}, 120, manyClients)},
		{"terminations with few acknowledgements", clientGroup(4, []int{64, 256}, 100, manyTerminations)},
		{"clients that ask nothing", clientGroup(5, []int{64, 256}, 100, fewRequests)},
		{"invalid messages", clientGroup(6, []int{64, 256}, 60, manyInvalid)},
		{"connections to machines", machineConnections},
		{"shutdown", shutdown},
	} {
		d := newDigest()
		group.run(d)
		fmt.Fprintf(&got, "%s: %s, %d decisions\n", group.name, d.Sum(), d.Records())
	}
	golden.CheckText(t, digestFile, got.String())
}
