package schedulerd

import (
	"errors"
	"net"
	"path/filepath"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/storage/vfs"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"
)

// acceptAll starts a machine that accepts every offer. It finishes the container "before" when finish receives a value.
func acceptAll(t *testing.T, offered chan<- string, finish <-chan struct{}) string {
	t.Helper()
	return serveMachine(t, "a", frames.OnOffer(func(c net.Conn, o *protocol.Offer) bool {
		acceptOffer(c, o)
		offered <- o.Spec.ContainerID
		if o.Spec.ContainerID == "before" {
			go func() {
				<-finish
				frames.Send(c, &protocol.Result{AttemptID: o.AttemptID, Outcome: protocol.OutcomeFinished})
			}()
		}
		return true
	}))
}

// While the disk is full, only attempts that need no log record are sent. Once there is space again, the same
// incarnation also sends attempts that must be logged, and the log holds no attempts that have ended meanwhile. This
// also applies to an incarnation that starts on a full disk.
func TestFullDiskBlocksOnlyLoggedAttempts(t *testing.T) {
	for _, tc := range []fullDiskCase{{"full while it runs", false}, {"full at the start", true}} {
		t.Run(tc.name, tc.run)
	}
}

type fullDiskCase struct {
	name        string
	fullAtStart bool
}

func (tc fullDiskCase) run(t *testing.T) {
	offered, finish := make(chan string, 10), make(chan struct{}, 10)
	defer close(finish)
	settings := testConfig(t)
	dir := useFaultyDir(t, settings)
	if tc.fullAtStart { // in an existing folder
		runIncarnation(t, settings, newWarmStartScript(scheduler.Snapshot{}), func(*Server) {})
		dir.full.Store(true)
	}
	h := startWithMachineA(t, settings, attemptOn(0), acceptAll(t, offered, finish))
	if !tc.fullAtStart {
		h.client.submit("before", classAtMostOnce)
		<-offered
		h.client.wantReply(protocol.VerdictPlaced)
		dir.full.Store(true)
		finish <- struct{}{}
		awaitEvent(t, h.script, func(e scheduler.AttemptEnded) bool { return e.ID == "before" })
		h.client.receive() // its termination
	}
	h.client.submit("once", classAtMostOnce)
	ended := h.awaitEnded()
	testutil.Expect(t, ended.Outcome == scheduler.OutcomeNotSent && ended.ID == "once", "%+v", ended)
	h.client.receiveReply()
	h.client.submit("again", classIdempotent)
	got := <-offered
	testutil.Expect(t, got == "again", "%s was sent", got)
	h.client.receiveReply()
	dir.full.Store(false)
	h.client.submit("after", classAtMostOnce)
	reply := h.client.wantReply(protocol.VerdictPlaced)
	testutil.Expect(t, reply.ContainerID == "after", "with free space again: %+v", reply)
	testutil.Expect(t, !onLoop(h.server, func() bool { h.server.saveSnapshot(); return h.server.state.historyPending }),
		"the log does not hold this incarnation")
	h.stop()
	attempts := countRecords(t, settings.StateDir, AttemptKind)
	incarnations := countRecords(t, settings.StateDir, IncarnationKind)
	testutil.Expect(t, attempts == 1 && incarnations == 1,
		"%d attempts and %d incarnations in the log, want 1 running attempt and 1 incarnation", attempts, incarnations)
}

// An attempt that waits for a slow disk longer than the connect timeout ends as not sent, and is never sent late, not
// even after a list update for its machine. It does not count as a failure of the machine.
func TestAttemptDelayedBySlowDiskIsNotSent(t *testing.T) {
	offered := make(chan string, 10)
	address := serveMachine(t, "a", frames.OnOffer(func(_ net.Conn, o *protocol.Offer) bool {
		offered <- o.Spec.ContainerID
		return true
	}))
	settings := testConfig(t)
	settings.ConnectTimeout = 50 * eventloop.Millisecond
	dir := useFaultyDir(t, settings)
	h := startWithMachineA(t, settings, attemptOn(0), address)
	h.eventually((*machine).ready)
	dir.gate.Lock()
	h.client.submit("once", classAtMostOnce)
	ended := h.awaitEnded()
	testutil.Expect(t, ended.Outcome == scheduler.OutcomeNotSent, "%+v", ended)
	listUpdate(protocol.MachineDraining, 1, -1)(h, address)
	dir.gate.Unlock()
	h.client.submit("again", classIdempotent)
	got := <-offered
	testutil.Expect(t, got == "again", "%s was sent", got)
}

// An attempt that must be logged is sent although the iteration that decided it took longer than the connect timeout:
// the timeout runs from the commit at the end of that iteration.
func TestAttemptDecidedInLongIterationIsSent(t *testing.T) {
	offered := make(chan string, 10)
	settings := testConfig(t)
	settings.StateDir = t.TempDir()
	settings.ConnectTimeout = 500 * eventloop.Millisecond
	attempt := attemptOn(0)
	react := func(e scheduler.Event) []scheduler.Action {
		if _, ok := e.(scheduler.RequestReceived); ok {
			time.Sleep(2 * time.Duration(settings.ConnectTimeout/eventloop.Millisecond) * time.Millisecond)
		}
		return attempt(e)
	}
	h := startWithMachineA(t, settings, react, acceptAll(t, offered, nil))
	h.eventually((*machine).ready)
	h.client.submit("once", classAtMostOnce)
	reply := h.client.wantReply(protocol.VerdictPlaced)
	testutil.Expect(t, reply.ContainerID == "once", "%+v", reply)
}

// New fails if another process holds the state folder, or if the folder cannot be created.
func TestNewFailsIfStateFolderCannotBeLocked(t *testing.T) {
	settings := testConfig(t)
	settings.StateDir = t.TempDir()
	runIncarnation(t, settings, newWarmStartScript(scheduler.Snapshot{}), func(*Server) {
		var locked *vfs.LockedError
		if _, err := New(settings, newWarmStartScript(scheduler.Snapshot{}), discardLog); !errors.As(err, &locked) {
			t.Errorf("%v", err)
		}
	})
	settings.StateDir = filepath.Join(settings.StateDir, WarmStartFile, "below a file")
	if _, err := New(settings, newWarmStartScript(scheduler.Snapshot{}), discardLog); err == nil {
		t.Error("New succeeds with a folder that cannot be created")
	}
}
