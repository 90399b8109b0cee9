package platform

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/golden"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

const goldenFile = "testdata/conversation.golden"

// leftField is the only part of a line that the clock decides: the milliseconds until the attempt's deadline.
var leftField = regexp.MustCompile(`"left":"([0-9]+)"`)

// transcript gathers each line that the process under test writes, in the order in which the scripted conversation
// reads them, with the peer that received it in front.
type transcript struct {
	*testing.T
	step  string
	lines []string
}

// begin names the step to which the following lines belong.
func (s *transcript) begin(step string) { s.step = step }

// record takes in one line as it was read, its end included. The remaining time of an offer is checked against the most
// it may be, and then replaced.
func (s *transcript) record(receiver string, line []byte, mostLeft int) {
	s.Helper()
	if !strings.HasSuffix(string(line), "\n") {
		s.Fatalf("%s: %s received %q, which is no whole line", s.step, receiver, line)
	}
	if m := leftField.FindSubmatch(line); m != nil {
		left, err := strconv.Atoi(string(m[1]))
		if err != nil || left > mostLeft || left < mostLeft-int(testTimeout/time.Millisecond) {
			s.Errorf("%s: %q milliseconds are left, at most %d can be", s.step, m[1], mostLeft)
		}
		line = leftField.ReplaceAll(line, []byte(`"left":"LEFT"`))
	}
	s.lines = append(s.lines, fmt.Sprintf("%s | %s | %s", s.step, receiver, line))
}

// compare checks the whole transcript against the golden file.
func (s *transcript) compare() {
	s.Helper()
	golden.CheckText(s, goldenFile, strings.Join(s.lines, ""))
}

// goldenClient is a client's connection whose received lines are recorded.
type goldenClient struct {
	*peer
	name string
	s    *transcript
}

func (s *transcript) client(r *testServer, name string) *goldenClient {
	return &goldenClient{r.dialClient(), name, s}
}

// reads records the next line.
func (c *goldenClient) reads() {
	c.s.Helper()
	line, err := c.r.ReadBytes('\n')
	if err != nil {
		c.s.Fatalf("%s: %s received %q, %v", c.s.step, c.name, line, err)
	}
	c.s.record(c.name, line, 0)
}

// readsEnd checks that the connection is closed and nothing more was written.
func (c *goldenClient) readsEnd() {
	c.s.Helper()
	if line, err := c.r.ReadBytes('\n'); !errors.Is(err, io.EOF) || len(line) > 0 {
		c.s.Errorf("%s: %s received %q, %v, want the end", c.s.step, c.name, line, err)
	}
}

// test sends a liveness test and records its answer: whatever was written before it is recorded in its place.
func (c *goldenClient) test() {
	c.s.Helper()
	c.send(`{"op":"test","call":"00000000000000ff","with":{},"why":1}`)
	c.reads()
}

func (c *goldenClient) end(call string, why string) {
	c.send(`{"op":"end","call":"` + call + `","with":{}` + why + `}`)
}

// acknowledge confirms that the end of a container was received.
func (c *goldenClient) acknowledge(call string) {
	c.send(`{"op":"ended","call":"` + call + `","with":{}}`)
}

// goldenServer is a machine or the discovery service: it records each line it is sent, over all its connections.
type goldenServer struct {
	name, addr string
	s          *transcript
	conns      chan *peer
	received   chan receivedLine
	open       atomic.Int32
}

type receivedLine struct {
	on   *peer
	line []byte
}

func (s *transcript) server(name string) *goldenServer {
	g := &goldenServer{name: name, s: s, conns: make(chan *peer, 100), received: make(chan receivedLine, 100)}
	g.addr = serveTCP(s.T, func(p *peer) {
		g.open.Add(1)
		defer g.open.Add(-1)
		g.conns <- p
		for {
			line, err := p.r.ReadBytes('\n')
			if len(line) > 0 {
				g.received <- receivedLine{p, line}
			}
			if err != nil {
				return
			}
		}
	})
	return g
}

// reads records the next line and returns the connection on which it came. An offer has mostLeft milliseconds at most.
func (g *goldenServer) reads(mostLeft int) *peer {
	g.s.Helper()
	select {
	case r := <-g.received:
		g.s.record(g.name, r.line, mostLeft)
		return r.on
	case <-time.After(testTimeout):
		g.s.Fatalf("%s: %s received nothing", g.s.step, g.name)
		return nil
	}
}

