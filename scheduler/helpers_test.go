package scheduler

import (
	"reflect"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// testConfig returns a configuration with one workload class, two machine types and three schedulers.
func testConfig(e Idempotency) Config {
	return Config{
		Seed:           7,
		SchedulerCount: 3,
		WorkloadClasses: []WorkloadClass{{
			Idempotency:      e,
			MachineType:      -1,
			LatencyObjective: Second,
			PlacementTimeout: 6 * Second,
			PriorityWeight:   1,
		}},
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

// testScheduler returns a scheduler with four machines: a and b in zone 0, c and d in zone 1, each in its own rack
// group. Machine b is of the large type.
func testScheduler(config Config) *Scheduler {
	s := New(config)
	listMachines(s, 0, RestoredSnapshot,
		MachineEntry{Machine: "a", Zone: 0, RackGroup: 0},
		MachineEntry{Machine: "b", Zone: 0, RackGroup: 1, MachineType: 1, FreeCores: 40, FreeMemory: 60},
		MachineEntry{Machine: "c", Zone: 1, RackGroup: 2},
		MachineEntry{Machine: "d", Zone: 1, RackGroup: 3})
	return s
}

func listMachines(s *Scheduler, now Time, mode UpdateMode, entries ...MachineEntry) {
	s.Handle(now, []Event{MachineListUpdate{Mode: mode, Entries: entries}})
}

// runMaintenance fires the maintenance timer.
func runMaintenance(s *Scheduler, now Time) []Action {
	return s.Handle(now, []Event{TimerFired{maintenanceTimerName}})
}

// smallRequest returns a request for a container of one core and one unit of memory.
func smallRequest(id ContainerID, service string, deadline Time) PlacementRequest {
	return PlacementRequest{ID: id, Service: service, Cores: 1, Memory: 1, Deadline: deadline}
}

// submit requests a container and returns the machine of its first attempt.
func submit(s *Scheduler, now Time, id ContainerID, service string) MachineID {
	return attemptMachine(s.Handle(now, []Event{RequestReceived{smallRequest(id, service, now+6*Second)}}))
}

// attemptMachine returns the machine of the attempt if the last action starts one, else an empty name.
func attemptMachine(actions []Action) MachineID {
	attempt, _ := lastAction(actions).(StartAttempt)
	return attempt.Machine
}

func adopt(s *Scheduler, id, service string, at MachineID) {
	s.Handle(s.now, []Event{ContainerAdopted{smallRequest(ContainerID(id), service, 0), at}})
}

// moveAttempt changes the machine of a container's open attempt.
func (s *Scheduler) moveAttempt(id ContainerID, to MachineID) {
	c := s.containers.find(id)
	sentAt := c.sentAt
	s.containers.release(c)
	s.containers.reserve(c, s.machines.findOrAdd(to), sentAt)
}

// fail records several failures of a machine in a row.
func (s *Scheduler) fail(m *machine, failures int) {
	for range failures {
		s.prober.outliers.recordFailure(m, s.now)
	}
}

// startAt puts a machine into slow start.
func (m *machine) startAt(at Time) { m.listing.startedAt = at }

// startRecently puts a machine into slow start, just after the start of the scheduler itself.
func startRecently(s *Scheduler, m *machine) {
	m.startAt(s.now + 1)
	s.slowStart.start(s.now)
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
	content := testutil.ReadFile(t, name)
	return strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
}
