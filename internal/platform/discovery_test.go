package platform

import (
	"errors"
	"strings"
	"testing"
	"time"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

// watch is a watch that the server has requested from a discovery service.
type watch struct {
	from string
	peer *peer
}

// recordingDiscovery is a discovery service that sends each requested watch to watches.
func recordingDiscovery(t *testing.T) (addr string, watches chan watch) {
	t.Helper()
	watches = make(chan watch, 10)
	return serveTCP(t, func(p *peer) {
		line, _ := p.readLine()
		watches <- watch{strings.TrimSpace(line), p}
		if _, err := p.readLine(); err == nil {
			t.Error("the server sent more")
		}
	}), watches
}

// expectWatch waits for the next watch and checks the event after which it is requested.
func expectWatch(t *testing.T, watches chan watch, from string) *peer {
	t.Helper()
	select {
	case w := <-watches:
		testutil.Expect(t, w.from == from, "requested %q, want %q", w.from, from)
		return w.peer
	case <-time.After(testTimeout):
		t.Fatal("no watch was requested")
		return nil
	}
}

// The watch resumes after closed connections, repeated events, silence and a change of the address, and no event is
// applied twice.
func TestDiscoveryWatchResumes(t *testing.T) {
	old, watches := recordingDiscovery(t)
	r := startWithDiscovery(t, old, machineJSON("a", closedAddr, "ready", 0))
	r.awaitList(1)
	p := expectWatch(t, watches, "from 1")
	draining := machineJSON("a", closedAddr, "draining", 0)
	p.send(snapshotJSON(1), deltaJSON(2, draining), deltaJSON(2), `{"offset":2}`)
	r.awaitList(2)
	p.write(`{"offset":3,"topo`) // an incomplete line
	p.close()
	p = expectWatch(t, watches, "from 2")
	p.send(`{"offset":4}`) // 3 and 4 were never sent
	p = expectWatch(t, watches, "from 2")
	p.send(deltaJSON(3), deltaJSON(4))
	r.awaitList(3)
	r.awaitList(4)
	expectWatch(t, watches, "from 4") // the service is silent from now on
	later, moved := recordingDiscovery(t)
	config := *r.server.env.config
	config.DiscoveryAddr = later
	r.server.Reload(&config)
	p = expectWatch(t, moved, "from 4")
	p.send(snapshotJSON(5))
	r.awaitList(5)
}

// A missing event is requested again, and a machine that does not fit the settings does not prevent other machines from
// being applied.
func TestMissingEventIsRequestedAgain(t *testing.T) {
	discovery, watches := recordingDiscovery(t)
	r := startWithDiscovery(t, discovery)
	r.awaitList(1)
	p := expectWatch(t, watches, "from 1")
	p.send(deltaJSON(2), deltaJSON(4, machineJSON("a", closedAddr, "draining", 0)))
	r.awaitList(2)
	p = expectWatch(t, watches, "from 2")
	unknownType := strings.Replace(machineJSON("x", closedAddr, "ready", 0), "large", "huge", 1)
	p.send(deltaJSON(3, unknownType, machineJSON("a", closedAddr, "ready", 0)), deltaJSON(4))
	if e := r.awaitList(3); len(e.Entries) != 1 || e.Entries[0].Machine != "a" {
		t.Errorf("got %+v", e)
	}
	r.awaitList(4)
	p.close()
	p = expectWatch(t, watches, "from 4")
	p.send(deltaJSON(4), deltaJSON(6)) // 4 is a repeat, after which 5 is missing
	p = expectWatch(t, watches, "from 4")
	p.send(snapshotJSON(9)) // the only event that the service still has
	if e := r.awaitList(9); e.Mode != scheduler.FullSnapshot {
		t.Errorf("got %+v", e)
	}
}

// Entries that do not fit the settings are skipped and reported, and an event that cannot be decoded is an error.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	config := testConfig(t)
	event, err := config.decodeWatchEvent([]byte(snapshotJSON(2,
		machineJSON("a", closedAddr, "ready", 3),
		machineJSON("", closedAddr, "ready", 0),
		machineJSON("c", "nowhere", "ready", 0),
		machineJSON("d", closedAddr, "resting", 0),
		strings.Replace(machineJSON("b", "", "gone", 0), "large", "huge", 1),
	)))
	if err != nil || event.offset != 2 || event.version != 2 || !event.fullSnapshot || len(event.machines) != 2 ||
		len(event.invalidEntries) != 3 {
		t.Fatalf("decoded %+v, %v", event, err)
	}
	a := scheduler.MachineEntry{
		Machine: "a", Zone: 1, MachineType: 1, RackGroup: 2, PowerHint: 1, FreeCores: 40.5, FreeMemory: 100,
		StartedAt: 3 * scheduler.Millisecond,
	}
	testutil.Equal(t, event.machines[0], (machineUpdate{a, closedAddr}), "machine a")
	if b := event.machines[1]; b.entry.Machine != "b" || b.entry.State != scheduler.MachineGone || b.addr != "" {
		t.Errorf("machine b is %+v", b)
	}
	testutil.Expect(t, errors.Is(event.invalidEntries[0], errNoMachineID), "error %v", event.invalidEntries[0])
	if _, err := config.decodeWatchEvent([]byte(`{"offset":-1}`)); !errors.Is(err, errNegativeOffset) {
		t.Errorf("error %v", err)
	}
	event, err = config.decodeWatchEvent([]byte(`{"offset":7}`))
	testutil.Expect(t, err == nil && event.offsetOnly && event.offset == 7, "decoded %+v, %v", event, err)
}

// The connection of the watch ends in the iteration in which more clients connect than may be open: the watch still
// gets a descriptor.
func TestWatchResumesInClientBurst(t *testing.T) {
	const descriptors = 64
	discovery, watches := recordingDiscovery(t)
	r := startServer(t, attemptOnA(0), configJSON(discovery, descriptors, snapshotJSON(1)))
	r.awaitList(1)
	p := expectWatch(t, watches, "from 1")
	r.runOnLoop(func() {
		r.dialClients(descriptors)
		p.close()
	})
	r.awaitClientConns((descriptors - 32) / 2)
	expectWatch(t, watches, "from 1").send(deltaJSON(2))
	r.awaitList(2)
	r.runOnLoop(func() { r.expectWithinDescriptors(descriptors) })
}

// A scheduler that starts while the discovery service is unavailable is ready at once, and places containers by the
// machine list of its configuration.
func TestStartWithoutDiscoveryServesRequests(t *testing.T) {
	r := startWithDiscovery(t, closedAddr, machineJSON("a", fakeMachine(t, acceptLine("%s")), "ready", 0))
	r.dialClient().expectLive(1)
	r.place()
}