// connected returns the next connection that was not returned yet.
func (g *goldenServer) connected() *peer {
	g.s.Helper()
	select {
	case p := <-g.conns:
		return p
	case <-time.After(testTimeout):
		g.s.Fatalf("%s: nobody connects to %s", g.s.step, g.name)
		return nil
	}
}

// forgetConns makes connected return only connections from now on.
func (g *goldenServer) forgetConns() {
	for len(g.conns) > 0 {
		<-g.conns
	}
}

// readsNoMore checks, once all connections have ended, that nothing was written beyond what was recorded.
func (g *goldenServer) readsNoMore() {
	g.s.Helper()
	for deadline := time.Now().Add(testTimeout); g.open.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			g.s.Fatalf("%s: %d connections to %s are still open", g.s.step, g.open.Load(), g.name)
		}
	}
	for len(g.received) > 0 {
		g.s.Errorf("%s received more: %q", g.name, (<-g.received).line)
	}
}

// answer lines of a machine.
func (p *peer) accepts(call string) {
	p.send(`{"op":"accept","call":"` + call + `","with":{},"desc":"v=0\r\nmade\u0020at <a> \u00e9\/"}`)
}

func (p *peer) ends(call string, why int, with string) {
	p.send(fmt.Sprintf(`{"op":"end","call":"%s","with":{%s},"why":%d}`, call, with, why))
}

// Identifiers of the containers, one for each case.
const (
	runsToItsEnd         = "0000000000000a01"
	hasNoRoom            = "0000000000000a02"
	hasNoRoomForAWhile   = "0000000000000a03"
	neverSent            = "0000000000000a04"
	evictedBeforeAccept  = "0000000000000a05"
	isInvalid            = "0000000000000a06"
	terminatedWithCause  = "0000000000000a07"
	terminatedNoCause    = "0000000000000a08"
	fails                = "0000000000000a09"
	endsNoCause          = "0000000000000a13"
	isCancelled          = "0000000000000a0a"
	timesOut             = "0000000000000a0b"
	attemptIsCancelled   = "0000000000000a0c"
	probesTheMachine     = "0000000000000a0d"
	isRetriedElsewhere   = "0000000000000a0e"
	acceptedByGone       = "0000000000000a0f"
	isReclaimed          = "0000000000000a10"
	endIsNotAcknowledged = "0000000000000a11"
	openAtShutdown       = "0000000000000a12"
)

// goldenDecisions stand in for the scheduler: each is determined by the container's identifier.
func goldenDecisions(e scheduler.Event) []scheduler.Action {
	attempt := func(id scheduler.ContainerID, m scheduler.MachineID, wait scheduler.Time) []scheduler.Action {
		return []scheduler.Action{scheduler.StartAttempt{ID: id, Machine: m, Timeout: wait}}
	}
	switch e := e.(type) {
	case scheduler.RequestReceived:
		switch e.ID {
		case timesOut:
			return attempt(e.ID, "a", 50*scheduler.Millisecond)
		case probesTheMachine:
			return []scheduler.Action{scheduler.Probe{Machine: "a"}, scheduler.Reject{ID: e.ID}}
		}
		return attempt(e.ID, "a", 0)
	case scheduler.UsageReported:
		if e.ID == attemptIsCancelled {
			return []scheduler.Action{scheduler.CancelAttempt{ID: e.ID, Attempt: e.Attempt}}
		}
	case scheduler.AttemptEnded:
		switch {
		case e.Final:
			return nil
		case e.ID == hasNoRoom:
			return []scheduler.Action{scheduler.Reject{ID: e.ID}}
		case e.ID == hasNoRoomForAWhile: // whole milliseconds go on the wire
			return []scheduler.Action{scheduler.Reject{ID: e.ID, RetryAfter: 1500*scheduler.Millisecond + 7}}
		case e.ID == isRetriedElsewhere && e.Machine == "a":
			return attempt(e.ID, "b", 0)
		}
		return []scheduler.Action{scheduler.Fail{ID: e.ID}}
	}
	return nil
}

