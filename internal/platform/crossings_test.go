package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// Two events that cross, each order forced: by what a peer waits for, or by doing both on the loop's goroutine.

const otherCallID = "00000000000000bb"

// runOnLoop runs f on the placer's loop and waits for it.
func (r *testServer) runOnLoop(f func()) {
	done := make(chan bool)
	r.server.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(testTimeout):
		r.Fatal("the loop is stuck")
	}
}

func (r *testServer) markShuttingDown(ago eventloop.Tick) {
	r.server.shuttingDown, r.server.shutdownStartedAt = true, r.server.loop.Now()-ago
}

// scriptedDiscovery takes callers and tells each all that tell was given so far and is given later.
func scriptedDiscovery(t *testing.T) (addr string, tell func(lines ...string)) {
	var mu sync.Mutex
	var told []string
	var callers []*peer
	addr = serveTCP(t, func(b *peer) {
		mu.Lock()
		b.send(told...)
		callers = append(callers, b)
		mu.Unlock()
		for {
			if _, err := b.r.ReadString('\n'); err != nil {
				return
			}
		}
	})
	return addr, func(lines ...string) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, lines...)
		for _, b := range callers {
			b.send(lines...)
		}
	}
}

// A set-up that comes in the turn in which a placer would end is answered before it ends, and what was written is not reset.
func TestRequestInLastIterationIsAnswered(t *testing.T) {
	addr := fakeMachine(t, `{"op":"end","call":"%s","with":{"note":"cpu_full"},"why":34}`)
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	o.send(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
	o.receive()
	r.runOnLoop(func() { // with nothing unanswered, this turn is the last
		r.markShuttingDown(4 * eventloop.Second)
		o.send(offerLine(callID, ""))
	})
	if msg := o.receive(); msg == nil || msg.Op != jsonlines.OpEnd || msg.RequestID != callID {
		t.Errorf("heard %+v", msg)
	}
	if msg := o.receive(); msg != nil {
		t.Errorf("then heard %+v", msg)
	}
}

// A new file that is slow to read does not hold up the order to leave; one that is broken is not used, and the next one is.
func TestReloadAndShutdownDoNotBlockEachOther(t *testing.T) {
	old, tell := scriptedDiscovery(t)
	later, tellLater := scriptedDiscovery(t)
	r := startServer(t, attemptOnA(0), configJSON(old, 256, eventJSON(1, true)))
	await[scheduler.MachineListUpdate](r, nil)
	leave, renew := make(chan os.Signal, 1), make(chan os.Signal, 1)
	files := make(chan *Config)
	r.server.HandleSignals(leave, renew, func() (*Config, error) {
		if d := <-files; d != nil {
			return d, nil
		}
		return nil, errors.New("broken")
	})
	t.Cleanup(func() { close(leave); close(renew); close(files) })
	renew <- syscall.SIGHUP
	files <- nil // half written
	tell(eventJSON(2, false))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 2 {
		t.Errorf("version %d came by the old bus", e.Version)
	}
	renew <- syscall.SIGHUP
	renew <- syscall.SIGHUP // is taken as the first file is being read
	leave <- syscall.SIGTERM
	leave <- syscall.SIGTERM // the second changes nothing
	o := r.dialClient()
	for passed := true; passed; {
		o.send(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
		msg := o.receive()
		if msg == nil {
			t.Fatal("the placer left without a word")
		}
		passed = msg.CauseOrNone() == jsonlines.CauseTestPassed
	}
	d := *r.server.config
	d.DiscoveryAddr = later
	files <- r.server.config
	files <- &d
	tellLater(eventJSON(3, false))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 3 {
		t.Errorf("version %d came by the new bus", e.Version)
	}
}

// What is unanswered shortly before a leaving placer is killed is answered, and its bid taken back.
func TestOpenRequestIsAnsweredBeforeKill(t *testing.T) {
	taken := make(chan *jsonlines.Message, 2)
	addr := serveTCP(t, func(m *peer) { taken <- m.receive(); taken <- m.receive() })
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	o.send(strings.Replace(offerLine(callID, ""), `"2000"`, `"60000"`, 1))
	<-taken
	r.runOnLoop(func() { r.markShuttingDown(3*eventloop.Second + eventloop.Second/4) })
	if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != callID {
		t.Errorf("heard %+v", m)
	}
	if m := <-taken; m == nil || m.Op != jsonlines.OpEnd || m.CauseOrNone() != jsonlines.CauseNormal {
		t.Errorf("the machine heard %+v", m)
	}
	if m := o.receive(); m != nil {
		t.Errorf("then heard %+v", m)
	}
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeFinished || e.Final {
		t.Errorf("got %+v", e)
	}
}

// An owner goes in the batch in which the module bids for it: the bid has its outcome all the same.
func TestAttemptForUnknownContainerHasOutcome(t *testing.T) {
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", "127.0.0.1:1", "ready", 0))))
	r.runOnLoop(func() { r.server.applySchedulerAction(scheduler.StartAttempt{ID: callID, Machine: "a"}) })
	if e := await[scheduler.AttemptEnded](r, nil); e.ID != callID || e.Machine != "a" || e.Outcome != scheduler.OutcomeNotSent || !e.Final {
		t.Errorf("got %+v", e)
	}
}

// With more machines than descriptors, links stay within their part, each bid goes out, and each end is heard of, also where
// its link has made way.
func TestMachineConnLimitHolds(t *testing.T) {
	const machines, sockets, links = 40, 64, 16 // as many for owners, 32 for bus, bursts and the program itself
	var mu sync.Mutex
	over := map[string]bool{} // by call
	hosts := make([]string, machines)
	for i := range hosts {
		addr := serveTCP(t, func(m *peer) {
			mu.Lock()
			for c := range over {
				if strings.HasSuffix(c, fmt.Sprintf("%04x", i)) {
					m.send(`{"op":"end","call":"` + c + `","with":{},"why":16}`)
				}
			}
			mu.Unlock()
			for msg := m.receive(); msg != nil; msg = m.receive() {
				if msg.Op == jsonlines.OpOffer {
					mu.Lock()
					over[msg.RequestID] = true // over at once, but told on the next connection only
					mu.Unlock()
					m.send(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
				}
			}
		})
		hosts[i] = machineJSON(fmt.Sprintf("m%04x", i), addr, "ready", 0)
	}
	most := 0
	r := startServer(t, func(e scheduler.Event) []scheduler.Action {
		if e, ok := e.(scheduler.RequestReceived); ok {
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: scheduler.MachineID("m" + string(e.ID[12:]))}}
		}
		return nil
	}, configJSON(silentDiscovery(t), sockets, eventJSON(1, true, hosts...)))
	o := r.dialClient()
	for i := range machines {
		o.send(offerLine(fmt.Sprintf("%016x", i), ""))
		if m := o.receive(); m == nil || m.Op == jsonlines.OpEnd {
			t.Fatalf("bid %d: the owner heard %+v", i, m)
		}
		r.runOnLoop(func() { // a bid's link could make way only after its machine had a while to speak on it
			most = max(most, r.server.machineConnCount)
			for _, m := range r.server.machines {
				for _, l := range m.conns {
					l.lastUsedAt -= eventloop.Second
				}
			}
		})
	}
	heard := map[string]bool{}
	for len(heard) < machines {
		m := o.receive()
		if m == nil {
			t.Fatalf("%d of %d ends were heard of", len(heard), machines)
		}
		if m.Op == jsonlines.OpEnd {
			heard[m.RequestID] = true
			o.send(`{"op":"ended","call":"` + m.RequestID + `","with":{}}`)
		}
	}
	r.runOnLoop(func() {
		if most > links {
			t.Errorf("%d links at once, %d allowed", most, links)
		}
	})
}

// A crowd at the door and a burst of bids, with more machines than links, leave the bus its descriptor at every moment.
func TestClientBurstLeavesDescriptorReserve(t *testing.T) {
	const sockets, machines, callers = 64, 60, 200
	const links = (sockets - 32) / 2
	hosts := make([]string, machines)
	for i := range hosts {
		addr := fakeMachine(t, `{"op":"accept","call":"%s","with":{},"desc":"d"}`)
		hosts[i] = machineJSON(fmt.Sprintf("m%04x", i), addr, "ready", 0)
	}
	r := startServer(t, func(e scheduler.Event) []scheduler.Action {
		switch e := e.(type) {
		case scheduler.RequestReceived:
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: scheduler.MachineID("m" + string(e.ID[12:]))}}
		case scheduler.AttemptEnded:
			if !e.Final {
				return []scheduler.Action{scheduler.Reject{ID: e.ID}}
			}
		}
		return nil
	}, configJSON(silentDiscovery(t), sockets, eventJSON(1, true, hosts...)))
	o := r.dialClient()
	for i := range links {
		o.send(offerLine(fmt.Sprintf("%016x", i), ""))
		o.receive()
	}
	r.runOnLoop(func() { // the crowd is there when the loop goes on
		for range callers {
			r.dialClient()
		}
	})
	for full := false; !full; {
		r.runOnLoop(func() { full = len(r.server.clients) >= links })
	}
	r.runOnLoop(func() { // and now the burst
		for _, m := range r.server.machines {
			for _, l := range m.conns {
				l.lastUsedAt -= eventloop.Second
			}
		}
		for i := links; i < machines; i++ {
			o.send(offerLine(fmt.Sprintf("%016x", i), ""))
		}
	})
	await(r, func(e scheduler.RequestReceived) bool {
		return e.ID == scheduler.ContainerID(fmt.Sprintf("%016x", machines-1))
	})
	r.runOnLoop(func() {
		if n := r.server.loop.PeakConnCount(); n+14 > sockets { // that many the program itself may hold
			t.Errorf("%d connections at once, of %d descriptors", n, sockets)
		}
	})
}

