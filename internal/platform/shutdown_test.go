package platform

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// During a shutdown open requests are answered, and then Run returns.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	hold := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		msg := m.receive()
		if msg == nil {
			return // a connection that only shows that the machine is alive
		}
		<-hold
		m.send(acceptLine(msg.RequestID))
		m.receive()
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.request(requestID)
	await[scheduler.RequestReceived](r, nil)
	r.server.Shutdown()
	client.send(testLine(1))
	client.expectCause(jsonlines.OpTested, "0000000000000001", jsonlines.CauseTestFailed)
	close(hold)
	client.expect(jsonlines.OpAccept, requestID)
	client.expectClosed()
}

// A request that comes in the iteration in which Run would return is answered first, and pending output is not
// discarded by a reset.
func TestRequestInLastIterationIsAnswered(t *testing.T) {
	addr := fakeMachine(t, `{"op":"end","call":"%s","with":{"note":"cpu_full"},"why":34}`)
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	client.expectLive(1)
	r.runOnLoop(func() { // with nothing unanswered, this iteration is the last
		r.markShuttingDown(4 * eventloop.Second)
		client.send(offerLine(requestID, ""))
	})
	client.expectFailed(requestID)
	client.expectClosed()
}

// A shutdown starts while a request is half read: the other half is read, and the request is answered.
func TestRequestHalfReadAtShutdownIsAnswered(t *testing.T) {
	r := startWithMachineA(t, fakeMachine(t, acceptLine("%s")), attemptOnA(0))
	client := r.dialClient()
	line := offerLine(requestID, "") + "\n"
	client.write(line[:40])
	for half := 0; half == 0; {
		r.runOnLoop(func() {
			for _, cc := range r.server.clients.conns {
				half = cc.lines.Buffered()
			}
		})
	}
	r.server.Shutdown()
	r.runOnLoop(func() {})
	client.write(line[40:])
	client.expect(jsonlines.OpAccept, requestID)
}

// A request that is open shortly before the process is killed is answered, and its attempt cancelled.
func TestOpenRequestIsAnsweredBeforeKill(t *testing.T) {
	addr, received := recordingMachine(t)
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	client.send(offerLineWithin(requestID, "60000"))
	<-received
	r.runOnLoop(func() { r.markShuttingDown(3*eventloop.Second + eventloop.Second/4) })
	client.expectFailed(requestID)
	if msg := <-received; !isMessage(msg, jsonlines.OpEnd, requestID, jsonlines.CauseNormal) {
		t.Errorf("the machine received %+v", msg)
	}
	client.expectClosed()
	r.awaitOutcome(scheduler.AttemptEnded{ID: requestID, Outcome: scheduler.OutcomeFinished})
}

// A configuration that is slow to load does not delay a shutdown. An invalid configuration is not applied, and the next
// one is.
func TestReloadAndShutdownDoNotBlockEachOther(t *testing.T) {
	old, publish := scriptedDiscovery(t)
	later, publishLater := scriptedDiscovery(t)
	r := startWithDiscovery(t, old)
	r.awaitList(1)
	shutdown, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	files := make(chan *Config)
	r.server.HandleSignals(shutdown, reload, func() (*Config, error) {
		if config := <-files; config != nil {
			return config, nil
		}
		return nil, errors.New("broken")
	})
	t.Cleanup(func() { close(shutdown); close(reload); close(files) })
	reload <- syscall.SIGHUP
	files <- nil // half written
	publish(deltaJSON(2))
	r.awaitList(2) // from the old address
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP // received while the first file is being loaded
	shutdown <- syscall.SIGTERM
	shutdown <- syscall.SIGTERM // the second changes nothing
	client := r.dialClient()
	for passed := true; passed; {
		client.send(testLine(1))
		msg := client.receive()
		testutil.Require(t, msg != nil, "the server ended without an answer")
		passed = msg.CauseOrNone() == jsonlines.CauseTestPassed
	}
	config := *r.server.env.config
	config.DiscoveryAddr = later
	files <- r.server.env.config
	files <- &config
	publishLater(deltaJSON(3))
	r.awaitList(3) // from the new address
}

// A shutdown is requested in the iteration in which more clients connect than may be open. Open requests, and requests
// on a connection that waits for an answer, are answered before the exit.
func TestShutdownInClientBurstAnswersRequests(t *testing.T) {
	const descriptors = 64
	offered, answer := make(chan bool, 2), make(chan bool)
	addr := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
		offered <- true
		<-answer
		m.send(acceptLine(msg.RequestID))
	})
	a := snapshotJSON(1, machineJSON("a", addr, "ready", 0))
	r := startServer(t, attemptOnA(0), configJSON(silentDiscovery(t), descriptors, a))
	client := r.request(requestID)
	testutil.Receive(t, offered)
	r.runOnLoop(func() {
		r.dialClients(descriptors)
		r.server.shutdown.start()
	})
	r.awaitClientConns((descriptors - 32) / 2)
	client.send(offerLine(otherRequestID, ""))
	testutil.Receive(t, offered)
	r.runOnLoop(func() { r.expectWithinDescriptors(descriptors) })
	close(answer)
	ids := map[string]bool{client.receive().RequestID: true, client.receive().RequestID: true}
	testutil.Expect(t, ids[requestID] && ids[otherRequestID], "answered %v", ids)
	r.runOnLoop(func() { r.markShuttingDown(4 * eventloop.Second) })
	client.expectClosed()
}

// A scheduler is killed as soon as it has placed a container. The next one, started from the same file, learns of the
// container from its client alone, and notifies the client of its end.
func TestContainerOutlivesEarlyKill(t *testing.T) {
	conns := make(chan *peer, 10)
	addr := serveTCP(t, func(m *peer) {
		conns <- m
		for msg := m.receive(); msg != nil; msg = m.receive() {
			m.send(acceptLine(msg.RequestID))
		}
	})
	first := startWithMachineA(t, addr, attemptOnA(0))
	first.place()
	testutil.Receive(t, conns)
	first.server.env.loop.Stop()
	second := startWithMachineA(t, addr, attemptOnA(0))
	client := second.dialClient()
	client.send(offerLine(requestID, ";at:a"))
	await[scheduler.ContainerAdopted](second, nil)
	testutil.Receive(t, conns).send(endLine(requestID, jsonlines.CauseNormal))
	client.expectEnd(requestID, jsonlines.CauseNormal)
}

// A scheduler that shuts down does not exit while an end is unacknowledged. Guards against an end that is lost because
// the process exits once it has written the notification.
func TestUnacknowledgedEndDelaysTheExit(t *testing.T) {
	machines := make(chan *peer, 1)
	addr := serveMessages(t, func(m *peer, msg *jsonlines.Message) {
		m.send(acceptLine(msg.RequestID))
		machines <- m
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	owner := r.place()
	testutil.Receive(t, machines).send(endLine(requestID, jsonlines.CauseNormal))
	owner.expectEnd(requestID, jsonlines.CauseNormal)
	var state shutdownState
	r.runOnLoop(func() {
		r.markShuttingDown(3 * eventloop.Second)
		r.server.shutdown.stopIfDrained()
		state = r.server.shutdown.state
	})
	testutil.Equal(t, state, processDraining)
	owner.send(endedLine(requestID))
	owner.expectClosed()
}
