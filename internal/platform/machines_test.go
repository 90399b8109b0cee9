package platform

import (
	"slices"
	"sync"
	"testing"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// Containers at a machine that is gone, has restarted or refuses connections have ended, and their client is notified.
func TestLostMachineEndsItsContainers(t *testing.T) {
	t.Run("gone", func(t *testing.T) { checkLostByEvent(t, "gone") })
	t.Run("restarted", func(t *testing.T) { checkLostByEvent(t, "ready") })
	t.Run("refuses connections", checkLostByRefusal)
}

// checkLostByEvent loses a machine with a running container by an event with a state and a new start time.
func checkLostByEvent(t *testing.T, state string) {
	t.Helper()
	addr, _ := acceptOnce(t)
	discovery, publish := scriptedDiscovery(t)
	r := startWithDiscovery(t, discovery, machineJSON("a", addr, "ready", 0))
	client := r.place()
	publish(deltaJSON(2, machineJSON("a", addr, state, time.Now().UnixMilli()+1)))
	client.expectFailed(requestID)
	r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeLost, Final: true})
}

// checkLostByRefusal loses a machine with a running container by stopping the machine, which then refuses connections.
func checkLostByRefusal(t *testing.T) {
	t.Helper()
	addr, stop := acceptOnce(t)
	r := startWithDiscovery(t, silentDiscovery(t), machineJSON("a", addr, "ready", 0))
	client := r.place()
	stop()
	client.expectFailed(requestID)
	r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeLost, Final: true})
}

// acceptOnce is a machine that accepts one connection and one offer, and refuses further connections. It closes the
// first connection when stop is called, at the latest at the end of the test.
func acceptOnce(t *testing.T) (addr string, stop func()) {
	t.Helper()
	l := testutil.Listen(t)
	closeListener := func() { _ = l.Close() } // it may be closed
	stopping, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		c, err := l.Accept()
		closeListener()
		if err != nil {
			return
		}
		m := newPeer(t, c)
		defer m.close()
		m.receive()
		m.send(acceptLine(requestID))
		<-stopping
	}()
	stop = sync.OnceFunc(func() {
		closeListener()
		close(stopping)
		<-done
	})
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// A machine whose address the list assigns to another machine is gone, in whatever order the events come: no message
// for it reaches the other machine, and its containers have ended.
func TestReusedAddressEvictsPredecessor(t *testing.T) {
	successor := func(addr string) string { return machineJSON("b", addr, "ready", 7) }
	gone := func(addr string) string { return machineJSON("a", addr, "gone", 0) }
	for _, tc := range []struct {
		name   string
		events func(addr string) []string
	}{
		{"the successor alone", func(addr string) []string { return []string{deltaJSON(2, successor(addr))} }},
		{"then that the first is gone", func(addr string) []string {
			return []string{deltaJSON(2, successor(addr)), deltaJSON(3, gone(addr))}
		}},
		{"both in one, the successor first", func(addr string) []string {
			return []string{deltaJSON(2, successor(addr), gone(addr))}
		}},
		{"the first moves away meanwhile", func(addr string) []string {
			return []string{deltaJSON(2, gone(closedAddr)), deltaJSON(3, successor(addr))}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) { checkPredecessorIsEvicted(t, tc.events) })
	}
}

func checkPredecessorIsEvicted(t *testing.T, events func(addr string) []string) {
	t.Helper()
	discovery, publish := scriptedDiscovery(t)
	offers := make(chan string, 10)
	addr := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
		if offers <- msg.RequestID; msg.RequestID == requestID {
			m.send(acceptLine(msg.RequestID))
		}
	})
	r := startWithDiscovery(t, discovery, machineJSON("a", addr, "ready", 0))
	client := r.place()
	<-offers
	client.send(offerLineWithin("00000000000000dd", "60000")) // an attempt that stays pending
	<-offers
	publish(events(addr)...)
	client.expectFailed(requestID)
	await(r, func(e scheduler.MachineListUpdate) bool {
		return slices.ContainsFunc(e.Entries, func(entry scheduler.MachineEntry) bool {
			return entry.Machine == "a" && entry.State == scheduler.MachineGone
		})
	})
	client.send(offerLine(otherRequestID, "")) // the script attempts it on a, whatever the list says
	client.expectFailed(otherRequestID)
	if len(offers) > 0 {
		t.Errorf("%s reached the successor", <-offers)
	}
	client.send(offerLine(thirdRequestID, ";at:a")) // its machine is gone, whatever the successor reports
	client.expectFailed(thirdRequestID)
}
