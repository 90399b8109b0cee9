package platform

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second // a test that waits longer has failed

// settingsJSON are a deployment's settings: a reissuable workload and a numbered one, two kinds, two customers.
const settingsJSON = `{"me":0,"balancers":1,"az":0,"azs":["hall a","hall-b"],"kinds":["small","large"],"registry_mode":"on_request",
 "classes":[{"name":"matcher","effect":"safe","aim_ms":700.0,"deadline_ms":6000.0,"credit":1.0},
  {"name":"report-run","effect":"keyed","group":"zone","window_ms":8000.0,"aim_ms":700.0,"deadline_ms":6000.0,"credit":2.0}],
 "tenants":[{"name":"schools","share":0.7},{"name":"offices","share":0.3}],
 "permissions":{"probes":true,"max_attempts":4,"connect_timeout_ms":250.0,"conn_idle_ms":30000.0},
 "rules":{"ask_every_ms":10000.0,"cold_ms":17000.0,"grace_to_answer_ms":8.0,"overload_for_ms":3000.0},
 "family_info":{"admit_cores":2.0,"mem_booking":1.5,"unit_cores":1.0,"unit_memory":2.0,"yes_at":"running","use_notes":false,
  "view":true,"fresh_offers":30.0,"cpu_of_kind":[24,48],"kind_memory":[60.0,120.0],"class_kind":[-1,-1],"class_most":[2,2],
  "spread_over":["silent","silent"],"quota_cores":[100.0,50.0]},"note":null}`

func machineJSON(id, addr, state string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"hall-b","class":"large","block":2,"health":%q,"share":1,"born_ms":%d,"free":[40.5,100]}`,
		id, addr, state, born)
}

func eventJSON(n int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"offset":%d,"topology":{"seq":%d,"whole":%t,"hosts":[%s]}}`, n, n, whole, strings.Join(hosts, ","))
}

// configJSON is a deployment's file with one event known.
func configJSON(bus string, sockets int, known ...string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":%d},"bus":%q,
 "known":{"offset":%d,"batch":[%s]},"settings":%s}`, sockets, bus, len(known), strings.Join(known, ","), settingsJSON)
}

// scriptedScheduler stands in place of the module, or in front of it.
type scriptedScheduler struct {
	mu     sync.Mutex
	on     func(e scheduler.Event) []scheduler.Action
	module Scheduler // decides where there is no on
	events chan scheduler.Event
}

func (s *scriptedScheduler) Handle(now scheduler.Time, events []scheduler.Event) (out []scheduler.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.on == nil {
		out = s.module.Handle(now, events)
	}
	for _, e := range events {
		if s.on != nil {
			out = append(out, s.on(e)...)
		}
		s.events <- e
	}
	return out
}

// attemptOnA bids each container to machine a, and gives it up after its first outcome.
func attemptOnA(wait scheduler.Time) func(scheduler.Event) []scheduler.Action {
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

type testServer struct {
	*testing.T
	server    *Server
	scheduler *scriptedScheduler
}

func startServer(t *testing.T, on func(scheduler.Event) []scheduler.Action, config string) *testServer {
	t.Helper()
	d, err := parseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	r := &testServer{T: t, scheduler: &scriptedScheduler{on: on, module: scheduler.New(d.Scheduler), events: make(chan scheduler.Event, 100_000)}}
	if r.server, err = New(d, r.scheduler, slog.New(slog.NewTextHandler(io.Discard, nil)), false); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.server.Run() }()
	t.Cleanup(func() {
		r.server.loop.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return r
}

// await waits for an event of a sort.
func await[E scheduler.Event](r *testServer, holds func(E) bool) E {
	r.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case e := <-r.scheduler.events:
			if e, ok := e.(E); ok && (holds == nil || holds(e)) {
				return e
			}
		case <-timeout:
			var none E
			r.Fatalf("no %T came", none)
		}
	}
}

// peer is the other end of a connection, an owner or a machine.
type peer struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func (r *testServer) dialClient() *peer {
	c, err := net.Dial("tcp", r.server.Addr())
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	return newPeer(r.T, c)
}

func newPeer(t *testing.T, c net.Conn) *peer {
	c.SetDeadline(time.Now().Add(testTimeout))
	return &peer{t, c, bufio.NewReader(c)}
}

func (o *peer) send(lines ...string) {
	for _, l := range lines {
		io.WriteString(o.c, l+"\n")
	}
}

// receive reads the next message; nil at the connection's end.
func (o *peer) receive() *jsonlines.Message {
	line, err := o.r.ReadBytes('\n')
	if err != nil {
		return nil
	}
	msg, err := jsonlines.Decode(line)
	if err != nil {
		o.t.Errorf("%v: %s", err, line)
	}
	return msg
}

// serveTCP gives each caller to serve, in a goroutine of its own, until the test ends.
func serveTCP(t *testing.T, serve func(*peer)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(serveListener(t, l, serve))
	return l.Addr().String()
}

// serveListener serves callers of a listener until what it returns is called.
func serveListener(t *testing.T, l net.Listener, serve func(*peer)) (stop func()) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			wg.Go(func() {
				defer c.Close()
				serve(newPeer(t, c))
			})
		}
	})
	return func() {
		l.Close()
		mu.Lock()
		for _, c := range open {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	}
}

// fakeMachine answers each set-up with lines; %s is its call.
func fakeMachine(t *testing.T, lines ...string) string {
	return serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			if msg.Op != jsonlines.OpOffer {
				continue
			}
			for _, l := range lines {
				if l == "close" {
					return
				}
				m.send(strings.ReplaceAll(l, "%s", msg.RequestID))
			}
		}
	})
}

// silentDiscovery takes callers and tells them nothing but the last number.
func silentDiscovery(t *testing.T) string {
	return serveTCP(t, func(b *peer) {
		for {
			if _, err := b.r.ReadString('\n'); err != nil {
				return
			}
			b.send(`{"offset":1}`)
		}
	})
}

func offerLine(call, more string) string {
	return `{"op":"offer","call":"` + call + `","with":{"class":"report-run","left":"2000","tenant":"offices","key":"k` + call +
		`","idem":"i1","extras":"cores:1;memory:2;service:s1` + more + `"},"desc":"v=0\r\n"}`
}
