package platform

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

const callID = "00000000000000aa"

func TestConfigIsValidated(t *testing.T) {
	good := configJSON("127.0.0.1:1", 256, eventJSON(1, true, machineJSON("a", "127.0.0.1:2", "ready", 5), machineJSON("b", "127.0.0.1:3", "draining", 0)))
	for _, tc := range []struct{ name, old, with, fault string }{
		{"good", "", "", ""},
		{"no JSON", `"bus":`, `"bus"`, "line 2: invalid character"},
		{"seed", `"8c1f`, `"xyz`, "seed: "},
		{"address of the bus", `"127.0.0.1:1"`, `"bus.example"`, "bus: "},
		{"sockets", `"sockets":256`, `"sockets":3`, "3 sockets"},
		{"missing term", `"me":0,`, ``, "setting me is missing"},
		{"term of the wrong sort", `"balancers":1`, `"balancers":"x"`, "setting balancers"},
		{"nested list", `"azs":["hall a"`, `"azs":[["x"]`, "azs[0]"},
		{"machine's kind", `"class":"large"`, `"class":"huge"`, `known.batch[0]: hosts[0]: site "hall-b" or class "huge"`},
		{"machine's address", `127.0.0.1:2"`, `nowhere"`, "known.batch[0]: hosts[0]: dial"},
		{"machine's state", `"draining"`, `"resting"`, "known.batch[0]: hosts[1]: health"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d, err := parseConfig([]byte(strings.Replace(good, tc.old, tc.with, 1)))
			if tc.fault != "" {
				if err == nil || !strings.Contains(err.Error(), tc.fault) {
					t.Errorf("fault %v, want %q", err, tc.fault)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			want := scheduler.MachineEntry{Machine: "a", Zone: 1, MachineType: 1, RackGroup: 2, PowerHint: 1, FreeCores: 40.5, FreeMemory: 100, StartedAt: 50}
			if got := d.KnownEvents[0].machines[0].entry; got != want || len(d.Scheduler.WorkloadClasses) != 2 || d.Scheduler.Tenants[1].QuotaCores != 50 ||
				d.Scheduler.Seed != 0x8c1f30d27a5be964 || d.Scheduler.ListOnRequest {
				t.Errorf("machine %+v, terms %+v", got, d.Scheduler)
			}
		})
	}
}

// Each outcome of the module's contract arises from what really passes on a socket, and the owner hears one answer.
func TestEachMachineAnswerHasItsOutcome(t *testing.T) {
	yes := `{"op":"accept","call":"%s","with":{},"desc":"made\u0020here"}`
	end := func(why int, with string) string {
		return fmt.Sprintf(`{"op":"end","call":"%%s","with":{%s},"why":%d}`, with, why)
	}
	for _, tc := range []struct {
		name   string
		says   []string
		want   scheduler.Outcome
		reason scheduler.Reason
		over   bool
		told   []int // causes that the owner hears; -1 is an answer
	}{
		{"full", []string{end(34, `"note":"mem_full","load":"x0:1.5;x1:2"`)}, scheduler.OutcomeFull, scheduler.ReasonNoMemory, false, []int{41}},
		{"erred", []string{end(47, "")}, scheduler.OutcomeErrored, 0, false, []int{41}},
		{"never left", []string{end(102, "")}, scheduler.OutcomeNotSent, 0, false, []int{41}},
		{"broke on its way", []string{end(41, "")}, scheduler.OutcomeLost, 0, false, []int{41}},
		{"evicted, its yes is late", []string{end(41, `"note":"oom"`), yes}, scheduler.OutcomeLost, scheduler.ReasonOutOfMemory, true, []int{41}},
		{"sent away, its yes is lost", []string{end(41, `"note":"drained"`)}, scheduler.OutcomeLost, scheduler.ReasonDrained, true, []int{41}},
		{"its time has passed", []string{end(16, "")}, scheduler.OutcomeFinished, 0, false, []int{41}},
		{"another cause", []string{end(99, "")}, scheduler.OutcomeLost, 0, false, []int{41}},
		{"finished", []string{yes, end(16, "")}, scheduler.OutcomeFinished, 0, true, []int{-1, 16}},
		{"evicted", []string{yes, end(41, `"note":"oom"`)}, scheduler.OutcomeLost, scheduler.ReasonOutOfMemory, true, []int{-1, 41}},
		{"sent away", []string{yes, end(41, `"note":"drained"`)}, scheduler.OutcomeLost, scheduler.ReasonDrained, true, []int{-1, 41}},
		{"two yeses", []string{yes, yes, end(16, "")}, scheduler.OutcomeFinished, 0, true, []int{-1, 16}},
		{"an answer for another ahead", []string{strings.Replace(yes, "%s", "00000000000000bb", 1), yes, end(16, "")},
			scheduler.OutcomeFinished, 0, true, []int{-1, 16}},
		{"a yes without a description", []string{`{"op":"accept","call":"%s","with":{}}`}, scheduler.OutcomeLost, 0, false, []int{41}},
		{"noise", []string{"\x01\x02\xff"}, scheduler.OutcomeLost, 0, false, []int{41}},
		{"a line that never ends", []string{strings.Repeat("x", 20<<10)}, scheduler.OutcomeLost, 0, false, []int{41}},
		{"closes", []string{"close"}, scheduler.OutcomeLost, 0, false, []int{41}},
		{"says nothing", nil, scheduler.OutcomeTimedOut, 0, false, []int{41}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := fakeMachine(t, tc.says...)
			r := startServer(t, attemptOnA(300*scheduler.Millisecond), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
			o := r.dialClient()
			o.send(offerLine(callID, ""))
			e := await[scheduler.AttemptEnded](r, nil)
			if e.Outcome != tc.want || e.Reason != tc.reason || e.Final != tc.over || e.Machine != "a" || e.ID != callID {
				t.Errorf("got %+v", e)
			}
			if tc.name == "full" && e.Report["x0"] != 1.5 {
				t.Errorf("report %v", e.Report)
			}
			for _, want := range tc.told {
				msg := o.receive()
				if msg == nil || msg.RequestID != callID || msg.CauseOrNone() != want {
					t.Fatalf("the owner heard %+v, want cause %d", msg, want)
				}
				if want == -1 && (msg.Op != jsonlines.OpAccept || string(msg.Description) != `"made\u0020here"`) {
					t.Errorf("answered %+v", msg)
				}
			}
			o.send(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
			if msg := o.receive(); msg == nil || msg.Op != jsonlines.OpTested || msg.CauseOrNone() != jsonlines.CauseTestPassed {
				t.Errorf("after the last answer came %+v", msg)
			}
		})
	}
}

func TestRefusedConnectionIsNoConnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", l.Addr().String(), "ready", 0))))
	r.dialClient().send(offerLine(callID, ""))
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeConnectFailed {
		t.Errorf("got %+v", e)
	}
}

// A set-up goes on as it came, and nothing more than belongs to it.
func TestOfferIsForwarded(t *testing.T) {
	got := make(chan *jsonlines.Message, 1)
	addr := serveTCP(t, func(m *peer) { got <- m.receive(); m.receive() })
	r := startServer(t, attemptOnA(scheduler.Second), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	r.dialClient().send(offerLine(callID, ""))
	a := await[scheduler.RequestReceived](r, nil)
	if a.WorkloadClass != 1 || a.Tenant != 1 || a.Cores != 1 || a.Memory != 2 || a.Service != "s1" || a.IdempotencyKey != "k"+callID || a.ClientRetry {
		t.Errorf("asked %+v", a.PlacementRequest)
	}
	m := <-got
	if m.RequestID != callID || m.Fields["class"] != "report-run" || m.Fields["key"] != "k"+callID || m.Fields["idem"] != "i1" ||
		len(m.Fields) != 4 || string(m.Description) != `"v=0\r\n"` {
		t.Errorf("offered %+v", m)
	}
}

// What cannot be used is turned away by name or with the connection; nothing of it reaches the module.
func TestInvalidRequestIsRejected(t *testing.T) {
	good := offerLine(callID, "")
	for _, tc := range []struct {
		name, line string
		closed     bool
	}{
		{"class", strings.Replace(good, "report-run", "other", 1), false},
		{"tenant", strings.Replace(good, "offices", "nobody", 1), false},
		{"left is no number", strings.Replace(good, `"2000"`, `"soon"`, 1), false},
		{"left is negative", strings.Replace(good, `"2000"`, `-1`, 1), false},
		{"left is huge", strings.Replace(good, `"2000"`, `1e99`, 1), false},
		{"cores", strings.Replace(good, "cores:1", "cores:NaN", 1), false},
		{"extras", strings.Replace(good, "cores:1", "cores", 1), false},
		{"service", strings.Replace(good, "service:s1", "x:y", 1), false},
		{"key", strings.Replace(good, `"key"`, `"kay"`, 1), false},
		{"call", strings.Replace(good, callID, "zz", 1), true},
		{"noise", "\xff\xfe", true},
		{"never ends", strings.Repeat("x", 1<<20), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true)))
			o := r.dialClient()
			go o.send(tc.line) // it may never be read to its end
			msg := o.receive()
			if tc.closed != (msg == nil) || msg != nil && (msg.Op != jsonlines.OpEnd || msg.CauseOrNone() != jsonlines.CauseInvalidContents) {
				t.Errorf("heard %+v", msg)
			}
			r.server.loop.Post(func() { r.scheduler.events <- scheduler.TimerFired{Name: "last"} })
			await(r, func(e scheduler.TimerFired) bool { return e.Name == "last" })
		})
	}
}

