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

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second // a test that waits longer has failed

// Identifiers of requests.
const (
	requestID      = "00000000000000aa"
	otherRequestID = "00000000000000bb"
	thirdRequestID = "00000000000000cc"
)

// settingsJSON has an idempotent workload class and one that is idempotent with a key, two machine types and two
// tenants.
const settingsJSON = `{"me":0,"balancers":1,"az":0,"azs":["hall a","hall-b"],"kinds":["small","large"],"registry_mode":"on_request",
 "classes":[{"name":"matcher","effect":"safe","aim_ms":700.0,"deadline_ms":6000.0,"credit":1.0},
  {"name":"report-run","effect":"keyed","group":"zone","window_ms":8000.0,"aim_ms":700.0,"deadline_ms":6000.0,"credit":2.0}],
 "tenants":[{"name":"schools","share":0.7},{"name":"offices","share":0.3}],
 "permissions":{"probes":true,"max_attempts":4,"connect_timeout_ms":250.0,"conn_idle_ms":30000.0},
 "rules":{"ask_every_ms":10000.0,"cold_ms":17000.0,"grace_to_answer_ms":8.0,"overload_for_ms":3000.0},
 "family_info":{"admit_cores":2.0,"mem_booking":1.5,"unit_cores":1.0,"unit_memory":2.0,"yes_at":"running","use_notes":false,
  "view":true,"fresh_offers":30.0,"cpu_of_kind":[24,48],"kind_memory":[60.0,120.0],"class_kind":[-1,-1],"class_most":[2,2],
  "spread_over":["silent","silent"],"quota_cores":[100.0,50.0]},"note":null}`

func machineJSON(id, addr, state string, startedAtMillis int64) string {
	return fmt.Sprintf(
		`{"host":%q,"dial":%q,"site":"hall-b","class":"large","block":2,"health":%q,"share":1,"born_ms":%d,"free":[40.5,100]}`,
		id,
		addr,
		state,
		startedAtMillis,
	)
}

func eventJSON(offset int, fullSnapshot bool, machines ...string) string {
	return fmt.Sprintf(
		`{"offset":%d,"topology":{"seq":%d,"whole":%t,"hosts":[%s]}}`,
		offset,
		offset,
		fullSnapshot,
		strings.Join(machines, ","),
	)
}

// configJSON is a platform's file that knows some events.
func configJSON(discovery string, descriptors int, known ...string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":%d},"bus":%q,
 "known":{"offset":%d,"batch":[%s]},"settings":%s}`, descriptors, discovery, len(known), strings.Join(known, ","), settingsJSON)
}

// offerLine is a request; more is added to its extras.
func offerLine(id, more string) string {
	return `{"op":"offer","call":"` + id + `","with":{"class":"report-run","left":"2000","tenant":"offices","key":"k` + id +
		`","idem":"i1","extras":"cores:1;memory:2;service:s1` + more + `"},"desc":"v=0\r\n"}`
}

func acceptLine(id string) string { return `{"op":"accept","call":"` + id + `","with":{},"desc":"d"}` }

func endLine(id string, cause int) string {
	return fmt.Sprintf(`{"op":"end","call":"%s","with":{},"why":%d}`, id, cause)
}

func endedLine(id string) string { return `{"op":"ended","call":"` + id + `","with":{}}` }

func testLine(number int) string {
	return fmt.Sprintf(`{"op":"test","call":"%016x","with":{},"why":0}`, number)
}

// scriptedScheduler decides by a script, or records the events of the scheduler that it wraps.
type scriptedScheduler struct {
	mu      sync.Mutex
	on      func(e scheduler.Event) []scheduler.Action
	wrapped Scheduler // decides where there is no script
	events  chan scheduler.Event
}

func (s *scriptedScheduler) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	var actions []scheduler.Action
	if s.on == nil {
		actions = s.wrapped.Handle(now, events)
	}
	for _, e := range events {
		if s.on != nil {
			actions = append(actions, s.on(e)...)
		}
		s.events <- e
	}
	return actions
}

// attemptOnA attempts each container on machine a, and fails its request after the first outcome.
func attemptOnA(timeout scheduler.Time) func(scheduler.Event) []scheduler.Action {
	return func(e scheduler.Event) []scheduler.Action {
		switch e := e.(type) {
		case scheduler.RequestReceived:
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: "a", Timeout: timeout}}
		case scheduler.AttemptEnded:
			if !e.Final {
				return []scheduler.Action{scheduler.Fail{ID: e.ID}}
			}
		}
		return nil
	}
}

// testServer is a running server with its scheduler.
type testServer struct {
	*testing.T
	server    *Server
	scheduler *scriptedScheduler
}

