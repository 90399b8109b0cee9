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

const other = "00000000000000bb"

// on runs f on the placer's loop and waits for it.
func (r *rig) on(f func()) {
	done := make(chan bool)
	r.p.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(patience):
		r.Fatal("the loop is stuck")
	}
}

func (r *rig) toldToLeave(ago eventloop.Tick) { r.p.leaving, r.p.leavingAt = true, r.p.loop.Now()-ago }

// toldBus takes callers and tells each all that tell was given so far and is given later.
func toldBus(t *testing.T) (addr string, tell func(lines ...string)) {
	var mu sync.Mutex
	var told []string
	var callers []*peer
	addr = listen(t, func(b *peer) {
		mu.Lock()
		b.say(told...)
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
			b.say(lines...)
		}
	}
}

// A set-up that comes in the turn in which a placer would end is answered before it ends, and what was written is not reset.
func TestSetUpAtTheExit(t *testing.T) {
	addr := machineThat(t, `{"op":"end","call":"%s","with":{"note":"cpu_full"},"why":34}`)
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	o.say(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
	o.hear()
	r.on(func() { // with nothing unanswered, this turn is the last
		r.toldToLeave(4 * eventloop.Second)
		o.say(setUp(call, ""))
	})
	if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != call {
		t.Errorf("heard %+v", m)
	}
	if m := o.hear(); m != nil {
		t.Errorf("then heard %+v", m)
	}
}

// A new file that is slow to read does not hold up the order to leave; one that is broken is not used, and the next one is.
func TestSignalsCross(t *testing.T) {
	old, tell := toldBus(t)
	later, tellLater := toldBus(t)
	r := start(t, bidToA(0), file(old, 256, event(1, true)))
	await[scheduler.MachineListUpdate](r, nil)
	leave, renew := make(chan os.Signal, 1), make(chan os.Signal, 1)
	files := make(chan *Deployment)
	r.p.Obey(leave, renew, func() (*Deployment, error) {
		if d := <-files; d != nil {
			return d, nil
		}
		return nil, errors.New("broken")
	})
	t.Cleanup(func() { close(leave); close(renew); close(files) })
	renew <- syscall.SIGHUP
	files <- nil // half written
	tell(event(2, false))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 2 {
		t.Errorf("version %d came by the old bus", e.Version)
	}
	renew <- syscall.SIGHUP
	renew <- syscall.SIGHUP // is taken as the first file is being read
	leave <- syscall.SIGTERM
	leave <- syscall.SIGTERM // the second changes nothing
	o := r.owner()
	for passed := true; passed; {
		o.say(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
		m := o.hear()
		if m == nil {
			t.Fatal("the placer left without a word")
		}
		passed = m.CauseOrNone() == jsonlines.CauseTestPassed
	}
	d := *r.p.d
	d.Bus = later
	files <- r.p.d
	files <- &d
	tellLater(event(3, false))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 3 {
		t.Errorf("version %d came by the new bus", e.Version)
	}
}

// What is unanswered shortly before a leaving placer is killed is answered, and its bid taken back.
func TestLeavesInTime(t *testing.T) {
	taken := make(chan *jsonlines.Message, 2)
	addr := listen(t, func(m *peer) { taken <- m.hear(); taken <- m.hear() })
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	o.say(strings.Replace(setUp(call, ""), `"2000"`, `"60000"`, 1))
	<-taken
	r.on(func() { r.toldToLeave(3*eventloop.Second + eventloop.Second/4) })
	if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != call {
		t.Errorf("heard %+v", m)
	}
	if m := <-taken; m == nil || m.Op != jsonlines.OpEnd || m.CauseOrNone() != jsonlines.CauseNormal {
		t.Errorf("the machine heard %+v", m)
	}
	if m := o.hear(); m != nil {
		t.Errorf("then heard %+v", m)
	}
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeFinished || e.Final {
		t.Errorf("got %+v", e)
	}
}

// An owner goes in the batch in which the module bids for it: the bid has its outcome all the same.
func TestBidForNobody(t *testing.T) {
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", "127.0.0.1:1", "ready", 0))))
	r.on(func() { r.p.carry(scheduler.StartAttempt{ID: call, Machine: "a"}) })
	if e := await[scheduler.AttemptEnded](r, nil); e.ID != call || e.Machine != "a" || e.Outcome != scheduler.OutcomeNotSent || !e.Final {
		t.Errorf("got %+v", e)
	}
}

// With more machines than descriptors, links stay within their part, each bid goes out, and each end is heard of, also where
// its link has made way.
func TestFewLinks(t *testing.T) {
	const machines, sockets, links = 40, 64, 16 // as many for owners, 32 for bus, bursts and the program itself
	var mu sync.Mutex
	over := map[string]bool{} // by call
	hosts := make([]string, machines)
	for i := range hosts {
		addr := listen(t, func(m *peer) {
			mu.Lock()
			for c := range over {
				if strings.HasSuffix(c, fmt.Sprintf("%04x", i)) {
					m.say(`{"op":"end","call":"` + c + `","with":{},"why":16}`)
				}
			}
			mu.Unlock()
			for msg := m.hear(); msg != nil; msg = m.hear() {
				if msg.Op == jsonlines.OpOffer {
					mu.Lock()
					over[msg.RequestID] = true // over at once, but told on the next connection only
					mu.Unlock()
					m.say(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
				}
			}
		})
		hosts[i] = host(fmt.Sprintf("m%04x", i), addr, "ready", 0)
	}
	most := 0
	r := start(t, func(e scheduler.Event) []scheduler.Action {
		if e, ok := e.(scheduler.RequestReceived); ok {
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: scheduler.MachineID("m" + string(e.ID[12:]))}}
		}
		return nil
	}, file(silentBus(t), sockets, event(1, true, hosts...)))
	o := r.owner()
	for i := range machines {
		o.say(setUp(fmt.Sprintf("%016x", i), ""))
		if m := o.hear(); m == nil || m.Op == jsonlines.OpEnd {
			t.Fatalf("bid %d: the owner heard %+v", i, m)
		}
		r.on(func() { // a bid's link could make way only after its machine had a while to speak on it
			most = max(most, r.p.links)
			for _, m := range r.p.machines {
				for _, l := range m.links {
					l.usedAt -= eventloop.Second
				}
			}
		})
	}
	heard := map[string]bool{}
	for len(heard) < machines {
		m := o.hear()
		if m == nil {
			t.Fatalf("%d of %d ends were heard of", len(heard), machines)
		}
		if m.Op == jsonlines.OpEnd {
			heard[m.RequestID] = true
			o.say(`{"op":"ended","call":"` + m.RequestID + `","with":{}}`)
		}
	}
	r.on(func() {
		if most > links {
			t.Errorf("%d links at once, %d allowed", most, links)
		}
	})
}

// A crowd at the door and a burst of bids, with more machines than links, leave the bus its descriptor at every moment.
func TestCrowdLeavesReserve(t *testing.T) {
	const sockets, machines, callers = 64, 60, 200
	const links = (sockets - 32) / 2
	hosts := make([]string, machines)
	for i := range hosts {
		addr := machineThat(t, `{"op":"accept","call":"%s","with":{},"desc":"d"}`)
		hosts[i] = host(fmt.Sprintf("m%04x", i), addr, "ready", 0)
	}
	r := start(t, func(e scheduler.Event) []scheduler.Action {
		switch e := e.(type) {
		case scheduler.RequestReceived:
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: scheduler.MachineID("m" + string(e.ID[12:]))}}
		case scheduler.AttemptEnded:
			if !e.Final {
				return []scheduler.Action{scheduler.Reject{ID: e.ID}}
			}
		}
		return nil
	}, file(silentBus(t), sockets, event(1, true, hosts...)))
	o := r.owner()
	for i := range links {
		o.say(setUp(fmt.Sprintf("%016x", i), ""))
		o.hear()
	}
	r.on(func() { // the crowd is there when the loop goes on
		for range callers {
			r.owner()
		}
	})
	for full := false; !full; {
		r.on(func() { full = len(r.p.callers) >= links })
	}
	r.on(func() { // and now the burst
		for _, m := range r.p.machines {
			for _, l := range m.links {
				l.usedAt -= eventloop.Second
			}
		}
		for i := links; i < machines; i++ {
			o.say(setUp(fmt.Sprintf("%016x", i), ""))
		}
	})
	await(r, func(e scheduler.RequestReceived) bool {
		return e.ID == scheduler.ContainerID(fmt.Sprintf("%016x", machines-1))
	})
	r.on(func() {
		if n := r.p.loop.PeakConnCount(); n+14 > sockets { // that many the program itself may hold
			t.Errorf("%d connections at once, of %d descriptors", n, sockets)
		}
	})
}

