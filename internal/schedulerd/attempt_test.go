package schedulerd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"glenport/internal/protocol"
	"glenport/scheduler"
)

// bidTo bids each container to machine a, and gives it up after its first outcome.
func bidTo(wait scheduler.Time) func(scheduler.Event) []scheduler.Action {
	return func(e scheduler.Event) []scheduler.Action {
		switch e := e.(type) {
		case scheduler.RequestReceived:
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: "a", Timeout: wait}}
		case scheduler.AttemptEnded:
			if !e.Final {
				return []scheduler.Action{scheduler.Fail{ID: e.ID}}
			}
		}
		return nil
	}
}

func quiet(net.Conn, protocol.Frame) bool { return true }

// Each outcome of the module's contract arises from what really happens on a socket.
func TestOutcomes(t *testing.T) {
	says := func(frames func(o *protocol.Offer) []protocol.Frame) func(*testing.T) string {
		return func(t *testing.T) string {
			return machineThat(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
				if o, ok := f.(*protocol.Offer); ok {
					put(c, frames(o)...)
				}
				return true
			})
		}
	}
	result := func(o protocol.Outcome, r protocol.Reason) func(*testing.T) string {
		return says(func(f *protocol.Offer) []protocol.Frame {
			return []protocol.Frame{&protocol.Result{AttemptID: f.AttemptID, Outcome: o, Reason: r, Report: map[string]float64{"queue": 3}}}
		})
	}
	after := func(o protocol.Outcome, r protocol.Reason) func(*testing.T) string {
		return says(func(f *protocol.Offer) []protocol.Frame {
			return []protocol.Frame{&protocol.Accept{AttemptID: f.AttemptID, Running: true}, &protocol.Result{AttemptID: f.AttemptID, Outcome: o, Reason: r}}
		})
	}
	hang := func(reset bool) func(*testing.T) string {
		return func(t *testing.T) string {
			return machineThat(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
				_, offer := f.(*protocol.Offer)
				if offer && reset {
					c.(*net.TCPConn).SetLinger(0)
				}
				return !offer
			})
		}
	}
	for _, tc := range []struct {
		name    string
		machine func(*testing.T) string
		want    scheduler.Outcome
		reason  scheduler.Reason
		over    bool
		fate    protocol.Outcome
	}{
		{"full", result(protocol.OutcomeFull, protocol.ReasonNoMemory), scheduler.OutcomeFull, scheduler.ReasonNoMemory, false, 0},
		{"erred", result(protocol.OutcomeErrored, 0), scheduler.OutcomeErrored, 0, false, 0},
		{"finished", after(protocol.OutcomeFinished, 0), scheduler.OutcomeFinished, 0, true, protocol.OutcomeFinished},
		{"evicted", after(protocol.OutcomeLost, protocol.ReasonOutOfMemory), scheduler.OutcomeLost, scheduler.ReasonOutOfMemory, true, protocol.OutcomeLost},
		{"sent away", after(protocol.OutcomeLost, protocol.ReasonDrained), scheduler.OutcomeLost, scheduler.ReasonDrained, true, protocol.OutcomeLost},
		{"no answer", func(t *testing.T) string { return machineThat(t, "a", &protocol.Inventory{}, quiet) }, scheduler.OutcomeTimedOut, 0, false, 0},
		{"link ended between offer and answer", hang(false), scheduler.OutcomeLost, 0, false, 0},
		{"link reset between offer and answer", hang(true), scheduler.OutcomeLost, 0, false, 0},
		{"garbage for an answer", says(func(*protocol.Offer) []protocol.Frame {
			return []protocol.Frame{&protocol.Submit{TimeToDeadline: 1,
				Spec: protocol.ContainerSpec{ContainerID: "x", IdempotencyKey: "x", Service: "x"}}}
		}), scheduler.OutcomeLost, 0, false, 0},
		{"nobody listens", func(t *testing.T) string {
			l, _ := net.Listen("tcp", "127.0.0.1:0")
			defer l.Close()
			return l.Addr().String()
		}, scheduler.OutcomeConnectFailed, 0, false, 0},
		{"takes the call and never greets", func(t *testing.T) string {
			return serve(t, func(c net.Conn) { c.Read(make([]byte, 1000)); c.Read(make([]byte, 1000)) })
		}, scheduler.OutcomeConnectFailed, 0, false, 0},
		{"another machine answers", func(t *testing.T) string { return machineThat(t, "b", &protocol.Inventory{}, quiet) },
			scheduler.OutcomeConnectFailed, 0, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := start(t, terms(t), bidTo(1500*scheduler.Millisecond), map[string]string{"a": tc.machine(t)})
			r.door.submit("x", 2)
			e := await[scheduler.AttemptEnded](r, nil)
			if e.Outcome != tc.want || e.Reason != tc.reason || e.Final != tc.over || e.Machine != "a" || e.ID != "x" {
				t.Errorf("got %+v", e)
			}
			a := r.door.answer()
			if !tc.over {
				if a.Verdict != protocol.VerdictFailed {
					t.Errorf("answered %v", a)
				}
				return
			}
			if fate, ok := r.door.next().(*protocol.Termination); a.Verdict != protocol.VerdictPlaced || !ok || fate.Outcome != tc.fate {
				t.Errorf("answered %v, then %v", a, fate)
			}
		})
	}
}