// A caller that names what stands with figures that cannot be has shown nothing: it is let go like one that asks nothing,
// and nothing is counted as standing. One whose figures hold stays.
func TestImpossibleReclaimIsIgnored(t *testing.T) {
	for _, tc := range []struct {
		left  string
		stays bool
	}{{`"-5"`, false}, {`"soon"`, false}, {`"1e99"`, false}, {`"4294967"`, true}} {
		t.Run(tc.left, func(t *testing.T) {
			t.Parallel()
			addr := serveTCP(t, func(m *peer) { m.receive() })
			r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "draining", 0))))
			o := r.dialClient()
			o.send(strings.Replace(offerLine(callID, ";at:a"), `"2000"`, tc.left, 1))
			if tc.stays {
				await[scheduler.ContainerAdopted](r, nil)
			} else if m := o.receive(); m != nil {
				t.Errorf("heard %+v", m)
			}
			r.server.loop.Post(func() { r.scheduler.events <- scheduler.TimerFired{Name: fmt.Sprint(len(r.server.containers))} })
			want := map[bool]string{true: "1", false: "0"}[tc.stays]
			if e := await(r, func(e scheduler.TimerFired) bool { return e.Name != "" }); e.Name != want {
				t.Errorf("%s containers are held, want %s", e.Name, want)
			}
		})
	}
}