// A bid does not go out on a link that its machine may be closing as idle.
func TestIdleConnCarriesNoAttempt(t *testing.T) {
	var mu sync.Mutex
	links := 0
	carried := map[string]int{}
	addr := serveTCP(t, func(m *peer) {
		mu.Lock()
		links++
		n := links
		mu.Unlock()
		for msg := m.receive(); msg != nil; msg = m.receive() {
			mu.Lock()
			carried[msg.RequestID] = n
			mu.Unlock()
			m.send(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
		}
	})
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	for i, c := range []string{callID, otherCallID, "00000000000000cc"} {
		if i == 2 {
			r.runOnLoop(func() {
				for _, l := range r.server.machines["a"].conns {
					l.lastUsedAt -= r.server.config.MachineIdleTimeout / 2
				}
			})
		}
		o.send(offerLine(c, ""))
		if m := o.receive(); m == nil || m.Op != jsonlines.OpAccept {
			t.Fatalf("heard %+v", m)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if carried[callID] != carried[otherCallID] || carried["00000000000000cc"] == carried[callID] {
		t.Errorf("carried by %v", carried)
	}
}

// An event that is missing is asked for again, and a machine that the terms cannot place keeps no other from being heard of.
func TestMissingEventIsRequestedAgain(t *testing.T) {
	calls := make(chan *peer, 10)
	asked := make(chan string, 10)
	bus := serveTCP(t, func(b *peer) {
		line, _ := b.r.ReadString('\n')
		asked <- strings.TrimSpace(line)
		calls <- b
		b.r.ReadString('\n')
	})
	r := startServer(t, attemptOnA(0), configJSON(bus, 256, eventJSON(1, true)))
	await[scheduler.MachineListUpdate](r, nil)
	b := <-calls
	<-asked
	b.send(eventJSON(2, false), eventJSON(4, false, machineJSON("a", "127.0.0.1:1", "draining", 0)))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 2 {
		t.Errorf("version %d came, want 2", e.Version)
	}
	b = <-calls
	if from := <-asked; from != "from 2" {
		t.Errorf("asked %q", from)
	}
	b.send(eventJSON(3, false, strings.Replace(machineJSON("x", "127.0.0.1:1", "ready", 0), "large", "huge", 1), machineJSON("a", "127.0.0.1:1", "ready", 0)),
		eventJSON(4, false))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 3 || len(e.Entries) != 1 || e.Entries[0].Machine != "a" {
		t.Errorf("got %+v", e)
	}
	b.c.Close()
	b = <-calls
	b.send(eventJSON(9, true)) // all that the bus still has
	if e := await(r, func(e scheduler.MachineListUpdate) bool { return e.Version != 4 }); e.Version != 9 || e.Mode != scheduler.FullSnapshot {
		t.Errorf("got %+v", e)
	}
}

// Without zones and kinds in the terms there is one of each.
func TestConfigWithoutZones(t *testing.T) {
	config := strings.NewReplacer(`"azs":["hall a","hall-b"]`, `"azs":[]`, `"site":"hall-b"`, `"site":""`).
		Replace(configJSON("127.0.0.1:1", 256, eventJSON(1, true, machineJSON("a", "127.0.0.1:2", "ready", 0))))
	if d, err := parseConfig([]byte(config)); err != nil || d.KnownEvents[0].machines[0].entry.Zone != 0 {
		t.Errorf("%+v, %v", d, err)
	}
}

// After a start a machine may tell that something is over before an owner names it as standing: the owner hears it then.
func TestEndBeforeReclaimIsDelivered(t *testing.T) {
	said := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		msg := m.receive()
		if msg == nil {
			return
		}
		m.send(`{"op":"end","call":"`+otherCallID+`","with":{},"why":16}`, `{"op":"accept","call":"`+msg.RequestID+`","with":{},"desc":"d"}`)
		close(said)
		m.receive()
	})
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	o.send(offerLine(callID, ""))
	<-said
	if m := o.receive(); m == nil || m.Op != jsonlines.OpAccept {
		t.Errorf("heard %+v", m)
	}
	o.send(offerLine(otherCallID, ";at:a"))
	if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != otherCallID || m.CauseOrNone() != jsonlines.CauseNormal {
		t.Errorf("heard %+v", m)
	}
	if e := await(r, func(e scheduler.AttemptEnded) bool { return e.ID == otherCallID }); !e.Final || e.Outcome != scheduler.OutcomeFinished {
		t.Errorf("got %+v", e)
	}
}

// A machine at whose address the bus names another is gone, in whatever order the bus tells it: nothing meant for it reaches
// the other, and what stood there is over.
func TestReusedAddressEvictsPredecessor(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tells func(addr string) []string
	}{
		{"the successor alone", func(a string) []string { return []string{eventJSON(2, false, machineJSON("b", a, "ready", 7))} }},
		{"then that the first is gone", func(a string) []string {
			return []string{eventJSON(2, false, machineJSON("b", a, "ready", 7)), eventJSON(3, false, machineJSON("a", a, "gone", 0))}
		}},
		{"both in one, the successor first", func(a string) []string {
			return []string{eventJSON(2, false, machineJSON("b", a, "ready", 7), machineJSON("a", a, "gone", 0))}
		}},
		{"the first moves away meanwhile", func(a string) []string {
			return []string{eventJSON(2, false, machineJSON("a", "127.0.0.1:1", "gone", 0)), eventJSON(3, false, machineJSON("b", a, "ready", 7))}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bus, tell := scriptedDiscovery(t)
			offers := make(chan string, 10)
			addr := serveTCP(t, func(m *peer) {
				for msg := m.receive(); msg != nil; msg = m.receive() {
					if offers <- msg.RequestID; msg.RequestID == callID {
						m.send(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
					}
				}
			})
			r := startServer(t, attemptOnA(0), configJSON(bus, 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
			o := r.dialClient()
			o.send(offerLine(callID, ""))
			o.receive()
			<-offers
			o.send(strings.Replace(offerLine("00000000000000dd", ""), `"2000"`, `"60000"`, 1)) // a bid that stays out
			<-offers
			tell(tc.tells(addr)...)
			if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != callID {
				t.Fatalf("heard %+v", m)
			}
			gone := await(r, func(e scheduler.MachineListUpdate) bool {
				for _, x := range e.Entries {
					if x.Machine == "a" && x.State == scheduler.MachineGone {
						return true
					}
				}
				return false
			})
			o.send(offerLine(otherCallID, "")) // the script bids it to a, whatever the list says
			if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != otherCallID {
				t.Errorf("heard %+v, after %+v", m, gone)
			}
			if len(offers) > 0 {
				t.Errorf("%s reached the successor", <-offers)
			}
			o.send(offerLine("00000000000000cc", ";at:a")) // where it stood is gone, and the successor's word says nothing of it
			if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != "00000000000000cc" {
				t.Errorf("heard %+v", m)
			}
		})
	}
}

// An owner goes while its bid waits for a link: the machine hears nothing of it, or that it is taken back.
func TestClientLeavesWhileConnOpens(t *testing.T) {
	heard := make(chan *jsonlines.Message, 10)
	addr := serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			heard <- msg
		}
	})
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	r.runOnLoop(func() {
		r.scheduler.on = func(e scheduler.Event) []scheduler.Action {
			if e, ok := e.(scheduler.RequestReceived); ok && e.ID == callID {
				o.c.Close() // the end is there before the link is
			}
			return attemptOnA(0)(e)
		}
	})
	o.send(offerLine(callID, ""))
	await[scheduler.ContainerRemoved](r, nil)
	await[scheduler.AttemptEnded](r, nil)
	r.dialClient().send(offerLine(otherCallID, ""))
	var offers, ends int
	for {
		msg := <-heard
		if msg.RequestID == otherCallID {
			break
		}
		if msg.Op == jsonlines.OpOffer {
			offers++
		} else if msg.Op == jsonlines.OpEnd && msg.CauseOrNone() == jsonlines.CauseNormal {
			ends++
		}
	}
	if offers != ends {
		t.Errorf("the machine heard %d offers and %d ends of a set-up whose owner had gone", offers, ends)
	}
}

