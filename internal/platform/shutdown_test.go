package platform

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

// During a shutdown open requests are answered; then Run ends.
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
	client := r.dialClient()
	client.send(offerLine(requestID, ""))
	await[scheduler.RequestReceived](r, nil)
	r.server.Shutdown()
	client.send(testLine(1))
	if msg := client.receive(); msg == nil || msg.CauseOrNone() != jsonlines.CauseTestFailed {
		t.Errorf("a liveness test was answered %+v", msg)
	}
	close(hold)
	if msg := client.receive(); msg == nil || msg.Op != jsonlines.OpAccept {
		t.Errorf("answered %+v", msg)
	}
	if msg := client.receive(); msg != nil {
		t.Errorf("then received %+v", msg)
	}
}

// A request that comes in the iteration in which Run would end is answered first, and what was written is not reset.
func TestRequestInLastIterationIsAnswered(t *testing.T) {
	addr := fakeMachine(t, `{"op":"end","call":"%s","with":{"note":"cpu_full"},"why":34}`)
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	client.send(testLine(1))
	client.receive()
	r.runOnLoop(func() { // with nothing unanswered, this iteration is the last
		r.markShuttingDown(4 * eventloop.Second)
		client.send(offerLine(requestID, ""))
	})
	if msg := client.receive(); !isEnd(msg, requestID) {
		t.Errorf("received %+v", msg)
	}
	if msg := client.receive(); msg != nil {
		t.Errorf("then received %+v", msg)
	}
}

// A shutdown starts while a request is half read: its other half is read, and it is answered.
func TestRequestHalfReadAtShutdownIsAnswered(t *testing.T) {
	addr := fakeMachine(t, acceptLine("%s"))
	r := startWithMachineA(t, addr, attemptOnA(0))
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
	if msg := client.receive(); msg == nil || msg.Op != jsonlines.OpAccept {
		t.Errorf("received %+v", msg)
	}
}

// A request that is open shortly before the process is killed is answered, and its attempt cancelled.
func TestOpenRequestIsAnsweredBeforeKill(t *testing.T) {
	received := make(chan *jsonlines.Message, 2)
	addr := serveTCP(t, func(m *peer) { received <- m.receive(); received <- m.receive() })
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	client.send(strings.Replace(offerLine(requestID, ""), `"2000"`, `"60000"`, 1))
	<-received
	r.runOnLoop(func() { r.markShuttingDown(3*eventloop.Second + eventloop.Second/4) })
	if msg := client.receive(); !isEnd(msg, requestID) {
		t.Errorf("received %+v", msg)
	}
	if msg := <-received; msg == nil || msg.Op != jsonlines.OpEnd || msg.CauseOrNone() != jsonlines.CauseNormal {
		t.Errorf("the machine received %+v", msg)
	}
	if msg := client.receive(); msg != nil {
		t.Errorf("then received %+v", msg)
	}
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeFinished || e.Final {
		t.Errorf("got %+v", e)
	}
}

// A configuration that is slow to load does not hold up a shutdown; one that is broken is not used, and the next one
// is.
func TestReloadAndShutdownDoNotBlockEachOther(t *testing.T) {
	old, publish := scriptedDiscovery(t)
	later, publishLater := scriptedDiscovery(t)
	r := startServer(t, attemptOnA(0), configJSON(old, 256, eventJSON(1, true)))
	await[scheduler.MachineListUpdate](r, nil)
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
	publish(eventJSON(2, false))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 2 {
		t.Errorf("version %d was applied from the old address", e.Version)
	}
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP // taken as the first file is being loaded
	shutdown <- syscall.SIGTERM
	shutdown <- syscall.SIGTERM // the second changes nothing
	client := r.dialClient()
	for passed := true; passed; {
		client.send(testLine(1))
		msg := client.receive()
		if msg == nil {
			t.Fatal("the server ended without an answer")
		}
		passed = msg.CauseOrNone() == jsonlines.CauseTestPassed
	}
	config := *r.server.env.config
	config.DiscoveryAddr = later
	files <- r.server.env.config
	files <- &config
	publishLater(eventJSON(3, false))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 3 {
		t.Errorf("version %d was applied from the new address", e.Version)
	}
}
