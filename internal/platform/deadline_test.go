package platform

import (
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testbed/simnet"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// linePeer is a peer that records the data that it receives, and calls onConnected once it is connected.
type linePeer struct {
	onConnected func(*simnet.PeerConn)
	received    strings.Builder
}

func (p *linePeer) Connected(c *simnet.PeerConn)                    { p.onConnected(c) }
func (p *linePeer) Received(_ *simnet.PeerConn, chunk simnet.Chunk) { p.received.Write(chunk.Data) }
func (p *linePeer) Ended(*simnet.PeerConn, error)                   {}

// A machine counts the time of an offer from when it receives the offer. If the process stalls within an iteration, the
// offer states the time that is left after the stall.
func TestOfferTimeCountsFromItsSending(t *testing.T) {
	const timeout, stall = scheduler.Second, 20 * eventloop.Millisecond
	const maxMillisLeft = 980
	loops := make(chan *eventloop.Loop, 1)
	received := make(chan *jsonlines.Message, 10)
	addr := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
		received <- msg
		m.send(acceptLine(msg.RequestID))
	})
	r := startWithMachineA(t, addr, func(e scheduler.Event) []scheduler.Action {
		if request, ok := e.(scheduler.RequestReceived); ok && request.ID == otherRequestID {
			for loop := <-loops; loop.ReadClock()-loop.Now() < stall; {
				continue
			}
		}
		return attemptOnA(timeout)(e)
	})
	client := r.place() // the connection is established from then on
	testutil.Receive(t, received)
	loops <- r.server.env.loop
	client.send(offerLine(otherRequestID, ""))
	client.expect(jsonlines.OpAccept, otherRequestID)
	left, err := strconv.Atoi(testutil.Receive(t, received).Fields["left"])
	testutil.NoError(t, err)
	testutil.Expect(t, left <= maxMillisLeft, "%d ms are left after a stall, want %d at most", left, maxMillisLeft)
}

// If the process was not run for a while, it may find a connection established in the iteration in which the deadline
// of the attempt has passed. The connection carries no offer then: the machine would start a container that nobody
// waits for.
func TestConnThatOpensAfterTheDeadlineCarriesNoOffer(t *testing.T) {
	machineAddr, discoveryAddr := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	network := simnet.New(1)
	kernel := network.NewKernel()
	text := configJSON(discoveryAddr.String(), 256, snapshotJSON(1, machineJSON("a", machineAddr.String(), "ready", 0)))
	config, err := parseConfig([]byte(text))
	testutil.NoError(t, err)
	sched := &scriptedScheduler{script: attemptOnA(50 * scheduler.Millisecond), events: make(chan scheduler.Event, 100)}
	server, err := NewSimulated(kernel, config, sched, slog.New(slog.DiscardHandler))
	testutil.NoError(t, err)

	machine := &linePeer{onConnected: func(*simnet.PeerConn) { kernel.Stall(100 * time.Millisecond) }}
	network.Listen(machineAddr, &simnet.Endpoint{Accept: func() simnet.PeerHandler { return machine }})
	network.Listen(discoveryAddr, &simnet.Endpoint{Accept: func() simnet.PeerHandler {
		return &linePeer{onConnected: func(*simnet.PeerConn) {}}
	}})
	client := &linePeer{onConnected: func(c *simnet.PeerConn) { c.Write([]byte(offerLine(requestID, "")+"\n"), nil) }}
	network.Dial(netip.MustParseAddrPort(server.Addr()), client)
	network.After(time.Second, server.Shutdown)
	testutil.ExpectNoError(t, server.Run())

	testutil.Equal(t, machine.received.String(), "", "what the machine received")
	testutil.Expect(t, strings.Contains(client.received.String(), `"why":41`), "answer %q", client.received.String())
	var outcomes []scheduler.Outcome
	for len(sched.events) > 0 {
		if ended, ok := (<-sched.events).(scheduler.AttemptEnded); ok {
			outcomes = append(outcomes, ended.Outcome)
		}
	}
	testutil.SlicesEqual(t, outcomes, []scheduler.Outcome{scheduler.OutcomeNotSent})
}
