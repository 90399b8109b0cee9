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

const call = "00000000000000aa"

func TestFile(t *testing.T) {
	good := file("127.0.0.1:1", 256, event(1, true, host("a", "127.0.0.1:2", "ready", 5), host("b", "127.0.0.1:3", "draining", 0)))
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
			d, err := parse([]byte(strings.Replace(good, tc.old, tc.with, 1)))
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
			if got := d.Known[0].hosts[0].entry; got != want || len(d.Terms.WorkloadClasses) != 2 || d.Terms.Tenants[1].QuotaCores != 50 ||
				d.Terms.Seed != 0x8c1f30d27a5be964 || d.Terms.ListOnRequest {
				t.Errorf("machine %+v, terms %+v", got, d.Terms)
			}
		})
	}
}

// Each outcome of the module's contract arises from what really passes on a socket, and the owner hears one answer.
func TestOutcomes(t *testing.T) {
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
			addr := machineThat(t, tc.says...)
			r := start(t, bidToA(300*scheduler.Millisecond), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
			o := r.owner()
			o.say(setUp(call, ""))
			e := await[scheduler.AttemptEnded](r, nil)
			if e.Outcome != tc.want || e.Reason != tc.reason || e.Final != tc.over || e.Machine != "a" || e.ID != call {
				t.Errorf("got %+v", e)
			}
			if tc.name == "full" && e.Report["x0"] != 1.5 {
				t.Errorf("report %v", e.Report)
			}
			for _, want := range tc.told {
				m := o.hear()
				if m == nil || m.RequestID != call || m.CauseOrNone() != want {
					t.Fatalf("the owner heard %+v, want cause %d", m, want)
				}
				if want == -1 && (m.Op != jsonlines.OpAccept || string(m.Description) != `"made\u0020here"`) {
					t.Errorf("answered %+v", m)
				}
			}
			o.say(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
			if m := o.hear(); m == nil || m.Op != jsonlines.OpTested || m.CauseOrNone() != jsonlines.CauseTestPassed {
				t.Errorf("after the last answer came %+v", m)
			}
		})
	}
}

func TestNoConnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", l.Addr().String(), "ready", 0))))
	r.owner().say(setUp(call, ""))
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeConnectFailed {
		t.Errorf("got %+v", e)
	}
}

// A set-up goes on as it came, and nothing more than belongs to it.
func TestOfferGoesOn(t *testing.T) {
	got := make(chan *jsonlines.Message, 1)
	addr := listen(t, func(m *peer) { got <- m.hear(); m.hear() })
	r := start(t, bidToA(scheduler.Second), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	r.owner().say(setUp(call, ""))
	a := await[scheduler.RequestReceived](r, nil)
	if a.WorkloadClass != 1 || a.Tenant != 1 || a.Cores != 1 || a.Memory != 2 || a.Service != "s1" || a.IdempotencyKey != "k"+call || a.ClientRetry {
		t.Errorf("asked %+v", a.PlacementRequest)
	}
	m := <-got
	if m.RequestID != call || m.Fields["class"] != "report-run" || m.Fields["key"] != "k"+call || m.Fields["idem"] != "i1" ||
		len(m.Fields) != 4 || string(m.Description) != `"v=0\r\n"` {
		t.Errorf("offered %+v", m)
	}
}

// What cannot be used is turned away by name or with the connection; nothing of it reaches the module.
func TestTurnedAway(t *testing.T) {
	good := setUp(call, "")
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
		{"call", strings.Replace(good, call, "zz", 1), true},
		{"noise", "\xff\xfe", true},
		{"never ends", strings.Repeat("x", 1<<20), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true)))
			o := r.owner()
			go o.say(tc.line) // it may never be read to its end
			m := o.hear()
			if tc.closed != (m == nil) || m != nil && (m.Op != jsonlines.OpEnd || m.CauseOrNone() != jsonlines.CauseInvalidContents) {
				t.Errorf("heard %+v", m)
			}
			r.p.loop.Post(func() { r.script.events <- scheduler.TimerFired{Name: "last"} })
			await(r, func(e scheduler.TimerFired) bool { return e.Name == "last" })
		})
	}
}