// A call that was given up is used anew at once: it is another set-up, offered once and answered once.
func TestCallIsReusedAfterCancel(t *testing.T) {
	addr := fakeMachine(t, `{"op":"accept","call":"%s","with":{},"desc":"d"}`)
	r := startServer(t, nil, configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	end := `{"op":"end","call":"` + callID + `","with":{},"why":16}`
	io.WriteString(o.c, offerLine(callID, "")+"\n"+end+"\n"+offerLine(callID, "")+"\n"+`{"op":"test","call":"0000000000000001","with":{},"why":0}`+"\n")
	for _, op := range []jsonlines.Op{jsonlines.OpTested, jsonlines.OpAccept} {
		if msg := o.receive(); msg == nil || msg.Op != op {
			t.Fatalf("heard %+v, want %s", msg, op)
		}
	}
	o.send(`{"op":"test","call":"0000000000000002","with":{},"why":0}`)
	if msg := o.receive(); msg == nil || msg.Op != jsonlines.OpTested {
		t.Errorf("then heard %+v", msg)
	}
}

// The order to leave comes while a set-up is half read: its other half is taken in, and it is answered.
func TestRequestHalfReadAtShutdownIsAnswered(t *testing.T) {
	addr := fakeMachine(t, `{"op":"accept","call":"%s","with":{},"desc":"d"}`)
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	line := offerLine(callID, "") + "\n"
	io.WriteString(o.c, line[:40])
	for half := 0; half == 0; {
		r.runOnLoop(func() {
			for _, k := range r.server.clients {
				half = k.lines.Buffered()
			}
		})
	}
	r.server.Shutdown()
	r.runOnLoop(func() {})
	io.WriteString(o.c, line[40:])
	if msg := o.receive(); msg == nil || msg.Op != jsonlines.OpAccept {
		t.Errorf("heard %+v", msg)
	}
}

// A whole list leaves out a machine: what stands there is over, and a yes that comes then counts for nothing and is taken back.
func TestAcceptOfGoneMachineIsCancelled(t *testing.T) {
	bus, tell := scriptedDiscovery(t)
	say, heard := make(chan bool), make(chan *jsonlines.Message, 10)
	addr := serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			if msg.Op != jsonlines.OpOffer {
				heard <- msg
				continue
			}
			if msg.RequestID == otherCallID {
				<-say
			}
			m.send(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
		}
	})
	r := startServer(t, attemptOnA(0), configJSON(bus, 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	o.send(offerLine(callID, ""))
	o.receive()
	o.send(offerLine(otherCallID, ""))
	await(r, func(e scheduler.RequestReceived) bool { return e.ID == otherCallID })
	tell(eventJSON(2, true))
	if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != callID {
		t.Fatalf("heard %+v", m)
	}
	close(say)
	if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != otherCallID {
		t.Errorf("heard %+v", m)
	}
	if e := await(r, func(e scheduler.AttemptEnded) bool { return e.ID == otherCallID }); e.Outcome != scheduler.OutcomeLost || e.Final {
		t.Errorf("got %+v", e)
	}
	if m := <-heard; m == nil || m.Op != jsonlines.OpEnd || m.RequestID != otherCallID || m.CauseOrNone() != jsonlines.CauseNormal {
		t.Errorf("the machine heard %+v", m)
	}
}

// A link comes up after the bid that waited for it timed out: that bid is not sent on it, and the next one is.
func TestLateConnCarriesNextAttempt(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	syscall.Listen(fd, 0)
	own, _ := syscall.Getsockname(fd)
	addr := fmt.Sprintf("127.0.0.1:%d", own.(*syscall.SockaddrInet4).Port)
	for range 4 { // takes what places there are: the kernel then passes further callers over, until they call again
		if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			c.Close()
		}
	}
	config := configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0)))
	r := startServer(t, func(e scheduler.Event) []scheduler.Action {
		if e, ok := e.(scheduler.RequestReceived); ok && e.ID == otherCallID {
			return attemptOnA(9 * scheduler.Second)(e)
		}
		return attemptOnA(50 * scheduler.Millisecond)(e)
	}, strings.Replace(config, `"connect_timeout_ms":250.0`, `"connect_timeout_ms":9000.0`, 1))
	o := r.dialClient()
	o.send(offerLine(callID, ""))
	if e := await[scheduler.AttemptEnded](r, nil); e.ID != callID || e.Outcome != scheduler.OutcomeConnectFailed {
		t.Errorf("got %+v", e)
	}
	o.receive()
	f := os.NewFile(uintptr(fd), "full")
	l, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	heard := make(chan string, 10)
	t.Cleanup(serveListener(t, l, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			heard <- msg.RequestID
			m.send(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
		}
	}))
	o.send(strings.Replace(offerLine(otherCallID, ""), `"2000"`, `"9000"`, 1))
	if m := o.receive(); m == nil || m.Op != jsonlines.OpAccept || m.RequestID != otherCallID {
		t.Errorf("heard %+v", m)
	}
	if c := <-heard; c != otherCallID || len(heard) > 0 {
		t.Errorf("the machine heard %s first, and %d more", c, len(heard))
	}
}
