package scheduler

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// testConfig has one workload class, two machine types and three schedulers.
func testConfig(e Idempotency) Config {
	class := WorkloadClass{Idempotency: e, MachineType: -1, LatencyObjective: Second, PlacementTimeout: 6 * Second,
		PriorityWeight: 1}
	return Config{
		Seed:               7,
		SchedulerCount:     3,
		WorkloadClasses:    []WorkloadClass{class},
		MachineTypes:       []MachineType{{Cores: 10, Memory: 20}, {Cores: 40, Memory: 60}},
		CoresOvercommit:    2,
		MemoryOvercommit:   2,
		MeanCores:          1,
		MeanMemory:         1,
		ListTracksRequests: true,
		ProbesAllowed:      true,
		MaxAttempts:        4,
		SlowStartPeriod:    17 * Second,
		SlowStartWindow:    2 * Second,
		SlowStartBudget:    30,
	}
}

// testScheduler has four machines: a and b in zone 0, c and d in zone 1, each in a rack group of its own; b is of the large
// type.
func testScheduler(config Config) *Scheduler {
	s := New(config)
	s.Handle(0, []Event{MachineListUpdate{Mode: RestoredSnapshot, Entries: []MachineEntry{
		{Machine: "a", Zone: 0, RackGroup: 0},
		{Machine: "b", Zone: 0, RackGroup: 1, MachineType: 1, FreeCores: 40, FreeMemory: 60},
		{Machine: "c", Zone: 1, RackGroup: 2},
		{Machine: "d", Zone: 1, RackGroup: 3}}}})
	return s
}

// smallRequest is for a container of one core and one unit of memory.
func smallRequest(id ContainerID, service string, deadline Time) PlacementRequest {
	return PlacementRequest{ID: id, Service: service, Cores: 1, Memory: 1, Deadline: deadline}
}

// submit requests a container and returns the machine of its first attempt.
func submit(s *Scheduler, now Time, id ContainerID, service string) MachineID {
	actions := s.Handle(now, []Event{RequestReceived{smallRequest(id, service, now+6*Second)}})
	if attempt, ok := lastAction(actions).(StartAttempt); ok {
		return attempt.Machine
	}
	return ""
}

func adopt(s *Scheduler, id, service string, at MachineID) {
	s.Handle(s.now, []Event{ContainerAdopted{smallRequest(ContainerID(id), service, 0), at}})
}

// moveAttempt pretends that a container's attempt went elsewhere.
func (s *Scheduler) moveAttempt(id ContainerID, to MachineID) {
	c := s.containers[id]
	sent := c.sentAt
	s.release(c)
	s.reserve(c, s.findOrAddMachine(to))
	c.sentAt = sent
}

func lastAction(a []Action) Action {
	if len(a) == 0 {
		return nil
	}
	return a[len(a)-1]
}

func sameType(a, b Action) bool { return reflect.TypeOf(a) == reflect.TypeOf(b) }

func readLines(t *testing.T, name string) []string {
	t.Helper()
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
}