// A caller that names what stands with figures that cannot be has shown nothing: it is let go like one that asks nothing,
// and nothing is counted as standing. One whose figures hold stays.
func TestNamesWhatCannotStand(t *testing.T) {
	for _, tc := range []struct {
		left  string
		stays bool
	}{{`"-5"`, false}, {`"soon"`, false}, {`"1e99"`, false}, {`"4294967"`, true}} {
		t.Run(tc.left, func(t *testing.T) {
			t.Parallel()
			addr := listen(t, func(m *peer) { m.hear() })
			r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "draining", 0))))
			o := r.owner()
			o.say(strings.Replace(setUp(call, ";at:a"), `"2000"`, tc.left, 1))
			if tc.stays {
				await[scheduler.ContainerAdopted](r, nil)
			} else if m := o.hear(); m != nil {
				t.Errorf("heard %+v", m)
			}
			r.p.loop.Post(func() { r.script.events <- scheduler.TimerFired{Name: fmt.Sprint(len(r.p.containers))} })
			want := map[bool]string{true: "1", false: "0"}[tc.stays]
			if e := await(r, func(e scheduler.TimerFired) bool { return e.Name != "" }); e.Name != want {
				t.Errorf("%s containers are held, want %s", e.Name, want)
			}
		})
	}
}

// A call that is open is not taken twice: from elsewhere the second is turned away, from the same caller both are over.
func TestCallTwice(t *testing.T) {
	addr := listen(t, func(m *peer) { m.hear(); m.hear() })
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	first, second := r.owner(), r.owner()
	first.say(setUp(call, ""))
	await[scheduler.RequestReceived](r, nil)
	second.say(setUp(call, ""))
	if m := second.hear(); m == nil || m.CauseOrNone() != jsonlines.CauseInvalidContents {
		t.Errorf("the second heard %+v", m)
	}
	first.say(setUp(call, ""))
	if m := first.hear(); m != nil {
		t.Errorf("the first heard %+v", m)
	}
	await(r, func(e scheduler.ContainerRemoved) bool { return e.ID == call })
}