func startServer(t *testing.T, on func(scheduler.Event) []scheduler.Action, configText string) *testServer {
	t.Helper()
	config, err := parseConfig([]byte(configText))
	if err != nil {
		t.Fatal(err)
	}
	r := &testServer{T: t, scheduler: &scriptedScheduler{
		on:      on,
		wrapped: scheduler.New(config.Scheduler),
		events:  make(chan scheduler.Event, 100_000),
	}}
	if r.server, err = New(config, r.scheduler, slog.New(slog.NewTextHandler(io.Discard, nil)), false); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.server.Run() }()
	t.Cleanup(func() {
		r.server.env.loop.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return r
}

// loggingEnvironment is an environment without an event loop.
func loggingEnvironment(log io.Writer) *environment {
	return &environment{config: &Config{}, log: slog.New(slog.NewTextHandler(log, nil))}
}

// startWithMachineA starts a server that knows machine a, with a discovery service that has no further events.
func startWithMachineA(t *testing.T, addr string, on func(scheduler.Event) []scheduler.Action) *testServer {
	t.Helper()
	return startServer(
		t,
		on,
		configJSON(silentDiscovery(t), 256, eventJSON(1, true, machineJSON("a", addr, "ready", 0))),
	)
}

// await waits for an event of a type for which holds is true; nil takes any.
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

// runOnLoop runs f on the goroutine of the server's loop and waits for it.
func (r *testServer) runOnLoop(f func()) {
	done := make(chan bool)
	r.server.env.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(testTimeout):
		r.Fatal("the loop is stuck")
	}
}

// markShuttingDown makes it appear on the loop that the shutdown started some time ago.
func (r *testServer) markShuttingDown(ago eventloop.Tick) {
	shutdown := r.server.shutdown
	shutdown.state, shutdown.startedAt = draining, r.server.env.loop.Now()-ago
}

// peer is the other end of a connection of the server: a client, a machine or the discovery service.
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
	p := newPeer(r.T, c)
	r.Cleanup(p.close)
	return p
}

func newPeer(t *testing.T, c net.Conn) *peer {
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
	return &peer{t, c, bufio.NewReader(c)}
}

func (p *peer) send(lines ...string) {
	for _, line := range lines {
		p.write(line + "\n")
	}
}

// write does not fail where the server has closed the connection: what the peer reads then shows it.
func (p *peer) write(text string) { _, _ = io.WriteString(p.c, text) }

// close may come after the connection's end.
func (p *peer) close() { _ = p.c.Close() }

func (p *peer) readLine() (string, error) { return p.r.ReadString('\n') }

// readToEnd drops what comes until the connection's end.
func (p *peer) readToEnd() {
	for {
		if _, err := p.readLine(); err != nil {
			return
		}
	}
}

// receive reads the next message; nil at the connection's end.
func (p *peer) receive() *jsonlines.Message {
	line, err := p.r.ReadBytes('\n')
	if err != nil {
		return nil
	}
	msg, err := jsonlines.Decode(line)
	if err != nil {
		p.t.Errorf("%v: %s", err, line)
	}
	return msg
}

// isEnd reports whether a message ends a request or its container.
func isEnd(msg *jsonlines.Message, id string) bool {
	return msg != nil && msg.Op == jsonlines.OpEnd && msg.RequestID == id
}

func isEndWithCause(msg *jsonlines.Message, id string, cause int) bool {
	return isEnd(msg, id) && msg.CauseOrNone() == cause
}

// listenTCP opens a listener on a port of its own.
func listenTCP(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// serveTCP calls serve for each connection, in a goroutine of its own, until the test ends.
func serveTCP(t *testing.T, serve func(*peer)) string {
	l := listenTCP(t)
	t.Cleanup(serveListener(t, l, serve))
	return l.Addr().String()
}

// serveListener calls serve for each connection of a listener until what it returns is called.
func serveListener(t *testing.T, l net.Listener, serve func(*peer)) (stop func()) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []*peer
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := newPeer(t, c)
			mu.Lock()
			open = append(open, p)
			mu.Unlock()
			wg.Go(func() {
				defer p.close()
				serve(p)
			})
		}
	})
	return func() {
		_ = l.Close() // a test may have closed it
		mu.Lock()
		for _, p := range open {
			p.close()
		}
		mu.Unlock()
		wg.Wait()
	}
}

// fakeMachine answers each offer with lines, in which %s is the request's identifier; "close" closes the connection.
func fakeMachine(t *testing.T, lines ...string) string {
	return serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			if msg.Op != jsonlines.OpOffer {
				continue
			}
			for _, line := range lines {
				if line == "close" {
					return
				}
				m.send(strings.ReplaceAll(line, "%s", msg.RequestID))
			}
		}
	})
}

// silentDiscovery answers each watch with the offset of the last event, and has no further ones.
func silentDiscovery(t *testing.T) string {
	return serveTCP(t, func(p *peer) {
		for {
			if _, err := p.readLine(); err != nil {
				return
			}
			p.send(`{"offset":1}`)
		}
	})
}

// scriptedDiscovery sends each watch all events that were published so far and are published later.
func scriptedDiscovery(t *testing.T) (addr string, publish func(events ...string)) {
	var mu sync.Mutex
	var published []string
	var watches []*peer
	addr = serveTCP(t, func(p *peer) {
		mu.Lock()
		p.send(published...)
		watches = append(watches, p)
		mu.Unlock()
		p.readToEnd()
	})
	return addr, func(events ...string) {
		mu.Lock()
		defer mu.Unlock()
		published = append(published, events...)
		for _, p := range watches {
			p.send(events...)
		}
	}
}
