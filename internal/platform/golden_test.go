package platform

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

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
		snapshotJSON(1, machineJSON("a", a.addr, "ready", 0), machineJSON("b", b.addr, "ready", 0))))

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

// places plays a request that the machine accepts, and returns the connection that carried its offer.
func (s *transcript) places(c *goldenClient, a *goldenServer, call string) *peer {
	s.Helper()
	c.send(offer(call))
	on := a.reads(2000)
	on.accepts(call)
	c.reads()
	return on
}

// outcomesBeforeAccept plays the answers of a machine to an offer other than an accept.
func (s *transcript) outcomesBeforeAccept(c *goldenClient, a *goldenServer) {
	s.begin("rejected, no room")
	c.send(strings.NewReplacer(
		`"report-run"`, `"matcher"`,
		`,"idem":"i1"`, "",
		`"k`+hasNoRoom+`"`, `"<k> & \"q\" \u00e9 \u2028"`,
		`"v=0\r\n"`, `"\u0076=0\r\n<&>\/"`,
	).Replace(offer(hasNoRoom)))
	a.reads(2000).ends(hasNoRoom, 34, `"note":"cpu_full","load":"x0:1.5"`)
	c.reads()

	for _, rejected := range []struct {
		step, call string
		cause      int
		fields     string
	}{
		{"rejected, no room for a while", hasNoRoomForAWhile, 47, ""},
		{"failed, never sent", neverSent, 102, ""},
		{"evicted before its accept", evictedBeforeAccept, 41, `"note":"oom"`},
	} {
		s.begin(rejected.step)
		c.send(offer(rejected.call))
		a.reads(2000).ends(rejected.call, rejected.cause, rejected.fields)
		c.reads()
	}

	s.begin("invalid request")
	c.send(strings.Replace(offer(isInvalid), "report-run", "unknown", 1))
	c.reads()
}

// containersThatRun plays the ends of containers that a machine has accepted.
func (s *transcript) containersThatRun(c *goldenClient, a *goldenServer) {
	for _, ended := range []struct{ step, call, end string }{
		{"accepted, finished", runsToItsEnd, `"with":{},"why":16`},
		{"accepted, failed", fails, `"with":{"note":"other"},"why":47`},
		{"accepted, ended without a cause", endsNoCause, `"with":{}`},
	} {
		s.begin(ended.step)
		on := s.places(c, a, ended.call)
		on.send(`{"op":"end","call":"` + ended.call + `",` + ended.end + `}`)
		c.reads()
		c.send(endedLine(ended.call))
	}

	for _, ended := range []struct {
		step, call, cause string
		reported          int
	}{
		{"accepted, ended by its client", terminatedWithCause, `,"why":31`, jsonlines.CauseCancelled},
		{"accepted, ended by its client without a cause", terminatedNoCause, "", jsonlines.CauseNormal},
	} {
		s.begin(ended.step)
		s.places(c, a, ended.call)
		c.end(ended.call, ended.cause)
		a.reads(0).ends(ended.call, ended.reported, "")
		c.test()
	}
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
		e := await[scheduler.ProbeCompleted](r, nil)
		testutil.Expect(s, e.Outcome == scheduler.OutcomeFinished && e.Report["x1"] == 2, "probe %d: %+v", i, e)
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
	watch.send(deltaJSON(2, machineJSON("b", b.addr, "gone", 0)))
	c.reads()
	c.send(endedLine(isRetriedElsewhere))

	s.begin("accepted by a machine that is gone")
	c.send(offer(acceptedByGone))
	on := a.reads(2000)
	watch.send(snapshotJSON(3))
	await(r, func(e scheduler.MachineListUpdate) bool { return e.Version == 3 })
	on.accepts(acceptedByGone)
	a.reads(0)
	c.reads()
	a.forgetConns()
	watch.send(deltaJSON(4, machineJSON("a", a.addr, "ready", 0)))
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
	c.send(endedLine(isReclaimed))

	s.begin("end sent again")
	on = s.places(c, a, endIsNotAcknowledged)
	on.ends(endIsNotAcknowledged, jsonlines.CauseTemporaryFailure, `"note":"preempted"`)
	c.reads()
	c.close()
	c = s.client(r, "client 3")
	c.test()
	c.reads()
	c.send(endedLine(endIsNotAcknowledged))
	return c
}

// shutdown plays a shutdown with a request that stays open until shortly before the process would be killed.
func (s *transcript) shutdown(r *testServer, c *goldenClient, a *goldenServer) {
	s.begin("shutdown")
	r.runOnLoop(func() { r.markShuttingDown(0) })
	c.test()
	c.send(offerWithin(openAtShutdown, "60000"))
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