// A call that is open is not taken twice: from elsewhere the second is turned away, from the same caller both are over.
func TestDuplicateCallIsRejected(t *testing.T) {
	addr := serveTCP(t, func(m *peer) { m.receive(); m.receive() })
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	first, second := r.dialClient(), r.dialClient()
	first.send(offerLine(callID, ""))
	await[scheduler.RequestReceived](r, nil)
	second.send(offerLine(callID, ""))
	if m := second.receive(); m == nil || m.CauseOrNone() != jsonlines.CauseInvalidContents {
		t.Errorf("the second heard %+v", m)
	}
	first.send(offerLine(callID, ""))
	if m := first.receive(); m != nil {
		t.Errorf("the first heard %+v", m)
	}
	await(r, func(e scheduler.ContainerRemoved) bool { return e.ID == callID })
}

// An owner that gives a set-up up, or goes, takes its bid back.
func TestCancelledRequestCancelsItsAttempt(t *testing.T) {
	for _, way := range []string{"end", "close"} {
		t.Run(way, func(t *testing.T) {
			got := make(chan *jsonlines.Message, 2)
			addr := serveTCP(t, func(m *peer) { got <- m.receive(); got <- m.receive() })
			r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
			o := r.dialClient()
			o.send(offerLine(callID, ""))
			<-got
			if way == "end" {
				o.send(`{"op":"end","call":"` + callID + `","with":{},"why":16}`)
			} else {
				o.c.Close()
			}
			if m := <-got; m == nil || m.Op != jsonlines.OpEnd || m.CauseOrNone() != jsonlines.CauseNormal {
				t.Errorf("the machine heard %+v", m)
			}
			await[scheduler.ContainerRemoved](r, nil)
			if e := await[scheduler.AttemptEnded](r, nil); !e.Final || e.Outcome != scheduler.OutcomeStopped {
				t.Errorf("got %+v", e)
			}
		})
	}
}

