package schedulerd

import (
	"encoding/binary"
	"errors"
	"net"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"
	"glenport/scheduler"
)

// A restarted scheduler restores its last list and the learned state, except the state of machines that are gone. A
// damaged snapshot is ignored. A snapshot of a later version is an error of New.
func TestRestartRestoresListAndSnapshot(t *testing.T) {
	settings := testConfig(t)
	settings.StateDir = t.TempDir()
	settings.MachineListAddr = serveMachineList(t, map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:1"})
	first := newWarmStartScript(scheduler.Snapshot{Machines: []scheduler.MachineSnapshot{
		{Machine: "a", OutlierLogOdds: 4}, {Machine: "gone", OutlierLogOdds: 4},
	}})
	runIncarnation(t, settings, first, func(server *Server) {
		watchList(server)
		awaitList(t, first.scriptedScheduler)
	})
	second := newWarmStartScript(scheduler.Snapshot{})
	runIncarnation(t, settings, second, func(*Server) {
		update := awaitEvent[scheduler.MachineListUpdate](t, second.scriptedScheduler, nil)
		testutil.Expect(t, update.Mode == scheduler.RestoredSnapshot && len(update.Entries) == 2,
			"restored list %+v", update)
		restored := <-second.restoredSnapshots
		if len(restored.Machines) != 1 || restored.Machines[0].Machine != "a" ||
			restored.Machines[0].OutlierLogOdds < 3.5 ||
			restored.Machines[0].OutlierLogOdds > 4 {
			t.Errorf("restored %+v", restored.Machines)
		}
	})
	name := filepath.Join(settings.StateDir, WarmStartFile)
	data := testutil.ReadFile(t, name)
	flipped := append([]byte(nil), data...)
	flipped[len(flipped)/2] ^= 1
	for _, damaged := range [][]byte{{}, data[:len(data)/2], append([]byte("x"), data...), flipped} {
		testutil.WriteFile(t, name, damaged)
		third := newWarmStartScript(scheduler.Snapshot{})
		runIncarnation(t, settings, third, func(*Server) {
			update := awaitEvent[scheduler.MachineListUpdate](t, third.scriptedScheduler, nil)
			testutil.Expect(t, len(update.Entries) == 0, "a damaged snapshot of %d bytes is restored", len(damaged))
		})
	}
	writeLaterSnapshot(t, settings.StateDir)
	var unsupported *wal.UnsupportedVersionError
	if _, err := New(settings, newWarmStartScript(scheduler.Snapshot{}), discardLog); !errors.As(err, &unsupported) {
		t.Errorf("a file of a later version: %v", err)
	}
}

func writeLaterSnapshot(t *testing.T, path string) {
	t.Helper()
	d, err := vfs.OpenLocked(path)
	testutil.NoError(t, err)
	testutil.NoError(t, wal.WriteChecksummed(d, WarmStartFile, WarmStartMagic, WarmStartVersion+1, nil))
	testutil.NoError(t, d.Close())
}

// The list of version 1 is read if the folder holds no snapshot yet, and ignored if it is older than a day.
func TestLegacyListIsReadOnce(t *testing.T) {
	const longAgo = 1000
	clock, _ := runServer(t, testConfig(t), newScript(nil))
	today := uint64(now(clock))
	settings := testConfig(t)
	settings.LegacyListFile = filepath.Join(t.TempDir(), "list")
	list := fullList(7, protocol.MachineEntry{Machine: "a", Address: "127.0.0.1:1", Age: 50})
	data := append(make([]byte, 8), frames.Encode(t, list)...)
	for _, tc := range []struct {
		name     string
		at       uint64
		machines int
	}{{"older than a day", longAgo, 0}, {"of today", today, 1}} {
		binary.BigEndian.PutUint64(data, tc.at)
		testutil.WriteFile(t, settings.LegacyListFile, data)
		settings.StateDir = t.TempDir()
		script := newWarmStartScript(scheduler.Snapshot{})
		runIncarnation(t, settings, script, func(*Server) {
			update := awaitEvent[scheduler.MachineListUpdate](t, script.scriptedScheduler, nil)
			testutil.Expect(t, len(update.Entries) == tc.machines, "%s: %+v", tc.name, update)
		})
	}
}

// crashDuringAttempt runs an incarnation that starts one attempt on a machine that does not answer. It returns the
// state that SIGKILL would leave, and the inventory item that the machine reports if the container runs.
func crashDuringAttempt(t *testing.T, class int) (state string, running protocol.InventoryItem) {
	t.Helper()
	offered := make(chan *protocol.Offer, 1)
	silent := serveMachine(t, "a", frames.OnOffer(func(_ net.Conn, o *protocol.Offer) bool {
		offered <- o
		return true
	}))
	settings := testConfig(t)
	settings.StateDir = t.TempDir()
	h := startWithMachineA(t, settings, func(e scheduler.Event) []scheduler.Action {
		if e, ok := e.(scheduler.RequestReceived); ok {
			return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: "a"}}
		}
		return nil
	}, silent)
	h.client.submit("x", class)
	o := <-offered
	return copyState(t, settings.StateDir), protocol.InventoryItem{
		SchedulerIncarnation: h.server.incarnation, AttemptID: o.AttemptID,
		Running: true, Spec: o.Spec,
	}
}