// Every sort of line that the process writes to clients, machines and the discovery service keeps its bytes. The
// conversation is determined line by line: each step waits for what the one before has caused.
// testdata/conversation.txt says in words what the lines hold.
func TestLinesWrittenMatchGoldenConversation(t *testing.T) {
	s := &transcript{T: t}
	discovery, moved := s.server("discovery"), s.server("discovery, moved")
	a, b := s.server("machine a"), s.server("machine b")
	r := startServer(t, goldenDecisions, configJSON(discovery.addr, 256,
		eventJSON(1, true, machineJSON("a", a.addr, "ready", 0), machineJSON("b", b.addr, "ready", 0))))

	s.begin("watch")
	watch := discovery.reads(0)

	c := s.client(r, "client 1")
	s.begin("liveness")
	c.test()
	s.outcomesBeforeAccept(c, a)
	s.containersThatRun(c, a)
	s.cancelledAttempts(c, a)
	s.probes(r, c, a)
	s.machinesThatGo(r, c, a, b, watch)

	s.begin("watch resumed")
	watch.close()
	discovery.reads(0)
	s.begin("watch at a new address")
	d := *r.server.env.config
	d.DiscoveryAddr = moved.addr
	r.server.Reload(&d)
	moved.reads(0)

	c = s.clientsThatGo(r, c, a)
	s.shutdown(r, c, a)
	for _, g := range []*goldenServer{discovery, moved, a, b} {
		g.readsNoMore()
	}
	s.compare()
}

func offer(call string) string { return offerLine(call, "") }

// outcomesBeforeAccept plays the answers of a machine to an offer other than an accept.
func (s *transcript) outcomesBeforeAccept(c *goldenClient, a *goldenServer) {
	s.begin("rejected, no room")
	c.send(
		strings.NewReplacer(`"report-run"`, `"matcher"`, `,"idem":"i1"`, "", `"k`+hasNoRoom+`"`, `"<k> & \"q\" \u00e9 \u2028"`,
			`"v=0\r\n"`, `"\u0076=0\r\n<&>\/"`).
			Replace(offer(hasNoRoom)),
	)
	a.reads(2000).ends(hasNoRoom, 34, `"note":"cpu_full","load":"x0:1.5"`)
	c.reads()

	s.begin("rejected, no room for a while")
	c.send(offer(hasNoRoomForAWhile))
	a.reads(2000).ends(hasNoRoomForAWhile, 47, "")
	c.reads()

	s.begin("failed, never sent")
	c.send(offer(neverSent))
	a.reads(2000).ends(neverSent, 102, "")
	c.reads()

	s.begin("evicted before its accept")
	c.send(offer(evictedBeforeAccept))
	a.reads(2000).ends(evictedBeforeAccept, 41, `"note":"oom"`)
	c.reads()

	s.begin("invalid request")
	c.send(strings.Replace(offer(isInvalid), "report-run", "unknown", 1))
	c.reads()
}

// containersThatRun plays the ends of containers that a machine has accepted.
func (s *transcript) containersThatRun(c *goldenClient, a *goldenServer) {
	s.begin("accepted, finished")
	c.send(offer(runsToItsEnd))
	on := a.reads(2000)
	on.accepts(runsToItsEnd)
	c.reads()
	on.ends(runsToItsEnd, jsonlines.CauseNormal, "")
	c.reads()
	c.acknowledge(runsToItsEnd)

	s.begin("accepted, failed")
	c.send(offer(fails))
	on = a.reads(2000)
	on.accepts(fails)
	c.reads()
	on.ends(fails, jsonlines.CauseError, `"note":"other"`)
	c.reads()
	c.acknowledge(fails)

	s.begin("accepted, ended without a cause")
	c.send(offer(endsNoCause))
	on = a.reads(2000)
	on.accepts(endsNoCause)
	c.reads()
	on.send(`{"op":"end","call":"` + endsNoCause + `","with":{}}`)
	c.reads()
	c.acknowledge(endsNoCause)

	s.begin("accepted, ended by its client")
	c.send(offer(terminatedWithCause))
	on = a.reads(2000)
	on.accepts(terminatedWithCause)
	c.reads()
	c.end(terminatedWithCause, `,"why":31`)
	a.reads(0).ends(terminatedWithCause, jsonlines.CauseCancelled, "")
	c.test()

	s.begin("accepted, ended by its client without a cause")
	c.send(offer(terminatedNoCause))
	on = a.reads(2000)
	on.accepts(terminatedNoCause)
	c.reads()
	c.end(terminatedNoCause, "")
	a.reads(0).ends(terminatedNoCause, jsonlines.CauseNormal, "")
	c.test()
}

