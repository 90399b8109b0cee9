package scheduler

import (
	"bufio"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the expected values in testdata")

// testConfig has one workload, two kinds and three placers.
func testConfig(e Idempotency) Config {
	return Config{Seed: 7, SchedulerCount: 3, CoresOvercommit: 2, MemoryOvercommit: 2, MeanCores: 1, MeanMemory: 1,
		ListTracksRequests: true, ProbesAllowed: true, MaxAttempts: 4,
		MachineTypes:    []MachineType{{10, 20}, {40, 60}},
		SlowStartPeriod: 17 * Second, SlowStartWindow: 2 * Second, SlowStartBudget: 30,
		WorkloadClasses: []WorkloadClass{{Idempotency: e, MachineType: -1, LatencyObjective: Second, PlacementTimeout: 6 * Second, PriorityWeight: 1}}}
}

// testScheduler has four machines: a and b in zone 0, c and d in zone 1, each in a cell of its own; b is of the large kind.
func testScheduler(t Config) *Scheduler {
	p := New(t)
	p.Handle(0, []Event{MachineListUpdate{Mode: RestoredSnapshot, Entries: []MachineEntry{
		{Machine: "a", Zone: 0, RackGroup: 0}, {Machine: "b", Zone: 0, RackGroup: 1, MachineType: 1, FreeCores: 40, FreeMemory: 60},
		{Machine: "c", Zone: 1, RackGroup: 2}, {Machine: "d", Zone: 1, RackGroup: 3}}}})
	return p
}

// submit brings a container and tells where its first bid went.
func submit(p *Scheduler, now Time, id ContainerID, service string) MachineID {
	acts := p.Handle(now, []Event{RequestReceived{PlacementRequest{ID: id, Service: service, Cores: 1, Memory: 1, Deadline: now + 6*Second}}})
	if b, ok := lastAction(acts).(StartAttempt); ok {
		return b.Machine
	}
	return ""
}

func adopt(p *Scheduler, id, service string, at MachineID) {
	p.Handle(p.now, []Event{ContainerAdopted{PlacementRequest{ID: ContainerID(id), Service: service, Cores: 1, Memory: 1}, at}})
}

// moveAttempt pretends that a container's bid went elsewhere.
func (p *Scheduler) moveAttempt(id ContainerID, to MachineID) {
	c := p.containers[id]
	sent := c.sentAt
	p.release(c)
	p.reserve(c, p.findOrAddMachine(to))
	c.sentAt = sent
}

func lastAction(a []Action) Action {
	if len(a) == 0 {
		return nil
	}
	return a[len(a)-1]
}

func sameType(a, b Action) bool { return reflect.TypeOf(a) == reflect.TypeOf(b) }

func writeLines(t *testing.T, name string, lines []string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readLines(t *testing.T, name string) []string {
	t.Helper()
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var lines []string
	s := bufio.NewScanner(f)
	for s.Scan() {
		lines = append(lines, s.Text())
	}
	if err := s.Err(); err != nil {
		t.Fatal(err)
	}
	return lines
}
