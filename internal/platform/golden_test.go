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
	finishedID             = "0000000000000a01"
	fullID                 = "0000000000000a02"
	retryAfterID           = "0000000000000a03"
	notSentID              = "0000000000000a04"
	evictedBeforeAcceptID  = "0000000000000a05"
	invalidID              = "0000000000000a06"
	endedByClientID        = "0000000000000a07"
	endedByClientNoCauseID = "0000000000000a08"
	failedID               = "0000000000000a09"
	endedNoCauseID         = "0000000000000a13"
	cancelledID            = "0000000000000a0a"
	timedOutID             = "0000000000000a0b"
	attemptCancelledID     = "0000000000000a0c"
	probingID              = "0000000000000a0d"
	retriedID              = "0000000000000a0e"
	acceptedByGoneID       = "0000000000000a0f"
	reclaimedID            = "0000000000000a10"
	unacknowledgedEndID    = "0000000000000a11"
	openAtShutdownID       = "0000000000000a12"
)

// goldenDecisions replaces the scheduler. It decides by the identifier of the container.
func goldenDecisions(e scheduler.Event) []scheduler.Action {
	attempt := func(id scheduler.ContainerID, m scheduler.MachineID, wait scheduler.Time) []scheduler.Action {
		return []scheduler.Action{scheduler.StartAttempt{ID: id, Machine: m, Timeout: wait}}
	}
	switch e := e.(type) {
	case scheduler.RequestReceived:
		switch e.ID {
		case timedOutID:
			return attempt(e.ID, "a", 50*scheduler.Millisecond)
		case probingID:
			return []scheduler.Action{scheduler.Probe{Machine: "a"}, scheduler.Reject{ID: e.ID}}
		}
		return attempt(e.ID, "a", 0)
	case scheduler.UsageReported:
		if e.ID == attemptCancelledID {
			return []scheduler.Action{scheduler.CancelAttempt{ID: e.ID, Attempt: e.Attempt}}
		}
	case scheduler.AttemptEnded:
		switch {
		case e.Final:
			return nil
		case e.ID == fullID:
			return []scheduler.Action{scheduler.Reject{ID: e.ID}}
		case e.ID == retryAfterID: // whole milliseconds go on the wire
			return []scheduler.Action{scheduler.Reject{ID: e.ID, RetryAfter: 1500*scheduler.Millisecond + 7}}
		case e.ID == retriedID && e.Machine == "a":
			return attempt(e.ID, "b", 0)
		}
		return []scheduler.Action{scheduler.Fail{ID: e.ID}}
	}
	return nil
}

// Every kind of line that the process writes to clients, machines and the discovery service keeps its bytes. The
// conversation is deterministic: each step waits for the effects of the previous one. testdata/conversation.txt
// describes the content of the lines.
func TestLinesWrittenMatchGoldenConversation(t *testing.T) {
	s := &transcript{T: t}
	discovery, moved := s.server("discovery"), s.server("discovery, moved")
	a, b := s.server("machine a"), s.server("machine b")
	r := startServer(t, goldenDecisions, configJSON(discovery.addr, 256,
		snapshotJSON(1, machineJSON("a", a.addr, "ready", 0), machineJSON("b", b.addr, "ready", 0))))

	s.begin("watch")
	watch := discovery.recordLine(0)

	c := s.client(r, "client 1")
	s.begin("liveness")
	c.test()
	s.playRejections(c, a)
	s.playAcceptedContainers(c, a)
	s.playCancelledAttempts(c, a)
	s.playProbes(r, c, a)
	s.playGoneMachines(r, c, a, b, watch)

	s.begin("watch resumed")
	watch.close()
	discovery.recordLine(0)
	s.begin("watch at a new address")
	d := *r.server.env.config
	d.DiscoveryAddr = moved.addr
	r.server.Reload(&d)
	moved.recordLine(0)

	c = s.playDisconnectedClients(r, c, a)
	s.playShutdown(r, c, a)
	for _, g := range []*goldenServer{discovery, moved, a, b} {
		g.expectNoMore()
	}
	s.compare()
}

