package platform

import (
	"errors"
	"strings"
	"testing"
	"time"

	"glenport/scheduler"
)

// The watch goes on over breaks, repeated events, silence and a new address, and no event is applied twice.
func TestDiscoveryWatchResumes(t *testing.T) {
	type watch struct {
		from string
		peer *peer
	}
	next := func() (string, chan watch) {
		watches := make(chan watch, 10)
		done := make(chan bool)
		t.Cleanup(func() { close(done) })
		return serveTCP(t, func(p *peer) {
			line, _ := p.readLine()
			watches <- watch{strings.TrimSpace(line), p}
			if _, err := p.readLine(); err == nil {
				t.Error("the server sent more")
			}
		}), watches
	}
	old, watches := next()
	r := startServer(
		t,
		attemptOnA(0),
		configJSON(old, 256, eventJSON(1, true, machineJSON("a", "127.0.0.1:1", "ready", 0))),
	)
	applied := func(version int64) {
		t.Helper()
		if e := await[scheduler.MachineListUpdate](r, nil); e.Version != version {
			t.Errorf("version %d was applied, want %d", e.Version, version)
		}
	}
	applied(1)
	follow := func(watches chan watch, from string) *peer {
		t.Helper()
		select {
		case w := <-watches:
			if w.from != from {
				t.Errorf("requested %q, want %q", w.from, from)
			}
			return w.peer
		case <-time.After(testTimeout):
			t.Fatal("no watch was requested")
			return nil
		}
	}
	p := follow(watches, "from 1")
	p.send(
		eventJSON(1, true),
		eventJSON(2, false, machineJSON("a", "127.0.0.1:1", "draining", 0)),
		eventJSON(2, false),
		`{"offset":2}`,
	)
	applied(2)
	p.write(`{"offset":3,"topo`) // broken off
	p.close()
	p = follow(watches, "from 2")
	p.send(`{"offset":4}`) // 3 and 4 were never sent
	p = follow(watches, "from 2")
	p.send(eventJSON(3, false), eventJSON(4, false))
	applied(3)
	applied(4)
	follow(watches, "from 4") // now silence
	later, moved := next()
	config := *r.server.env.config
	config.DiscoveryAddr = later
	r.server.Reload(&config)
	p = follow(moved, "from 4")
	p.send(eventJSON(5, true))
	applied(5)
}

// A missing event is requested again, and a machine that the settings cannot place keeps no other from being applied.
func TestMissingEventIsRequestedAgain(t *testing.T) {
	watches := make(chan *peer, 10)
	requested := make(chan string, 10)
	discovery := serveTCP(t, func(p *peer) {
		line, _ := p.readLine()
		requested <- strings.TrimSpace(line)
		watches <- p
		p.readToEnd()
	})
	r := startServer(t, attemptOnA(0), configJSON(discovery, 256, eventJSON(1, true)))
	await[scheduler.MachineListUpdate](r, nil)
	p := <-watches
	<-requested
	p.send(eventJSON(2, false), eventJSON(4, false, machineJSON("a", "127.0.0.1:1", "draining", 0)))
	if e := await[scheduler.MachineListUpdate](r, nil); e.Version != 2 {
		t.Errorf("version %d was applied, want 2", e.Version)
	}
	p = <-watches
	if from := <-requested; from != "from 2" {
		t.Errorf("requested %q", from)
	}
	unknownType := strings.Replace(machineJSON("x", "127.0.0.1:1", "ready", 0), "large", "huge", 1)
	p.send(eventJSON(3, false, unknownType, machineJSON("a", "127.0.0.1:1", "ready", 0)), eventJSON(4, false))
	if e := await[scheduler.MachineListUpdate](
		r,
		nil,
	); e.Version != 3 || len(e.Entries) != 1 ||
		e.Entries[0].Machine != "a" {
		t.Errorf("got %+v", e)
	}
	p.close()
	p = <-watches
	p.send(eventJSON(9, true)) // all that the service still has
	if e := await(
		r,
		func(e scheduler.MachineListUpdate) bool { return e.Version != 4 },
	); e.Version != 9 ||
		e.Mode != scheduler.FullSnapshot {
		t.Errorf("got %+v", e)
	}
}

// Entries that do not fit the settings are left out of an event and named, and an event that cannot be read is an
// error.
func TestInvalidEntriesAreLeftOut(t *testing.T) {
	config := testConfig(t)
	good := machineJSON("a", "127.0.0.1:1", "ready", 3)
	gone := strings.Replace(machineJSON("b", "", "gone", 0), "large", "huge", 1)
	event, err := config.decodeWatchEvent([]byte(eventJSON(
		2,
		true,
		good,
		machineJSON(
			"",
			"127.0.0.1:1",
			"ready",
			0,
		),
		machineJSON("c", "nowhere", "ready", 0),
		machineJSON("d", "127.0.0.1:1", "resting", 0),
		gone,
	)))
	if err != nil || event.offset != 2 || event.version != 2 || !event.fullSnapshot || len(event.machines) != 2 ||
		len(event.invalidEntries) != 3 {
		t.Fatalf("decoded %+v, %v", event, err)
	}
	a := scheduler.MachineEntry{
		Machine: "a", Zone: 1, MachineType: 1, RackGroup: 2, PowerHint: 1, FreeCores: 40.5, FreeMemory: 100,
		StartedAt: 3 * scheduler.Millisecond,
	}
	if got := event.machines[0]; got != (machineUpdate{a, "127.0.0.1:1"}) {
		t.Errorf("machine a is %+v", got)
	}
	if b := event.machines[1]; b.entry.Machine != "b" || b.entry.State != scheduler.MachineGone || b.addr != "" {
		t.Errorf("machine b is %+v", b)
	}
	if !errors.Is(event.invalidEntries[0], errNoMachineID) {
		t.Errorf("error %v", event.invalidEntries[0])
	}
	if _, err := config.decodeWatchEvent([]byte(`{"offset":-1}`)); !errors.Is(err, errNegativeOffset) {
		t.Errorf("error %v", err)
	}
	if event, err := config.decodeWatchEvent(
		[]byte(`{"offset":7}`),
	); err != nil || !event.offsetOnly ||
		event.offset != 7 {
		t.Errorf("decoded %+v, %v", event, err)
	}
}