// The end of what stands is told on any owner's connection, also where it was taken over, and once.
func TestEndReachesAnotherClientAfterDisconnect(t *testing.T) {
	release := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		if <-release {
			m.send(`{"op":"end","call":"`+callID+`","with":{},"why":16}`, `{"op":"end","call":"`+callID+`","with":{},"why":16}`)
		}
		m.receive()
	})
	t.Cleanup(func() { close(release) })
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	first := r.dialClient()
	first.send(strings.Replace(offerLine(callID, ";at:a"), `"2000"`, `"4294967"`, 1), offerLine(callID, ";at:a"))
	if e := await[scheduler.ContainerAdopted](r, nil); e.Machine != "a" {
		t.Errorf("took over %+v", e)
	}
	first.c.Close()
	second := r.dialClient()
	second.send(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
	second.receive()
	release <- true
	if m := second.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != callID || m.CauseOrNone() != 16 {
		t.Errorf("heard %+v", m)
	}
	second.send(`{"op":"test","call":"0000000000000002","with":{},"why":0}`)
	if m := second.receive(); m == nil || m.Op != jsonlines.OpTested {
		t.Errorf("then heard %+v", m)
	}
}

// An owner that ends what stands is owed no release; the machine is told.
func TestClientEndsRunningContainer(t *testing.T) {
	addr := serveTCP(t, func(m *peer) {
		m.receive()
		m.send(`{"op":"accept","call":"` + callID + `","with":{},"desc":"d"}`)
		if msg := m.receive(); msg == nil || msg.Op != jsonlines.OpEnd {
			t.Errorf("the machine heard %+v", msg)
		}
		m.send(`{"op":"end","call":"` + callID + `","with":{},"why":31}`)
		m.receive()
	})
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o, other := r.dialClient(), r.dialClient()
	o.send(offerLine(callID, ""))
	o.receive()
	other.send(`{"op":"end","call":"` + callID + `","with":{},"why":16}`)
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeStopped || !e.Final {
		t.Errorf("got %+v", e)
	}
	o.send(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
	if m := o.receive(); m == nil || m.Op != jsonlines.OpTested {
		t.Errorf("the owner heard %+v", m)
	}
}

// The bus is followed over breaks, doubled events, silence and a new address, and nothing is taken in twice.
func TestDiscoveryWatchResumes(t *testing.T) {
	type talk struct {
		from string
		p    *peer
	}
	next := func() (string, chan talk) {
		calls := make(chan talk, 10)
		done := make(chan bool)
		t.Cleanup(func() { close(done) })
		return serveTCP(t, func(b *peer) {
			line, _ := b.r.ReadString('\n')
			calls <- talk{strings.TrimSpace(line), b}
			if _, err := b.r.ReadString('\n'); err == nil {
				t.Error("the placer said more")
			}
		}), calls
	}
	old, calls := next()
	r := startServer(t, attemptOnA(0), configJSON(old, 256, eventJSON(1, true, machineJSON("a", "127.0.0.1:1", "ready", 0))))
	list := func(version int64) {
		t.Helper()
		if e := await[scheduler.MachineListUpdate](r, nil); e.Version != version {
			t.Errorf("version %d came, want %d", e.Version, version)
		}
	}
	list(1)
	follow := func(calls chan talk, from string) *peer {
		t.Helper()
		select {
		case c := <-calls:
			if c.from != from {
				t.Errorf("asked %q, want %q", c.from, from)
			}
			return c.p
		case <-time.After(testTimeout):
			t.Fatal("the bus was not asked")
			return nil
		}
	}
	b := follow(calls, "from 1")
	b.send(eventJSON(1, true), eventJSON(2, false, machineJSON("a", "127.0.0.1:1", "draining", 0)), eventJSON(2, false), `{"offset":2}`)
	list(2)
	fmt.Fprint(b.c, `{"offset":3,"topo`) // broken off
	b.c.Close()
	b = follow(calls, "from 2")
	b.send(`{"offset":4}`) // 3 and 4 were never told
	b = follow(calls, "from 2")
	b.send(eventJSON(3, false), eventJSON(4, false))
	list(3)
	list(4)
	// now silence
	b = follow(calls, "from 4")
	later, moved := next()
	d := *r.server.config
	d.DiscoveryAddr = later
	r.server.Reload(&d)
	b = follow(moved, "from 4")
	b.send(eventJSON(5, true))
	list(5)
}

// Told to leave, a placer answers what it has and ends.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	hold := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		msg := m.receive()
		if msg == nil {
			return // a look
		}
		<-hold
		m.send(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
		m.receive()
	})
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	o.send(offerLine(callID, ""))
	await[scheduler.RequestReceived](r, nil)
	r.server.Shutdown()
	o.send(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
	if m := o.receive(); m == nil || m.CauseOrNone() != jsonlines.CauseTestFailed {
		t.Errorf("a test was answered %+v", m)
	}
	close(hold)
	if m := o.receive(); m == nil || m.Op != jsonlines.OpAccept {
		t.Errorf("answered %+v", m)
	}
	if m := o.receive(); m != nil {
		t.Errorf("then heard %+v", m)
	}
}