// A bid does not go out on a link that its machine may be closing as idle.
func TestQuietLink(t *testing.T) {
	var mu sync.Mutex
	links := 0
	carried := map[string]int{}
	addr := listen(t, func(m *peer) {
		mu.Lock()
		links++
		n := links
		mu.Unlock()
		for msg := m.hear(); msg != nil; msg = m.hear() {
			mu.Lock()
			carried[msg.RequestID] = n
			mu.Unlock()
			m.say(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
		}
	})
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	for i, c := range []string{call, other, "00000000000000cc"} {
		if i == 2 {
			r.on(func() {
				for _, l := range r.p.machines["a"].links {
					l.usedAt -= r.p.d.IdleLinks / 2
				}
			})
		}
		o.say(setUp(c, ""))
		if m := o.hear(); m == nil || m.Op != jsonlines.OpAccept {
			t.Fatalf("heard %+v", m)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if carried[call] != carried[other] || carried["00000000000000cc"] == carried[call] {
		t.Errorf("carried by %v", carried)
	}
}

// An event that is missing is asked for again, and a machine that the terms cannot place keeps no other from being heard of.
func TestBusGap(t *testing.T) {
	calls := make(chan *peer, 10)
	asked := make(chan string, 10)
	bus := listen(t, func(b *peer) {
		line, _ := b.r.ReadString('\n')
		asked <- strings.TrimSpace(line)
		calls <- b
		b.r.ReadString('\n')
	})
	r := start(t, bidToA(0), file(bus, 256, event(1, true)))
	await[scheduler.MachineListUpdate](r, nil)
	b := <-calls
	<-asked
	b.say(event(2, false), event(4, false, host("a", "127.0.0.1:1", "draining", 0)))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 2 {
		t.Errorf("version %d came, want 2", e.Version)
	}
	b = <-calls
	if from := <-asked; from != "from 2" {
		t.Errorf("asked %q", from)
	}
	b.say(event(3, false, strings.Replace(host("x", "127.0.0.1:1", "ready", 0), "large", "huge", 1), host("a", "127.0.0.1:1", "ready", 0)),
		event(4, false))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 3 || len(e.Entries) != 1 || e.Entries[0].Machine != "a" {
		t.Errorf("got %+v", e)
	}
	b.c.Close()
	b = <-calls
	b.say(event(9, true)) // all that the bus still has
	if e := await(r, func(e scheduler.MachineListUpdate) bool { return e.Version != 4 }); e.Version != 9 || e.Mode != scheduler.FullSnapshot {
		t.Errorf("got %+v", e)
	}
}

// Without zones and kinds in the terms there is one of each.
func TestNoZones(t *testing.T) {
	config := strings.NewReplacer(`"azs":["hall a","hall-b"]`, `"azs":[]`, `"site":"hall-b"`, `"site":""`).
		Replace(file("127.0.0.1:1", 256, event(1, true, host("a", "127.0.0.1:2", "ready", 0))))
	if d, err := parse([]byte(config)); err != nil || d.Known[0].hosts[0].entry.Zone != 0 {
		t.Errorf("%+v, %v", d, err)
	}
}

// After a start a machine may tell that something is over before an owner names it as standing: the owner hears it then.
func TestOverBeforeNamed(t *testing.T) {
	said := make(chan bool)
	addr := listen(t, func(m *peer) {
		msg := m.hear()
		if msg == nil {
			return
		}
		m.say(`{"op":"end","call":"`+other+`","with":{},"why":16}`, `{"op":"accept","call":"`+msg.RequestID+`","with":{},"desc":"d"}`)
		close(said)
		m.hear()
	})
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	o.say(setUp(call, ""))
	<-said
	if m := o.hear(); m == nil || m.Op != jsonlines.OpAccept {
		t.Errorf("heard %+v", m)
	}
	o.say(setUp(other, ";at:a"))
	if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != other || m.CauseOrNone() != jsonlines.CauseNormal {
		t.Errorf("heard %+v", m)
	}
	if e := await(r, func(e scheduler.AttemptEnded) bool { return e.ID == other }); !e.Final || e.Outcome != scheduler.OutcomeFinished {
		t.Errorf("got %+v", e)
	}
}

// A machine at whose address the bus names another is gone, in whatever order the bus tells it: nothing meant for it reaches
// the other, and what stood there is over.
func TestSuccessor(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tells func(addr string) []string
	}{
		{"the successor alone", func(a string) []string { return []string{event(2, false, host("b", a, "ready", 7))} }},
		{"then that the first is gone", func(a string) []string {
			return []string{event(2, false, host("b", a, "ready", 7)), event(3, false, host("a", a, "gone", 0))}
		}},
		{"both in one, the successor first", func(a string) []string {
			return []string{event(2, false, host("b", a, "ready", 7), host("a", a, "gone", 0))}
		}},
		{"the first moves away meanwhile", func(a string) []string {
			return []string{event(2, false, host("a", "127.0.0.1:1", "gone", 0)), event(3, false, host("b", a, "ready", 7))}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bus, tell := toldBus(t)
			offers := make(chan string, 10)
			addr := listen(t, func(m *peer) {
				for msg := m.hear(); msg != nil; msg = m.hear() {
					if offers <- msg.RequestID; msg.RequestID == call {
						m.say(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
					}
				}
			})
			r := start(t, bidToA(0), file(bus, 256, event(1, true, host("a", addr, "ready", 0))))
			o := r.owner()
			o.say(setUp(call, ""))
			o.hear()
			<-offers
			o.say(strings.Replace(setUp("00000000000000dd", ""), `"2000"`, `"60000"`, 1)) // a bid that stays out
			<-offers
			tell(tc.tells(addr)...)
			if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != call {
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
			o.say(setUp(other, "")) // the script bids it to a, whatever the list says
			if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != other {
				t.Errorf("heard %+v, after %+v", m, gone)
			}
			if len(offers) > 0 {
				t.Errorf("%s reached the successor", <-offers)
			}
			o.say(setUp("00000000000000cc", ";at:a")) // where it stood is gone, and the successor's word says nothing of it
			if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != "00000000000000cc" {
				t.Errorf("heard %+v", m)
			}
		})
	}
}

// An owner goes while its bid waits for a link: the machine hears nothing of it, or that it is taken back.
func TestOwnerGoesAsLinkOpens(t *testing.T) {
	heard := make(chan *jsonlines.Message, 10)
	addr := listen(t, func(m *peer) {
		for msg := m.hear(); msg != nil; msg = m.hear() {
			heard <- msg
		}
	})
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	r.on(func() {
		r.script.on = func(e scheduler.Event) []scheduler.Action {
			if e, ok := e.(scheduler.RequestReceived); ok && e.ID == call {
				o.c.Close() // the end is there before the link is
			}
			return bidToA(0)(e)
		}
	})
	o.say(setUp(call, ""))
	await[scheduler.ContainerRemoved](r, nil)
	await[scheduler.AttemptEnded](r, nil)
	r.owner().say(setUp(other, ""))
	var offers, ends int
	for {
		msg := <-heard
		if msg.RequestID == other {
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
func TestCallUsedAnew(t *testing.T) {
	addr := machineThat(t, `{"op":"accept","call":"%s","with":{},"desc":"d"}`)
	r := start(t, nil, file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	end := `{"op":"end","call":"` + call + `","with":{},"why":16}`
	io.WriteString(o.c, setUp(call, "")+"\n"+end+"\n"+setUp(call, "")+"\n"+`{"op":"test","call":"0000000000000001","with":{},"why":0}`+"\n")
	for _, op := range []jsonlines.Op{jsonlines.OpTested, jsonlines.OpAccept} {
		if m := o.hear(); m == nil || m.Op != op {
			t.Fatalf("heard %+v, want %s", m, op)
		}
	}
	o.say(`{"op":"test","call":"0000000000000002","with":{},"why":0}`)
	if m := o.hear(); m == nil || m.Op != jsonlines.OpTested {
		t.Errorf("then heard %+v", m)
	}
}

// The order to leave comes while a set-up is half read: its other half is taken in, and it is answered.
func TestLeaveAtHalfASetUp(t *testing.T) {
	addr := machineThat(t, `{"op":"accept","call":"%s","with":{},"desc":"d"}`)
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	line := setUp(call, "") + "\n"
	io.WriteString(o.c, line[:40])
	for half := 0; half == 0; {
		r.on(func() {
			for _, k := range r.p.callers {
				half = k.lines.Buffered()
			}
		})
	}
	r.p.Leave()
	r.on(func() {})
	io.WriteString(o.c, line[40:])
	if m := o.hear(); m == nil || m.Op != jsonlines.OpAccept {
		t.Errorf("heard %+v", m)
	}
}

// A whole list leaves out a machine: what stands there is over, and a yes that comes then counts for nothing and is taken back.
func TestYesOfOneThatIsGone(t *testing.T) {
	bus, tell := toldBus(t)
	say, heard := make(chan bool), make(chan *jsonlines.Message, 10)
	addr := listen(t, func(m *peer) {
		for msg := m.hear(); msg != nil; msg = m.hear() {
			if msg.Op != jsonlines.OpOffer {
				heard <- msg
				continue
			}
			if msg.RequestID == other {
				<-say
			}
			m.say(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
		}
	})
	r := start(t, bidToA(0), file(bus, 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	o.say(setUp(call, ""))
	o.hear()
	o.say(setUp(other, ""))
	await(r, func(e scheduler.RequestReceived) bool { return e.ID == other })
	tell(event(2, true))
	if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != call {
		t.Fatalf("heard %+v", m)
	}
	close(say)
	if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != other {
		t.Errorf("heard %+v", m)
	}
	if e := await(r, func(e scheduler.AttemptEnded) bool { return e.ID == other }); e.Outcome != scheduler.OutcomeLost || e.Final {
		t.Errorf("got %+v", e)
	}
	if m := <-heard; m == nil || m.Op != jsonlines.OpEnd || m.RequestID != other || m.CauseOrNone() != jsonlines.CauseNormal {
		t.Errorf("the machine heard %+v", m)
	}
}

// A link comes up after the bid that waited for it timed out: that bid is not sent on it, and the next one is.
func TestLateLink(t *testing.T) {
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
	config := file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0)))
	r := start(t, func(e scheduler.Event) []scheduler.Action {
		if e, ok := e.(scheduler.RequestReceived); ok && e.ID == other {
			return bidToA(9 * scheduler.Second)(e)
		}
		return bidToA(50 * scheduler.Millisecond)(e)
	}, strings.Replace(config, `"connect_timeout_ms":250.0`, `"connect_timeout_ms":9000.0`, 1))
	o := r.owner()
	o.say(setUp(call, ""))
	if e := await[scheduler.AttemptEnded](r, nil); e.ID != call || e.Outcome != scheduler.OutcomeConnectFailed {
		t.Errorf("got %+v", e)
	}
	o.hear()
	f := os.NewFile(uintptr(fd), "full")
	l, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	heard := make(chan string, 10)
	t.Cleanup(listenOn(t, l, func(m *peer) {
		for msg := m.hear(); msg != nil; msg = m.hear() {
			heard <- msg.RequestID
			m.say(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
		}
	}))
	o.say(strings.Replace(setUp(other, ""), `"2000"`, `"9000"`, 1))
	if m := o.hear(); m == nil || m.Op != jsonlines.OpAccept || m.RequestID != other {
		t.Errorf("heard %+v", m)
	}
	if c := <-heard; c != other || len(heard) > 0 {
		t.Errorf("the machine heard %s first, and %d more", c, len(heard))
	}
}
