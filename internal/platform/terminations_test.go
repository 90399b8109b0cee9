package platform

import (
	"net"
	"sync/atomic"
	"testing"

	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
)

// missOrder is what a machine does in place of reading the first termination that arrives.
type missOrder func(m *peer, testEnds <-chan bool)

// resetUnread resets the connection.
func resetUnread(m *peer, _ <-chan bool) {
	if conn, ok := m.c.(*net.TCPConn); ok {
		testutil.ExpectNoError(m.t, conn.SetLinger(0))
	}
	m.close()
}

// forgetUnread leaves the connection open and reads nothing more.
func forgetUnread(_ *peer, testEnds <-chan bool) { <-testEnds }

// The cancel of an offer that its machine has not read is sent again. Guards against a container that runs although its
// request was cancelled: the machine has accepted the offer, and cancel and accept are lost with the connection.
func TestUnreadCancelOfAnOfferIsSentAgain(t *testing.T) {
	cancelled := make(chan *jsonlines.Message, 10)
	var offered atomic.Bool
	addr := serveTCP(t, func(m *peer) {
		msg := m.receive()
		if msg != nil && msg.Op == jsonlines.OpEnd {
			cancelled <- msg
			m.send(endLine(msg.RequestID, jsonlines.CauseCancelled))
		}
		if offered.CompareAndSwap(false, true) {
			_, _ = m.r.Peek(1) // waits for the cancel
			resetUnread(m, nil)
			return
		}
		m.receive()
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.request(requestID)
	testutil.WaitUntil(t, "the machine has read the offer", offered.Load)
	client.send(endLine(requestID, jsonlines.CauseNormal))
	msg := testutil.Receive(t, cancelled)
	testutil.Expect(t, isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal), "received %+v", msg)
	testutil.WaitUntil(t, "nothing more is to be sent", func() bool {
		pending := true
		r.runOnLoop(func() {
			pending = r.server.env.cancels.IsPending(connmanager.Cancel{Machine: "a", RequestID: requestID})
		})
		return !pending
	})
}

// machineThatMissesOneOrder accepts each offer, does not read the first message that follows on the connection of an
// offer, and ends a container when it reads its termination on a later connection. It sends these terminations to
// ended.
func machineThatMissesOneOrder(t *testing.T, miss missOrder) (addr string, ended chan *jsonlines.Message) {
	t.Helper()
	ended = make(chan *jsonlines.Message, 10)
	var hasMissed atomic.Bool
	testEnds := make(chan bool)
	addr = serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			if msg.Op == jsonlines.OpOffer {
				m.send(acceptLine(msg.RequestID))
			} else {
				ended <- msg
				m.send(endLine(msg.RequestID, jsonlines.CauseCancelled))
			}
			if hasMissed.Load() {
				continue
			}
			if _, err := m.r.Peek(1); err == nil && hasMissed.CompareAndSwap(false, true) {
				miss(m, testEnds)
				return
			}
		}
	})
	t.Cleanup(func() { close(testEnds) })
	return addr, ended
}

// A termination that its machine has not read is sent again, on another connection: guards against a container that
// runs on beside its successor, because its termination was lost with a connection.
func TestUnreadTerminationIsSentAgain(t *testing.T) {
	for name, miss := range map[string]missOrder{
		"connection reset":     resetUnread,
		"connection forgotten": forgetUnread,
	} {
		t.Run(name, func(t *testing.T) {
			addr, ended := machineThatMissesOneOrder(t, miss)
			r := startWithMachineA(t, addr, attemptOnA(0))
			client := r.place()
			client.send(endLine(requestID, jsonlines.CauseNormal))
			msg := testutil.Receive(t, ended)
			testutil.Expect(t, isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal), "received %+v", msg)
			testutil.WaitUntil(t, "the container has ended and nothing more is to be sent", func() bool {
				running, pending := 0, true
				r.runOnLoop(func() {
					m := r.server.machines.lookup("a")
					running, pending = m.runningLoad.Containers, r.server.env.cancels.IsPending(m.cancelFor(requestID))
				})
				return running == 0 && !pending
			})
			testutil.Equal(t, len(ended), 0, "further terminations")
		})
	}
}

// A container counts as lost before its machine has read the termination, and the machine has it: the termination still
// reaches the machine. Guards against a container that runs on because the process dropped the order with its record.
func TestTerminationOutlivesTheLossOfTheContainer(t *testing.T) {
	detector := func(lost failuredetector.DeclareLost) func(*Server) {
		return func(s *Server) { s.applyDetectorAction(lost) }
	}
	for name, lose := range map[string]func(*Server){
		"machine refused a connection": detector(failuredetector.DeclareLost{Machine: "a"}),
		"machine was silent":           detector(failuredetector.DeclareLost{Machine: "a", SilentFor: 1}),
		"claim was displaced":          func(s *Server) { s.containers.lookup(requestID).displace() },
	} {
		t.Run(name, func(t *testing.T) {
			addr, ended := machineThatMissesOneOrder(t, forgetUnread)
			r := startWithMachineA(t, addr, attemptOnA(0))
			client := r.place()
			client.send(endLine(requestID, jsonlines.CauseNormal))
			client.expectLive(1) // the order is read
			r.runOnLoop(func() { lose(r.server) })
			msg := testutil.Receive(t, ended)
			testutil.Expect(t, isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal), "received %+v", msg)
		})
	}
}

// A machine that does not report the end of a container does not have it: the container ends here in bounded time.
func TestUnconfirmedTerminationEndsTheContainer(t *testing.T) {
	addr, _ := recordingMachine(t)
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	client.send(offerLine(requestID, ";at:a"), endLine(requestID, jsonlines.CauseNormal))
	client.expectLive(1)
	r.runOnLoop(func() {
		m := r.server.machines.lookup("a")
		for conn := range connmanager.MachineConnID(100) { // more expired reports than a termination has
			r.server.env.cancels.RecordTry(0, m.cancelFor(requestID), conn+1)
		}
		r.server.env.cancels.Repeat(0, m.cancelFor(requestID))
	})
	testutil.WaitUntil(t, "the container is removed", func() bool {
		count := 1
		r.runOnLoop(func() { count = r.server.containers.count() })
		return count == 0
	})
}