// A machine that takes TCP and never reads fills its own output; further bids are not sent, and the others are
// served all the while.
func TestNeverReads(t *testing.T) {
	done := make(chan struct{})
	deaf := serve(t, func(c net.Conn) {
		protocol.ReadFrame(c, protocol.MaxFrame)
		put(c, protocol.NewHello(protocol.RoleMachine, "a", 1), &protocol.Inventory{})
		<-done
	})
	defer close(done)
	s := terms(t)
	s.Bounds.OpenRequests, s.Bounds.OpenRequestsPerClient = 1_000_000, 1_000_000
	r := start(t, s, bidTo(0), map[string]string{"a": deaf})
	sent := 0
	for {
		put(r.door, &protocol.Submit{TimeToDeadline: 600000, Spec: protocol.ContainerSpec{ContainerID: fmt.Sprint("x", sent), IdempotencyKey: fmt.Sprint(sent),
			Service: strings.Repeat("s", 150), WorkloadClass: 2}})
		if sent++; sent%1000 == 0 {
			put(r.door, &protocol.StatusRequest{})
			if _, ok := r.door.next().(*protocol.PlacementReply); ok {
				break // one that was not sent
			}
		}
	}
	e := await[scheduler.AttemptEnded](r, nil)
	if most := on1(r.h, func() int { return r.h.machines["a"].conn.PendingOutput() }); e.Outcome != scheduler.OutcomeNotSent || most > 128<<10 { // a turn's
		t.Errorf("after %d bids %+v, %d bytes wait", sent, e, most)
	}
}

// A yes that comes after its bid was withdrawn or timed out changes no answer: reissuable work is called off,
// work that must not run twice is taken over.
func TestLateYes(t *testing.T) {
	for _, tc := range []struct {
		name     string
		workload int
		withdraw bool
		wait     scheduler.Time // 0: to the hard stop
		want     string
	}{{"timed out, reissuable", 0, false, 200 * scheduler.Millisecond, "called off"},
		{"timed out, at-most-once", 2, false, 200 * scheduler.Millisecond, "taken over"},
		{"after the hard stop, reissuable", 0, false, 0, "called off"},
		{"after the hard stop, at-most-once", 2, false, 0, "taken over"},
		{"withdrawn, at-most-once", 2, true, 0, "taken over"}} {
		t.Run(tc.name, func(t *testing.T) {
			called := make(chan string, 10)
			late := make(chan uint64, 1)
			addr := machineThat(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
				switch f := f.(type) {
				case *protocol.Offer:
					late <- f.AttemptID
				case *protocol.Probe: // the test's sign that the outcome is in
					put(c, &protocol.Accept{AttemptID: <-late, Running: true})
				case *protocol.CancelAttempt:
					called <- "called off"
				}
				return true
			})
			on := bidTo(tc.wait)
			r := start(t, terms(t), func(e scheduler.Event) []scheduler.Action {
				if _, ok := e.(scheduler.AttemptEnded); ok {
					return append(on(e), scheduler.Probe{Machine: "a"})
				}
				if a, ok := e.(scheduler.RequestReceived); ok && tc.withdraw {
					return append(on(e), scheduler.CancelAttempt{ID: a.ID, Attempt: 0})
				}
				if _, ok := e.(scheduler.ContainerAdopted); ok {
					called <- "taken over"
				}
				return on(e)
			}, map[string]string{"a": addr})
			if tc.withdraw { // the link must stand, or the bid is never sent
				r.h.loop.Post(func() { r.h.connect(r.h.machines["a"]) })
				until(t, func() bool { return on1(r.h, func() bool { return r.h.machines["a"].ready }) })
			}
			put(r.door, &protocol.Submit{TimeToDeadline: 3000, Spec: protocol.ContainerSpec{ContainerID: "x", IdempotencyKey: "k-x", Service: "s", WorkloadClass: tc.workload}})
			if a := r.door.answer(); a.Verdict != protocol.VerdictFailed {
				t.Errorf("answered %v", a)
			}
			got := <-called
			if got == "called off" && tc.withdraw {
				got = <-called
			}
			if got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
			if tc.want == "taken over" { // and an owner that asks again is told so
				put(r.door, &protocol.Submit{TimeToDeadline: 60000, Spec: protocol.ContainerSpec{ContainerID: "y", IdempotencyKey: "k-x", Service: "s", WorkloadClass: tc.workload}})
				if a := r.door.answer(); a.Verdict != protocol.VerdictPlaced || a.Machine != "a" {
					t.Errorf("answered %v", a)
				}
			}
		})
	}
}

