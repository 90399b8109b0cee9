package simprotocol

import (
	"reflect"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

// object describes a value for comparison with golden files. Its keys do not change when fields are renamed, and
// enumerations are numbers.
type object = map[string]any

// requireAllFields fails if a struct has fields that are not described, because those would not be compared.
func requireAllFields(t *testing.T, v any, o object) object {
	t.Helper()
	n := reflect.TypeOf(v).NumField()
	testutil.Expect(t, n == len(o), "%T has %d fields, %d are described", v, n, len(o))
	return o
}

func describeRequest(t *testing.T, a scheduler.PlacementRequest) object {
	t.Helper()
	return requireAllFields(t, a, object{
		"id":       a.ID,
		"key":      a.IdempotencyKey,
		"service":  a.Service,
		"class":    a.WorkloadClass,
		"tenant":   a.Tenant,
		"cores":    a.Cores,
		"memory":   a.Memory,
		"deadline": a.Deadline,
		"runs for": a.ExpectedRuntime,
		"retried":  a.ClientRetry,
	})
}

func describeEntries(t *testing.T, entries []scheduler.MachineEntry) []object {
	t.Helper()
	var out []object
	for _, e := range entries {
		out = append(out, requireAllFields(t, e, object{
			"machine": e.Machine, "zone": e.Zone, "type": e.MachineType, "cell": e.RackGroup, "state": int(e.State),
			"free cores": e.FreeCores, "free memory": e.FreeMemory, "power": e.PowerHint, "started at": e.StartedAt,
		}))
	}
	return out
}

func describeEvent(t *testing.T, event scheduler.Event) object {
	t.Helper()
	var message string
	var fields object
	switch e := event.(type) {
	case scheduler.MachineListUpdate:
		message = "UPDATE"
		fields = object{"mode": int(e.Mode), "version": e.Version, "entries": describeEntries(t, e.Entries)}
	case scheduler.RequestReceived:
		message = "PENDING"
		fields = object{"request": describeRequest(t, e.PlacementRequest)}
	case scheduler.ContainerAdopted:
		message = "ALREADY_PLACED"
		fields = object{"request": describeRequest(t, e.PlacementRequest), "machine": e.Machine}
	case scheduler.AttemptAccepted:
		message = "CONFIRMED"
		fields = object{"id": e.ID, "attempt": e.Attempt, "machine": e.Machine, "took": e.Elapsed}
	case scheduler.UsageReported:
		message = "INTERIM"
		fields = object{
			"id": e.ID, "machine": e.Machine, "attempt": e.Attempt, "sort": int(e.Metric), "amount": e.Value,
		}
	case scheduler.AttemptEnded:
		message = "DONE"
		fields = object{
			"id": e.ID, "final": e.Final, "attempt": e.Attempt, "outcome": int(e.Outcome), "machine": e.Machine,
			"reason": int(e.Reason), "took": e.Elapsed, "report": e.Report,
		}
	case scheduler.ProbeCompleted:
		message = "HEALTH_RESULT"
		fields = object{"machine": e.Machine, "outcome": int(e.Outcome), "took": e.Elapsed, "report": e.Report}
	case scheduler.TimerFired:
		message = "TICK_DUE"
		fields = object{"timer": e.Name}
	case scheduler.ContainerRemoved:
		message = "VANISHED"
		fields = object{"id": e.ID}
	default:
		t.Fatalf("event %T is not described", event)
	}
	requireAllFields(t, event, fields)["event"] = message
	return fields
}

func describeSettings(t *testing.T, s scheduler.Config) object {
	t.Helper()
	var classes, types, tenants []object
	for _, w := range s.WorkloadClasses {
		classes = append(classes, requireAllFields(t, w, object{
			"effect":   int(w.Idempotency),
			"group":    int(w.DedupScope),
			"window":   w.DedupWindow,
			"aim":      w.LatencyObjective,
			"deadline": w.PlacementTimeout,
			"type":     w.MachineType,
			"spread":   int(w.SpreadScope),
			"most":     w.MaxPerScope,
			"credit":   w.PriorityWeight,
		}))
	}
	for _, k := range s.MachineTypes {
		types = append(types, requireAllFields(t, k, object{"cores": k.Cores, "memory": k.Memory}))
	}
	for _, c := range s.Tenants {
		tenants = append(tenants, requireAllFields(t, c, object{"cores": c.QuotaCores}))
	}
	return requireAllFields(t, s, object{
		"seed":                   s.Seed,
		"me":                     s.SchedulerIndex,
		"balancers":              s.SchedulerCount,
		"classes":                classes,
		"types":                  types,
		"tenants":                tenants,
		"over share":             s.OverQuotaWeight,
		"admit cores":            s.CoresOvercommit,
		"admit memory":           s.MemoryOvercommit,
		"mean cores":             s.MeanCores,
		"mean memory":            s.MeanMemory,
		"yes when running":       s.AcceptMeansRunning,
		"use notes":              s.UsageReports,
		"entries tell free room": s.ListTracksRequests,
		"probes":                 s.ProbesAllowed,
		"attempts":               s.MaxAttempts,
		"grace":                  s.AnswerGrace,
		"list on request":        s.ListOnRequest,
		"list every":             s.ResyncInterval,
		"cold for":               s.SlowStartPeriod,
		"cold window":            s.SlowStartWindow,
		"cold offers":            s.SlowStartBudget,
	})
}