// What stands at a machine that is gone, started anew or turns connections down is over, and its owner is told.
func TestLostMachineEndsItsContainers(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tells string // what the bus tells of the machine
	}{
		{"gone", "gone"},
		{"new start", "ready"},
		{"turns connections down", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			die := make(chan bool)
			done := make(chan bool)
			go func() {
				defer close(done)
				defer l.Close()
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				m := newPeer(t, c)
				m.receive()
				m.send(`{"op":"accept","call":"` + callID + `","with":{},"desc":"d"}`)
				l.Close()
				<-die
			}()
			told := make(chan string, 1)
			bus := serveTCP(t, func(b *peer) {
				b.r.ReadString('\n')
				if line, ok := <-told; ok {
					b.send(line)
				}
				b.r.ReadString('\n')
			})
			r := startServer(t, attemptOnA(0), configJSON(bus, 256, eventJSON(1, true, machineJSON("a", l.Addr().String(), "ready", 0))))
			o := r.dialClient()
			o.send(offerLine(callID, ""))
			if m := o.receive(); m == nil || m.Op != jsonlines.OpAccept {
				t.Fatalf("answered %+v", m)
			}
			if tc.tells == "" {
				close(told)
				close(die)
			} else {
				told <- eventJSON(2, false, machineJSON("a", l.Addr().String(), tc.tells, time.Now().UnixMilli()+1))
				defer close(die)
			}
			if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != callID || m.CauseOrNone() != jsonlines.CauseTemporaryFailure {
				t.Errorf("heard %+v", m)
			}
			if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeLost || !e.Final {
				t.Errorf("got %+v", e)
			}
			if tc.tells == "" {
				<-done
			}
		})
	}
}

