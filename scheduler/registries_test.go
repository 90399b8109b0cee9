package scheduler

import (
	"strings"
	"testing"

	"glenport/internal/testutil"
)

func newTestRegistry(actions *actionBuffer) *machineRegistry {
	config := testConfig(Idempotent)
	return newMachineRegistry(&config, newSlowStartLimiter(&config), actions)
}

func registeredMachines(r *machineRegistry) string {
	var names []string
	for _, m := range r.all() {
		names = append(names, string(m.id))
	}
	return strings.Join(names, " ")
}

func TestMachineRegistryKeepsReferencedMachines(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(r *machineRegistry)
		want  string // machines after a full snapshot with b only
	}{
		{"gone", func(*machineRegistry) {}, "b"},
		{"a container on it", func(r *machineRegistry) { r.findOrAdd("a").load.reserve(resources{1, 1}) }, "a b"},
		{"a container that excludes it", func(r *machineRegistry) { (&container{}).exclude(r.findOrAdd("c")) }, "b c"},
		{"recent send", func(r *machineRegistry) { r.slowStart.recordSend(r.findOrAdd("c"), 1) }, "b c"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestRegistry(&actionBuffer{})
			for _, id := range []MachineID{"c", "a", "b"} {
				r.findOrAdd(id)
			}
			tc.setup(r)
			r.apply(MachineListUpdate{Mode: FullSnapshot, Entries: []MachineEntry{{Machine: "b"}}}, 2)
			testutil.Equal(t, registeredMachines(r), tc.want, "machines")
		})
	}
}

func TestMachineOfUnknownTypeIsNotUsed(t *testing.T) {
	actions := &actionBuffer{}
	r := newTestRegistry(actions)
	r.apply(MachineListUpdate{Entries: []MachineEntry{{Machine: "a", MachineType: 9}}}, 0)
	const want = "machine of unknown type is not used machine=a machine_type=9"
	if got, _ := lastAction(actions.batchActions()).(Log); got.String() != want || r.find("a") != nil {
		t.Errorf("%v, machines %q", actions.batchActions(), registeredMachines(r))
	}
}

func TestContainerRegistryReleasesWhatItReserved(t *testing.T) {
	config := testConfig(Idempotent)
	quotas := newTenantQuotas([]Tenant{{QuotaCores: 1}})
	r := newContainerRegistry(config.WorkloadClasses, quotas)
	m := &machine{id: "a"}
	c := r.add(smallRequest("x", "s", Second))
	r.startAttempt(c, m, 1)
	r.reportUse(c, MetricCoresUsed, 0.1)
	testutil.Expect(t, m.load.reservations == 1 && m.load.used == (resources{0.1, 1}) && quotas.cores[0] == 1,
		"reserved %+v, tenants %v", m.load, quotas.cores)
	r.close(c)
	testutil.Expect(t, r.find("x") == c, "a container with an open attempt is removed")
	r.endAttempt(c)
	r.close(c)
	testutil.Expect(t, m.load == (machineLoad{}) && quotas.cores[0] == 0 && len(r.containers)+len(r.services) == 0,
		"left: %+v, tenants %v, %d containers, %d services", m.load, quotas.cores, len(r.containers), len(r.services))
}

func TestDeadlinesWithinReturnsOverdueByIDAndNextDeadline(t *testing.T) {
	config := testConfig(Idempotent)
	r := newContainerRegistry(config.WorkloadClasses, newTenantQuotas(nil))
	for id, deadline := range map[ContainerID]Time{"c": 10, "a": 20, "b": 40, "d": 50, "e": 900} {
		r.add(smallRequest(id, "s", deadline))
	}
	r.find("d").accept()
	overdue, next := r.deadlinesWithin(100, 5, 25)
	testutil.Expect(t, len(overdue) == 2 && overdue[0].request.ID == "a" && overdue[1].request.ID == "c" && next == 45,
		"%d overdue, next at %d", len(overdue), next)
}