// until waits for what another goroutine brings about.
func until(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come about in 20 s")
		}
	}
}

func on1[T any](h *Server, f func() T) T {
	got := make(chan T, 1)
	h.loop.Post(func() { got <- f() })
	return <-got
}

// A broken link alone loses nothing: the machine says what it holds when the link stands again. What it no
// longer names is lost, and what it holds of an earlier life is taken over.
func TestLinkBreaks(t *testing.T) {
	for _, tc := range []struct {
		name string
		held bool
	}{{"still held", true}, {"no longer held", false}} {
		t.Run(tc.name, func(t *testing.T) {
			calls, bid := 0, uint64(0)
			work := protocol.ContainerSpec{ContainerID: "x", IdempotencyKey: "k-x", Service: "s", WorkloadClass: 2}
			again := make(chan net.Conn, 10)
			addr := serve(t, func(c net.Conn) {
				hello, err := protocol.ReadFrame(c, protocol.MaxFrame)
				if err != nil {
					return
				}
				holds := &protocol.Inventory{Containers: []protocol.InventoryItem{{SchedulerIncarnation: 1, AttemptID: 7, Running: true, Spec: protocol.ContainerSpec{ContainerID: "old",
					IdempotencyKey: "k-old", Service: "s"}}}}
				if calls++; calls == 2 && tc.held {
					holds.Containers = append(holds.Containers, protocol.InventoryItem{SchedulerIncarnation: hello.(*protocol.Hello).Incarnation, AttemptID: bid, Running: true, Spec: work})
				}
				put(c, protocol.NewHello(protocol.RoleMachine, "a", 1), holds)
				if calls == 2 {
					again <- c
				}
				for {
					f, err := protocol.ReadFrame(c, protocol.MaxFrame)
					if err != nil {
						return
					}
					if o, ok := f.(*protocol.Offer); ok {
						bid = o.AttemptID
						put(c, &protocol.Accept{AttemptID: bid, Running: true})
						return
					}
				}
			})
			r := start(t, terms(t), bidTo(0), map[string]string{"a": addr})
			if took := await[scheduler.ContainerAdopted](r, nil); took.ID != "old" || took.Machine != "a" {
				t.Errorf("took over %+v", took)
			}
			r.door.submit("x", 2)
			if a := r.door.answer(); a.Verdict != protocol.VerdictPlaced {
				t.Fatalf("answered %v", a)
			}
			c := <-again
			want := protocol.OutcomeLost
			if tc.held {
				want = protocol.OutcomeFinished
				put(c, &protocol.Result{AttemptID: bid})
			}
			if fate, ok := r.door.next().(*protocol.Termination); !ok || fate.Outcome != want {
				t.Errorf("its fate is %v, want %v", fate, want)
			}
		})
	}
}

