package platform

import (
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// Containers at a machine that is gone, has restarted or refuses connections have ended, and their client is notified.
func TestLostMachineEndsItsContainers(t *testing.T) {
	t.Run("gone", func(t *testing.T) { checkLostMachine(t, "gone") })
	t.Run("restarted", func(t *testing.T) { checkLostMachine(t, "ready") })
	t.Run("refuses connections", func(t *testing.T) { checkLostMachine(t, "") })
}

// checkLostMachine loses a machine on which a container runs: by an event with a state and a new start, or, without a
// state, by the end of the machine.
func checkLostMachine(t *testing.T, state string) {
	l := listenTCP(t)
	die, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		acceptOnceUntil(t, l, die)
	}()
	events := make(chan string, 1)
	discovery := serveTCP(t, func(p *peer) {
		if _, err := p.readLine(); err != nil {
			return
		}
		if event, ok := <-events; ok {
			p.send(event)
		}
		p.readToEnd()
	})
	addr := l.Addr().String()
	r := startServer(
		t,
		attemptOnA(0),
		configJSON(discovery, 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))),
	)
	client := r.dialClient()
	client.send(offerLine(requestID, ""))
	if msg := client.receive(); msg == nil || msg.Op != jsonlines.OpAccept {
		t.Fatalf("answered %+v", msg)
	}
	if state == "" {
		close(events)
		close(die)
	} else {
		events <- eventJSON(2, false, machineJSON("a", addr, state, time.Now().UnixMilli()+1))
		defer close(die)
	}
	if msg := client.receive(); !isEndWithCause(msg, requestID, jsonlines.CauseTemporaryFailure) {
		t.Errorf("received %+v", msg)
	}
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeLost || !e.Final {
		t.Errorf("got %+v", e)
	}
	if state == "" {
		<-done
	}
}

// acceptOnceUntil accepts one connection and one offer, refuses further connections, and closes the first when die is
// closed.
func acceptOnceUntil(t *testing.T, l net.Listener, die <-chan bool) {
	closeListener := func() { _ = l.Close() } // it may be closed
	defer closeListener()
	c, err := l.Accept()
	if err != nil {
		return
	}
	m := newPeer(t, c)
	defer m.close()
	m.receive()
	m.send(acceptLine(requestID))
	closeListener()
	<-die
}

// A machine at whose address the list names another is gone, in whatever order the events come: nothing meant for it
// reaches the other, and its containers have ended.
func TestReusedAddressEvictsPredecessor(t *testing.T) {
	const elsewhere = "127.0.0.1:1"
	for _, tc := range []struct {
		name   string
		events func(addr string) []string
	}{
		{"the successor alone", func(addr string) []string {
			return []string{eventJSON(2, false, machineJSON("b", addr, "ready", 7))}
		}},
		{"then that the first is gone", func(addr string) []string {
			return []string{eventJSON(2, false, machineJSON("b", addr, "ready", 7)), eventJSON(3, false, machineJSON("a", addr, "gone", 0))}
		}},
		{"both in one, the successor first", func(addr string) []string {
			return []string{eventJSON(2, false, machineJSON("b", addr, "ready", 7), machineJSON("a", addr, "gone", 0))}
		}},
		{"the first moves away meanwhile", func(addr string) []string {
			return []string{eventJSON(2, false, machineJSON("a", elsewhere, "gone", 0)), eventJSON(3, false, machineJSON("b", addr, "ready", 7))}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) { checkPredecessorIsEvicted(t, tc.events) })
	}
}

func checkPredecessorIsEvicted(t *testing.T, events func(addr string) []string) {
	discovery, publish := scriptedDiscovery(t)
	offers := make(chan string, 10)
	addr := serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			if offers <- msg.RequestID; msg.RequestID == requestID {
				m.send(acceptLine(msg.RequestID))
			}
		}
	})
	r := startServer(
		t,
		attemptOnA(0),
		configJSON(discovery, 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))),
	)
	client := r.dialClient()
	client.send(offerLine(requestID, ""))
	client.receive()
	<-offers
	client.send(
		strings.Replace(offerLine("00000000000000dd", ""), `"2000"`, `"60000"`, 1),
	) // an attempt that stays pending
	<-offers
	publish(events(addr)...)
	if msg := client.receive(); !isEnd(msg, requestID) {
		t.Fatalf("received %+v", msg)
	}
	gone := await(r, func(e scheduler.MachineListUpdate) bool {
		return slices.ContainsFunc(e.Entries, func(entry scheduler.MachineEntry) bool {
			return entry.Machine == "a" && entry.State == scheduler.MachineGone
		})
	})
	client.send(offerLine(otherRequestID, "")) // the script attempts it on a, whatever the list says
	if msg := client.receive(); !isEnd(msg, otherRequestID) {
		t.Errorf("received %+v, after %+v", msg, gone)
	}
	if len(offers) > 0 {
		t.Errorf("%s reached the successor", <-offers)
	}
	client.send(offerLine(thirdRequestID, ";at:a")) // its machine is gone, whatever the successor reports
	if msg := client.receive(); !isEnd(msg, thirdRequestID) {
		t.Errorf("received %+v", msg)
	}
}