func offer(call string) string { return offerLine(call, "") }

// place plays a request that the machine accepts, and returns the connection on which it was offered.
func (s *transcript) place(c *goldenClient, a *goldenServer, call string) *peer {
	s.Helper()
	c.send(offer(call))
	on := a.recordLine(2000)
	on.sendAccept(call)
	c.recordLine()
	return on
}

// playRejections plays the answers of a machine to an offer other than an accept, and an invalid request.
func (s *transcript) playRejections(c *goldenClient, a *goldenServer) {
	s.begin("rejected, no room")
	c.send(strings.NewReplacer(
		`"report-run"`, `"matcher"`,
		`,"idem":"i1"`, "",
		`"k`+fullID+`"`, `"<k> & \"q\" \u00e9 \u2028"`,
		`"v=0\r\n"`, `"\u0076=0\r\n<&>\/"`,
	).Replace(offer(fullID)))
	a.recordLine(2000).sendEnd(fullID, 34, `"note":"cpu_full","load":"x0:1.5"`)
	c.recordLine()

	for _, rejected := range []struct {
		step, call string
		cause      int
		fields     string
	}{
		{"rejected, no room for a while", retryAfterID, 47, ""},
		{"failed, never sent", notSentID, 102, ""},
		{"evicted before its accept", evictedBeforeAcceptID, 41, `"note":"oom"`},
	} {
		s.begin(rejected.step)
		c.send(offer(rejected.call))
		a.recordLine(2000).sendEnd(rejected.call, rejected.cause, rejected.fields)
		c.recordLine()
	}

	s.begin("invalid request")
	c.send(strings.Replace(offer(invalidID), "report-run", "unknown", 1))
	c.recordLine()
}

// playAcceptedContainers plays the ends of containers that a machine has accepted.
func (s *transcript) playAcceptedContainers(c *goldenClient, a *goldenServer) {
	for _, ended := range []struct{ step, call, end string }{
		{"accepted, finished", finishedID, `"with":{},"why":16`},
		{"accepted, failed", failedID, `"with":{"note":"other"},"why":47`},
		{"accepted, ended without a cause", endedNoCauseID, `"with":{}`},
	} {
		s.begin(ended.step)
		on := s.place(c, a, ended.call)
		on.send(`{"op":"end","call":"` + ended.call + `",` + ended.end + `}`)
		c.recordLine()
		c.send(endedLine(ended.call))
	}

	for _, ended := range []struct {
		step, call, cause string
		reported          int
	}{
		{"accepted, ended by its client", endedByClientID, `,"why":31`, jsonlines.CauseCancelled},
		{"accepted, ended by its client without a cause", endedByClientNoCauseID, "", jsonlines.CauseNormal},
	} {
		s.begin(ended.step)
		s.place(c, a, ended.call)
		c.end(ended.call, ended.cause)
		a.recordLine(0).sendEnd(ended.call, ended.reported, "")
		c.test()
	}
}

// playCancelledAttempts plays attempts that are cancelled at the machine.
func (s *transcript) playCancelledAttempts(c *goldenClient, a *goldenServer) {
	s.begin("cancelled by its client")
	c.send(offer(cancelledID))
	a.recordLine(2000)
	c.end(cancelledID, `,"why":16`)
	a.recordLine(0)
	c.test()

	s.begin("timed out")
	c.send(offer(timedOutID))
	a.recordLine(50)
	a.recordLine(0)
	c.recordLine()

	s.begin("attempt cancelled by the scheduler")
	c.send(offer(attemptCancelledID))
	on := a.recordLine(2000)
	on.send(`{"op":"info","call":"` + attemptCancelledID + `","with":{"note":"cpu","value":"1.5"}}`)
	a.recordLine(0)
	c.recordLine()
}