// cancelledAttempts plays attempts that are cancelled at the machine.
func (s *transcript) cancelledAttempts(c *goldenClient, a *goldenServer) {
	s.begin("cancelled by its client")
	c.send(offer(isCancelled))
	a.reads(2000)
	c.end(isCancelled, `,"why":16`)
	a.reads(0)
	c.test()

	s.begin("timed out")
	c.send(offer(timesOut))
	a.reads(50)
	a.reads(0)
	c.reads()

	s.begin("attempt cancelled by the scheduler")
	c.send(offer(attemptIsCancelled))
	on := a.reads(2000)
	on.send(`{"op":"info","call":"` + attemptIsCancelled + `","with":{"note":"cpu","value":"1.5"}}`)
	a.reads(0)
	c.reads()
}

// probes plays so many that their count shows its base.
func (s *transcript) probes(r *testServer, c *goldenClient, a *goldenServer) {
	s.begin("probe")
	for i := range 10 {
		c.send(offer(probesTheMachine))
		on := a.reads(0)
		c.reads()
		on.send(fmt.Sprintf(`{"op":"tested","call":"%016x","with":{"load":"x0:1;x1:2"},"why":1}`, i+1))
		if e := await[scheduler.ProbeCompleted](r, nil); e.Outcome != scheduler.OutcomeFinished || e.Report["x1"] != 2 {
			s.Errorf("probe %d: %+v", i, e)
		}
	}
}

// machinesThatGo plays a retry, and machines that leave the list with work on them.
func (s *transcript) machinesThatGo(r *testServer, c *goldenClient, a, b *goldenServer, watch *peer) {
	s.begin("retried on another machine")
	c.send(offer(isRetriedElsewhere))
	a.reads(2000).ends(isRetriedElsewhere, 34, `"note":"mem_full"`)
	b.reads(2000).accepts(isRetriedElsewhere)
	c.reads()

	s.begin("lost with its machine")
	watch.send(eventJSON(2, false, machineJSON("b", b.addr, "gone", 0)))
	c.reads()
	c.acknowledge(isRetriedElsewhere)

	s.begin("accepted by a machine that is gone")
	c.send(offer(acceptedByGone))
	on := a.reads(2000)
	watch.send(eventJSON(3, true))
	await(r, func(e scheduler.MachineListUpdate) bool { return e.Version == 3 })
	on.accepts(acceptedByGone)
	a.reads(0)
	c.reads()
	a.forgetConns()
	watch.send(eventJSON(4, false, machineJSON("a", a.addr, "ready", 0)))
	await(r, func(e scheduler.MachineListUpdate) bool { return e.Version == 4 })
}

// clientsThatGo plays ends that are delivered to another client than the one that asked, and returns the last client.
func (s *transcript) clientsThatGo(r *testServer, c *goldenClient, a *goldenServer) *goldenClient {
	s.begin("reclaimed by a client that goes")
	c.send(strings.Replace(offerLine(isReclaimed, ";at:a"), `"2000"`, `"4294967"`, 1))
	await[scheduler.ContainerAdopted](r, nil)
	on := a.connected()
	c.close()
	c = s.client(r, "client 2")
	c.test()
	on.ends(isReclaimed, jsonlines.CauseNormal, "")
	c.reads()
	c.acknowledge(isReclaimed)

	s.begin("end sent again")
	c.send(offer(endIsNotAcknowledged))
	on = a.reads(2000)
	on.accepts(endIsNotAcknowledged)
	c.reads()
	on.ends(endIsNotAcknowledged, jsonlines.CauseTemporaryFailure, `"note":"preempted"`)
	c.reads()
	c.close()
	c = s.client(r, "client 3")
	c.test()
	c.reads()
	c.acknowledge(endIsNotAcknowledged)
	return c
}

// shutdown plays a shutdown with a request that stays open until shortly before the process would be killed.
func (s *transcript) shutdown(r *testServer, c *goldenClient, a *goldenServer) {
	s.begin("shutdown")
	r.runOnLoop(func() { r.markShuttingDown(0) })
	c.test()
	c.send(strings.Replace(offer(openAtShutdown), `"2000"`, `"60000"`, 1))
	a.reads(60000)
	other := s.client(r, "client 4")
	s.begin("shutdown, call in use")
	other.send(offer(openAtShutdown))
	other.reads()
	s.begin("shutdown, last answers")
	r.runOnLoop(func() { r.markShuttingDown(3*eventloop.Second + eventloop.Second/4) })
	a.reads(0)
	c.reads()
	c.readsEnd()
	other.readsEnd()
}