// serveReportingMachine starts a machine that sends hello and inventory once report is closed.
func serveReportingMachine(t *testing.T, inventory *protocol.Inventory, report <-chan struct{}) string {
	t.Helper()
	return testutil.ServeUntilEnd(t, func(c net.Conn) {
		if _, err := frames.Receive(c); err != nil {
			return
		}
		<-report
		sendHello(c, "a", 1, inventory)
		frames.Skip(c)
	})
}

func failRequests(e scheduler.Event) []scheduler.Action {
	if e, ok := e.(scheduler.RequestReceived); ok {
		return []scheduler.Action{scheduler.Fail{ID: e.ID}}
	}
	return nil
}

// crashCase is a crash between an attempt and its end.
type crashCase struct {
	name           string
	class          int
	runs           bool // the machine reports the container
	loggedAttempts int  // number of attempts in the log
	want           protocol.Verdict
}

// After a crash between an attempt and its end, the next incarnation finds the attempt in the log. It waits for the
// inventory of the machine, and adopts the container or releases its key accordingly. Attempts of idempotent containers
// are not logged.
func TestOpenAttemptIsResolvedByItsMachineAfterCrash(t *testing.T) {
	for _, tc := range []crashCase{
		{"at-most-once, and it runs", classAtMostOnce, true, 1, protocol.VerdictPlaced},
		{"at-most-once, and it does not", classAtMostOnce, false, 1, protocol.VerdictFailed}, // every request fails
		{"idempotent with a key, and it runs", classWithKey, true, 1, protocol.VerdictPlaced},
		{"idempotent", classIdempotent, false, 0, protocol.VerdictFailed},
	} {
		t.Run(tc.name, tc.run)
	}
}

func (tc crashCase) run(t *testing.T) {
	settings := testConfig(t)
	state, running := crashDuringAttempt(t, tc.class)
	settings.StateDir, settings.ConnectTimeout = state, 10*eventloop.Second
	inventory := &protocol.Inventory{}
	if tc.runs {
		inventory.Containers = []protocol.InventoryItem{running}
	}
	report := make(chan struct{})
	h := startWithMachineA(t, settings, failRequests, serveReportingMachine(t, inventory, report))
	unresolved := func() int { return h.server.decisions.reconciler.UnresolvedKeys() }
	n := onLoop(h.server, unresolved)
	testutil.Expect(t, n == tc.loggedAttempts, "%d attempts are known to be open", n)
	retry := func() *protocol.PlacementReply {
		spec := specFor("x", tc.class)
		spec.ContainerID, spec.ClientRetry = "y", true
		h.client.submitSpec(spec)
		return h.client.receiveReply()
	}
	if tc.loggedAttempts > 0 {
		if reply := retry(); reply.Verdict != protocol.VerdictNotAdmitted ||
			!strings.Contains(reply.Message, "may run on machine a") {
			t.Errorf("retried before the machine reported: %+v", reply)
		}
	}
	close(report)
	eventually(t, h.server, func() bool { return unresolved() == 0 })
	if reply := retry(); reply.Verdict != tc.want {
		t.Errorf("retried after the machine reported: %+v", reply)
	}
}

// Sends to a machine that is not known to be in slow start are not logged. Once the list announces an incarnation that
// these sends may have reached, the sends are logged, so that the next incarnation of the scheduler restores them.
func TestSendsBeforeAnIncarnationIsObservedAreLogged(t *testing.T) {
	settings := testConfig(t)
	settings.StateDir = t.TempDir()
	address := serveMachine(t, "a", frames.Ignore)
	h := startWithMachineA(t, settings, attemptOn(0), address)
	h.client.submit("x", classIdempotent)
	h.eventually(func(a *machine) bool { return len(a.attempts) > 0 })
	if n := countRecords(t, copyState(t, settings.StateDir), SendKind); n != 0 {
		t.Errorf("%d records of sends to a machine that is not in slow start", n)
	}
	age := protocol.Duration(2 * eventloop.Second)
	entry := protocol.MachineEntry{Machine: "a", Address: address, Incarnation: 2, Age: age}
	h.applyList(entry)
	h.awaitCommit()
	if n := countRecords(t, copyState(t, settings.StateDir), SendKind); n != 1 {
		t.Errorf("%d records of sends that may have reached the incarnation", n)
	}
	next := testConfig(t)
	next.StateDir = copyState(t, settings.StateDir)
	next.MachineListAddr = testutil.ServeUntilEnd(t, func(c net.Conn) {
		frames.Send(c, listHello(), fullList(2, entry))
		for range 3 { // hello, request, end of the connection
			frames.Skip(c)
		}
	})
	script := newWarmStartScript(scheduler.Snapshot{})
	runIncarnation(t, next, script, func(server *Server) {
		<-script.restoredSnapshots // at the start, before a list contains the incarnation
		watchList(server)
		restored := <-script.restoredSnapshots
		if len(restored.Machines) != 1 || restored.Machines[0].Machine != "a" ||
			len(restored.Machines[0].RecentSends) != 1 {
			t.Errorf("restored %+v", restored.Machines)
		}
	})
}