// playProbes plays ten probes, so that the identifiers show that they are hexadecimal.
func (s *transcript) playProbes(r *testServer, c *goldenClient, a *goldenServer) {
	s.begin("probe")
	for i := range 10 {
		c.send(offer(probingID))
		on := a.recordLine(0)
		c.recordLine()
		on.send(fmt.Sprintf(`{"op":"tested","call":"%016x","with":{"load":"x0:1;x1:2"},"why":1}`, i+1))
		e := await[scheduler.ProbeCompleted](r, nil)
		testutil.Expect(s, e.Outcome == scheduler.OutcomeFinished && e.Report["x1"] == 2, "probe %d: %+v", i, e)
	}
}

// playGoneMachines plays a retry, and machines that leave the list while they have work.
func (s *transcript) playGoneMachines(r *testServer, c *goldenClient, a, b *goldenServer, watch *peer) {
	s.begin("retried on another machine")
	c.send(offer(retriedID))
	a.recordLine(2000).sendEnd(retriedID, 34, `"note":"mem_full"`)
	b.recordLine(2000).sendAccept(retriedID)
	c.recordLine()

	s.begin("lost with its machine")
	watch.send(deltaJSON(2, machineJSON("b", b.addr, "gone", 0)))
	c.recordLine()
	c.send(endedLine(retriedID))

	s.begin("accepted by a machine that is gone")
	c.send(offer(acceptedByGoneID))
	on := a.recordLine(2000)
	watch.send(snapshotJSON(3))
	await(r, func(e scheduler.MachineListUpdate) bool { return e.Version == 3 })
	on.sendAccept(acceptedByGoneID)
	a.recordLine(0)
	c.recordLine()
	a.skipConns()
	watch.send(deltaJSON(4, machineJSON("a", a.addr, "ready", 0)))
	await(r, func(e scheduler.MachineListUpdate) bool { return e.Version == 4 })
}

// playDisconnectedClients plays ends that are delivered to another client than the one that requested or reclaimed the
// container, and returns the last client.
func (s *transcript) playDisconnectedClients(r *testServer, c *goldenClient, a *goldenServer) *goldenClient {
	s.begin("reclaimed by a client that goes")
	c.send(strings.Replace(offerLine(reclaimedID, ";at:a"), `"2000"`, `"4294967"`, 1))
	await[scheduler.ContainerAdopted](r, nil)
	on := a.connected()
	c.close()
	c = s.client(r, "client 2")
	c.test()
	on.sendEnd(reclaimedID, jsonlines.CauseNormal, "")
	c.recordLine()
	c.send(endedLine(reclaimedID))

	s.begin("end sent again")
	on = s.place(c, a, unacknowledgedEndID)
	on.sendEnd(unacknowledgedEndID, jsonlines.CauseTemporaryFailure, `"note":"preempted"`)
	c.recordLine()
	c.close()
	c = s.client(r, "client 3")
	c.test()
	c.recordLine()
	c.send(endedLine(unacknowledgedEndID))
	return c
}

// playShutdown plays a shutdown with a request that stays open until shortly before the process would be killed.
func (s *transcript) playShutdown(r *testServer, c *goldenClient, a *goldenServer) {
	s.begin("shutdown")
	r.runOnLoop(func() { r.markShuttingDown(0) })
	c.test()
	c.send(offerLineWithin(openAtShutdownID, "60000"))
	a.recordLine(60000)
	other := s.client(r, "client 4")
	s.begin("shutdown, call in use")
	other.send(offer(openAtShutdownID))
	other.recordLine()
	s.begin("shutdown, last answers")
	r.runOnLoop(func() { r.markShuttingDown(3*eventloop.Second + eventloop.Second/4) })
	a.recordLine(0)
	c.recordLine()
	c.expectEOF()
	other.expectEOF()
}