// What exceeds the bounds, what is garbage and who never finishes a frame is refused at the door with a word
// why; the others are served.
func TestDoor(t *testing.T) {
	s := terms(t)
	s.Bounds.OpenRequests, s.Bounds.Clients, s.Silent = 2, 2, 5000
	r := start(t, s, nil, nil)
	for _, id := range []string{"x", "y", "z"} {
		r.door.submit(id, 0)
	}
	if a := r.door.answer(); a.ContainerID != "z" || a.Verdict != protocol.VerdictNotAdmitted || !strings.Contains(a.Message, "2 containers are open") || a.RetryAfter == 0 {
		t.Errorf("answered %+v", a)
	}
	raw := func(p []byte, pause time.Duration) string {
		c, err := net.Dial("tcp", r.h.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		protocol.ReadFrame(c, protocol.MaxFrame)
		go func() {
			for i := range p {
				if _, err := c.Write(p[i : i+1]); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}()
		f, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if bye, ok := f.(*protocol.Goodbye); ok {
			return bye.Message
		}
		return fmt.Sprint(f, err)
	}
	greeting := func(role protocol.Role) []byte {
		p, _ := protocol.Append(nil, protocol.NewHello(role, "o", 1))
		return p
	}
	for _, tc := range []struct {
		name  string
		bytes []byte
		pause time.Duration
		want  string
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n"), 0, "over the limit"},
		{"a machine at the wrong door", greeting(protocol.RoleMachine), 0, "no business at this door"},
		{"oversize", append(greeting(protocol.RoleScheduler), 0, 0xff, 0, 0), 0, "over the limit of 65536"},
		{"a frame for machines", append(greeting(protocol.RoleScheduler), 0, 0, 0, 3, 7, 0x81, 1), 0, "not for the door"},
		{"one byte at a time, without end", append(greeting(protocol.RoleScheduler), bytes.Repeat([]byte{0, 0, 0xf0, 0}, 100)...),
			50 * time.Millisecond, "half a frame"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := raw(tc.bytes, tc.pause); !strings.Contains(got, tc.want) {
				t.Errorf("told %q, want %q", got, tc.want)
			}
		})
	}
	callDoor(t, r.h.Addr()) // the second
	if got := raw(greeting(protocol.RoleClient), 0); !strings.Contains(got, "2 owners are connected") {
		t.Errorf("a third owner is told %q", got)
	}
	put(r.door, &protocol.CancelContainer{ContainerID: "x"})
	if a := r.door.answer(); a.ContainerID != "x" || a.Verdict != protocol.VerdictFailed {
		t.Errorf("cancelled: %+v", a)
	}
	put(r.door, &protocol.StatusRequest{})
	if f, ok := r.door.next().(*protocol.StatusReply); !ok || len(f.Stats) < 20 {
		t.Errorf("status %v", f)
	}
}

// With no descriptor left a bid is known never to have run, and goes out once there is one.
func TestNoDescriptorLeft(t *testing.T) {
	var old syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old)
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old)
	closed := make(chan struct{}, 10) // a descriptor of the machine's that is freed late would be one to use
	addr := serve(t, func(c net.Conn) {
		protocol.ReadFrame(c, protocol.MaxFrame)
		put(c, protocol.NewHello(protocol.RoleMachine, "a", 1), &protocol.Inventory{})
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil {
				c.Close()
				closed <- struct{}{}
				return
			}
			if o, ok := f.(*protocol.Offer); ok {
				put(c, &protocol.Accept{AttemptID: o.AttemptID, Running: true})
			}
		}
	})
	s := terms(t)
	r := start(t, s, bidTo(0), map[string]string{"a": addr})
	until(t, func() bool { return on1(r.h, func() bool { return r.h.machines["a"].ready }) }) // asked what it holds
	r.h.loop.Post(func() { r.h.machines["a"].conn.Reset() })
	until(t, func() bool { return on1(r.h, func() bool { return r.h.machines["a"].conn == nil }) })
	<-closed
	lowest, _ := syscall.Dup(0)
	syscall.Close(lowest)
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(lowest), Max: old.Max})
	r.door.submit("x", 2)
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeNotSent { // it tells nothing of the machine
		t.Errorf("outcome %+v", e)
	}
	if a := r.door.answer(); a.Verdict != protocol.VerdictFailed {
		t.Errorf("answered %v", a)
	}
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old)
	r.door.submit("y", 2)
	if a := r.door.answer(); a.Verdict != protocol.VerdictPlaced {
		t.Errorf("answered %v", a)
	}
}

// The list that names a machine again at the same address with a new start is one start, told once; the same
// start by another way is none.
func TestMachineBackWithNewStart(t *testing.T) {
	r := start(t, terms(t), nil, map[string]string{"a": "127.0.0.1:1"})
	starts := func(incarnation uint64, age protocol.Duration) scheduler.Time {
		return on1(r.h, func() scheduler.Time {
			r.h.applyList(scheduler.DeltaUpdate, 2, []protocol.MachineEntry{{Machine: "a", Address: "127.0.0.1:1", Incarnation: incarnation, Age: age}})
			return r.h.machines["a"].startedAt
		})
	}
	first, same, second := starts(2, 100), starts(2, 90), starts(3, 0)
	if first == 0 || same != first || second <= first {
		t.Errorf("started %d, then %d, then %d", first, same, second)
	}
}