// An owner that gives a set-up up, or goes, takes its bid back.
func TestTakenBack(t *testing.T) {
	for _, way := range []string{"end", "close"} {
		t.Run(way, func(t *testing.T) {
			got := make(chan *jsonlines.Message, 2)
			addr := listen(t, func(m *peer) { got <- m.hear(); got <- m.hear() })
			r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
			o := r.owner()
			o.say(setUp(call, ""))
			<-got
			if way == "end" {
				o.say(`{"op":"end","call":"` + call + `","with":{},"why":16}`)
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
func TestStandsWithoutConnection(t *testing.T) {
	release := make(chan bool)
	addr := listen(t, func(m *peer) {
		if <-release {
			m.say(`{"op":"end","call":"`+call+`","with":{},"why":16}`, `{"op":"end","call":"`+call+`","with":{},"why":16}`)
		}
		m.hear()
	})
	t.Cleanup(func() { close(release) })
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	first := r.owner()
	first.say(strings.Replace(setUp(call, ";at:a"), `"2000"`, `"4294967"`, 1), setUp(call, ";at:a"))
	if e := await[scheduler.ContainerAdopted](r, nil); e.Machine != "a" {
		t.Errorf("took over %+v", e)
	}
	first.c.Close()
	second := r.owner()
	second.say(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
	second.hear()
	release <- true
	if m := second.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != call || m.CauseOrNone() != 16 {
		t.Errorf("heard %+v", m)
	}
	second.say(`{"op":"test","call":"0000000000000002","with":{},"why":0}`)
	if m := second.hear(); m == nil || m.Op != jsonlines.OpTested {
		t.Errorf("then heard %+v", m)
	}
}

// An owner that ends what stands is owed no release; the machine is told.
func TestOwnerEnds(t *testing.T) {
	addr := listen(t, func(m *peer) {
		m.hear()
		m.say(`{"op":"accept","call":"` + call + `","with":{},"desc":"d"}`)
		if msg := m.hear(); msg == nil || msg.Op != jsonlines.OpEnd {
			t.Errorf("the machine heard %+v", msg)
		}
		m.say(`{"op":"end","call":"` + call + `","with":{},"why":31}`)
		m.hear()
	})
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o, other := r.owner(), r.owner()
	o.say(setUp(call, ""))
	o.hear()
	other.say(`{"op":"end","call":"` + call + `","with":{},"why":16}`)
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeStopped || !e.Final {
		t.Errorf("got %+v", e)
	}
	o.say(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
	if m := o.hear(); m == nil || m.Op != jsonlines.OpTested {
		t.Errorf("the owner heard %+v", m)
	}
}

// The bus is followed over breaks, doubled events, silence and a new address, and nothing is taken in twice.
func TestBus(t *testing.T) {
	type talk struct {
		from string
		p    *peer
	}
	next := func() (string, chan talk) {
		calls := make(chan talk, 10)
		done := make(chan bool)
		t.Cleanup(func() { close(done) })
		return listen(t, func(b *peer) {
			line, _ := b.r.ReadString('\n')
			calls <- talk{strings.TrimSpace(line), b}
			if _, err := b.r.ReadString('\n'); err == nil {
				t.Error("the placer said more")
			}
		}), calls
	}
	old, calls := next()
	r := start(t, bidToA(0), file(old, 256, event(1, true, host("a", "127.0.0.1:1", "ready", 0))))
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
		case <-time.After(patience):
			t.Fatal("the bus was not asked")
			return nil
		}
	}
	b := follow(calls, "from 1")
	b.say(event(1, true), event(2, false, host("a", "127.0.0.1:1", "draining", 0)), event(2, false), `{"offset":2}`)
	list(2)
	fmt.Fprint(b.c, `{"offset":3,"topo`) // broken off
	b.c.Close()
	b = follow(calls, "from 2")
	b.say(`{"offset":4}`) // 3 and 4 were never told
	b = follow(calls, "from 2")
	b.say(event(3, false), event(4, false))
	list(3)
	list(4)
	// now silence
	b = follow(calls, "from 4")
	later, moved := next()
	d := *r.p.d
	d.Bus = later
	r.p.Renew(&d)
	b = follow(moved, "from 4")
	b.say(event(5, true))
	list(5)
}

// Told to leave, a placer answers what it has and ends.
func TestLeave(t *testing.T) {
	hold := make(chan bool)
	addr := listen(t, func(m *peer) {
		msg := m.hear()
		if msg == nil {
			return // a look
		}
		<-hold
		m.say(`{"op":"accept","call":"` + msg.RequestID + `","with":{},"desc":"d"}`)
		m.hear()
	})
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	o.say(setUp(call, ""))
	await[scheduler.RequestReceived](r, nil)
	r.p.Leave()
	o.say(`{"op":"test","call":"0000000000000001","with":{},"why":0}`)
	if m := o.hear(); m == nil || m.CauseOrNone() != jsonlines.CauseTestFailed {
		t.Errorf("a test was answered %+v", m)
	}
	close(hold)
	if m := o.hear(); m == nil || m.Op != jsonlines.OpAccept {
		t.Errorf("answered %+v", m)
	}
	if m := o.hear(); m != nil {
		t.Errorf("then heard %+v", m)
	}
}

// What stands at a machine that is gone, started anew or turns connections down is over, and its owner is told.
func TestLostMachine(t *testing.T) {
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
				m.hear()
				m.say(`{"op":"accept","call":"` + call + `","with":{},"desc":"d"}`)
				l.Close()
				<-die
			}()
			told := make(chan string, 1)
			bus := listen(t, func(b *peer) {
				b.r.ReadString('\n')
				if line, ok := <-told; ok {
					b.say(line)
				}
				b.r.ReadString('\n')
			})
			r := start(t, bidToA(0), file(bus, 256, event(1, true, host("a", l.Addr().String(), "ready", 0))))
			o := r.owner()
			o.say(setUp(call, ""))
			if m := o.hear(); m == nil || m.Op != jsonlines.OpAccept {
				t.Fatalf("answered %+v", m)
			}
			if tc.tells == "" {
				close(told)
				close(die)
			} else {
				told <- event(2, false, host("a", l.Addr().String(), tc.tells, time.Now().UnixMilli()+1))
				defer close(die)
			}
			if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != call || m.CauseOrNone() != jsonlines.CauseTemporaryFailure {
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
func TestReleaseToldAgain(t *testing.T) {
	addr := machineThat(t, `{"op":"accept","call":"%s","with":{},"desc":"d"}`, `{"op":"end","call":"%s","with":{},"why":16}`)
	for _, heard := range []bool{false, true} {
		t.Run(fmt.Sprint("heard ", heard), func(t *testing.T) {
			r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
			o := r.owner()
			o.say(setUp(call, ""))
			o.hear()
			o.hear()
			if heard {
				o.say(`{"op":"ended","call":"`+call+`","with":{}}`, `{"op":"test","call":"0000000000000001","with":{},"why":0}`)
				o.hear()
			}
			o.c.Close()
			other := r.owner()
			other.say(`{"op":"test","call":"0000000000000002","with":{},"why":0}`)
			want := []jsonlines.Op{jsonlines.OpTested, jsonlines.OpEnd, jsonlines.OpTested}
			if heard {
				want = []jsonlines.Op{jsonlines.OpTested, jsonlines.OpTested}
			}
			for i, op := range want {
				if i == len(want)-1 {
					other.say(`{"op":"test","call":"0000000000000003","with":{},"why":0}`)
				}
				if m := other.hear(); m == nil || m.Op != op || op == jsonlines.OpEnd && m.RequestID != call {
					t.Fatalf("heard %+v, want %s", m, op)
				}
			}
		})
	}
}

// An end that was on its way as its link broke is heard on the next link, which is opened for it though another stands.
func TestEndAfterBreak(t *testing.T) {
	const other = "00000000000000bb"
	yes := `{"op":"accept","call":"%s","with":{},"desc":"d"}`
	callers := make(chan int, 10)
	for i := range 10 {
		callers <- i
	}
	both := make(chan bool)
	addr := listen(t, func(m *peer) {
		n := <-callers
		if n >= 2 {
			m.say(`{"op":"end","call":"` + call + `","with":{},"why":16}`)
			m.hear()
			return
		}
		msg := m.hear()
		if n == 0 {
			both <- true
		} else {
			<-both // each set-up has a link of its own
		}
		m.say(strings.Replace(yes, "%s", msg.RequestID, 1))
		if msg.RequestID == call {
			m.say("noise")
		}
		m.hear()
	})
	r := start(t, bidToA(0), file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	o.say(setUp(call, ""), setUp(other, ""))
	began := time.Now()
	for _, op := range []jsonlines.Op{jsonlines.OpAccept, jsonlines.OpAccept, jsonlines.OpEnd} {
		if m := o.hear(); m == nil || m.Op != op || op == jsonlines.OpEnd && m.RequestID != call {
			t.Fatalf("heard %+v, want %s", m, op)
		}
	}
	if took := time.Since(began); took > time.Second { // what owners are owed
		t.Errorf("told after %v", took)
	}
}

// A link that is left is read until the machine has closed it: what it says on the way is heard, and nothing more is
// sent on it.
func TestLeftLinkIsRead(t *testing.T) {
	addr := listen(t, func(m *peer) {
		if msg := m.hear(); msg != nil {
			m.say(`{"op":"tested","call":"` + msg.RequestID + `","with":{},"why":1}`)
		}
		if msg := m.hear(); msg != nil {
			t.Errorf("heard %+v", msg)
		}
		m.say(`{"op":"end","call":"` + call + `","with":{},"why":16}`)
	})
	r := start(t, func(e scheduler.Event) []scheduler.Action {
		switch e.(type) {
		case scheduler.ContainerAdopted:
			return []scheduler.Action{scheduler.Probe{Machine: "a"}}
		case scheduler.ProbeCompleted:
			return []scheduler.Action{scheduler.Disconnect{Machine: "a"}}
		}
		return nil
	}, file(silentBus(t), 256, event(1, true, host("a", addr, "ready", 0))))
	o := r.owner()
	o.say(setUp(call, ";at:a"))
	if m := o.hear(); m == nil || m.Op != jsonlines.OpEnd || m.RequestID != call {
		t.Errorf("heard %+v", m)
	}
}