// A release that its owner has not heard when the connection ends is told again on another one.
func TestUnacknowledgedEndIsResent(t *testing.T) {
	addr := fakeMachine(t, `{"op":"accept","call":"%s","with":{},"desc":"d"}`, `{"op":"end","call":"%s","with":{},"why":16}`)
	for _, heard := range []bool{false, true} {
		t.Run(fmt.Sprint("heard ", heard), func(t *testing.T) {
			r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
			o := r.dialClient()
			o.send(offerLine(callID, ""))
			o.receive()
			o.receive()
			if heard {
				o.send(`{"op":"ended","call":"`+callID+`","with":{}}`, `{"op":"test","call":"0000000000000001","with":{},"why":0}`)
				o.receive()
			}
			o.c.Close()
			other := r.dialClient()
			other.send(`{"op":"test","call":"0000000000000002","with":{},"why":0}`)
			want := []jsonlines.Op{jsonlines.OpTested, jsonlines.OpEnd, jsonlines.OpTested}
			if heard {
				want = []jsonlines.Op{jsonlines.OpTested, jsonlines.OpTested}
			}
			for i, op := range want {
				if i == len(want)-1 {
					other.send(`{"op":"test","call":"0000000000000003","with":{},"why":0}`)
				}
				if msg := other.receive(); msg == nil || msg.Op != op || op == jsonlines.OpEnd && msg.RequestID != callID {
					t.Fatalf("heard %+v, want %s", msg, op)
				}
			}
		})
	}
}

// An end that was on its way as its link broke is heard on the next link, which is opened for it though another stands.
func TestEndIsReadAfterConnectionLoss(t *testing.T) {
	const other = "00000000000000bb"
	yes := `{"op":"accept","call":"%s","with":{},"desc":"d"}`
	callers := make(chan int, 10)
	for i := range 10 {
		callers <- i
	}
	both := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		n := <-callers
		if n >= 2 {
			m.send(`{"op":"end","call":"` + callID + `","with":{},"why":16}`)
			m.receive()
			return
		}
		msg := m.receive()
		if n == 0 {
			both <- true
		} else {
			<-both // each set-up has a link of its own
		}
		m.send(strings.Replace(yes, "%s", msg.RequestID, 1))
		if msg.RequestID == callID {
			m.send("noise")
		}
		m.receive()
	})
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	o.send(offerLine(callID, ""), offerLine(other, ""))
	began := time.Now()
	for _, op := range []jsonlines.Op{jsonlines.OpAccept, jsonlines.OpAccept, jsonlines.OpEnd} {
		if m := o.receive(); m == nil || m.Op != op || op == jsonlines.OpEnd && m.RequestID != callID {
			t.Fatalf("heard %+v, want %s", m, op)
		}
	}
	if took := time.Since(began); took > time.Second { // what owners are owed
		t.Errorf("told after %v", took)
	}
}

// A link that is left is read until the machine has closed it: what it says on the way is heard, and nothing more is
// sent on it.
func TestHalfClosedConnIsRead(t *testing.T) {
	addr := serveTCP(t, func(m *peer) {
		if msg := m.receive(); msg != nil {
			m.send(`{"op":"tested","call":"` + msg.RequestID + `","with":{},"why":1}`)
		}
		if msg := m.receive(); msg != nil {
			t.Errorf("heard %+v", msg)
		}
		m.send(`{"op":"end","call":"` + callID + `","with":{},"why":16}`)
	})
	r := startServer(t, func(e scheduler.Event) []scheduler.Action {
		switch e.(type) {
		case scheduler.ContainerAdopted:
			return []scheduler.Action{scheduler.Probe{Machine: "a"}}
		case scheduler.ProbeCompleted:
			return []scheduler.Action{scheduler.Disconnect{Machine: "a"}}
		}
		return nil
	}, configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))))
	o := r.dialClient()
	o.send(offerLine(callID, ";at:a"))
	if m := o.receive(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != callID {
		t.Errorf("heard %+v", m)
	}
}
