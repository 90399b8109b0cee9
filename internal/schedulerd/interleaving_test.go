package schedulerd

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/testbed/modelcheck"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// A step consists of a verb and, for most verbs, the container (x, y, z) or the machine (a, b) that it applies to.
const (
	stepSubmit  = "submit"
	stepCancel  = "cancel"
	stepAccept  = "accept"
	stepFull    = "full"
	stepErrored = "errored"
	stepFinish  = "finish"
	stepBreak   = "break"   // closes the connection of a machine
	stepRestart = "restart" // restarts a machine; after "restart late a" only a later step updates the list
	stepDrain   = "drain"
	stepLeave   = "leave" // removes a machine from the list
	stepBack    = "back"  // lists a machine as serving again
	stepList    = "list"  // sends a full list
)

const modelContainers = 3

func containerName(i int) string { return string(rune('x' + i)) }

// enabled returns the steps that are possible now.
func (w *model) enabled(steps []string) (possible []string) {
	for _, step := range steps {
		words := strings.Fields(step)
		if w.isEnabled(words[0], words[len(words)-1]) {
			possible = append(possible, step)
		}
	}
	return possible
}

func (w *model) isEnabled(verb, subject string) bool {
	m := w.machines[subject]
	switch verb {
	case stepSubmit:
		return w.submittedCount < modelContainers
	case stepCancel:
		return w.submittedCount > int(subject[0]-'x')
	case stepBreak:
		return m.connected()
	case stepDrain:
		return m.State == protocol.MachineServing
	case stepLeave:
		return m.State != protocol.MachineGone
	case stepBack:
		return m.State != protocol.MachineServing
	case stepRestart, stepList:
		return true
	case stepFinish:
		_, a := w.findRunning(subject)
		return a != nil
	default:
		_, a := w.findPending(subject)
		return a != nil
	}
}

// apply executes a step and waits until nothing is in flight.
func (w *model) apply(step string) {
	words := strings.Fields(step)
	verb, subject, now := words[0], words[len(words)-1], w.now()
	switch verb {
	case stepSubmit:
		w.submit(now)
	case stepCancel:
		w.cancel(now, subject)
	case stepAccept:
		w.accept(now, subject)
	case stepFull:
		w.refuse(now, subject, protocol.OutcomeFull)
	case stepErrored:
		w.refuse(now, subject, protocol.OutcomeErrored)
	case stepFinish:
		w.finish(now, subject)
	case stepBreak:
		w.breakConnection(now, w.machines[subject])
	case stepRestart:
		w.restart(now, w.machines[subject])
		if len(words) == 2 { // the list is updated immediately
			w.announceRestart(now, w.machines[subject])
		}
	case stepDrain:
		w.setState(now, w.machines[subject], protocol.MachineDraining)
	case stepLeave:
		w.setState(now, w.machines[subject], protocol.MachineGone)
	case stepBack:
		w.setState(now, w.machines[subject], protocol.MachineServing)
	case stepList:
		for _, m := range w.machines {
			m.Incarnation = m.incarnation
		}
		w.sendFullList(now)
	default:
		w.t.Fatalf("unknown step %q", step)
	}
	w.settle()
}

func (w *model) submit(now scheduler.Time) {
	const timeout = 600 * scheduler.Second
	spec := specFor(containerName(w.submittedCount), w.submittedCount)
	request := requestFromSpec(&spec)
	request.Deadline = now + timeout
	w.submittedCount++
	w.observe(now, scheduler.RequestReceived{PlacementRequest: request})
	w.client.send(&protocol.Submit{TimeToDeadline: protocol.Duration(timeout), Spec: spec})
}

func (w *model) cancel(now scheduler.Time, id string) {
	if w.answers[id] == 0 {
		w.observe(now, scheduler.ContainerRemoved{ID: scheduler.ContainerID(id)})
	}
	w.answeredBeforeCancel[id] = w.answers[id] > 0
	w.client.send(&protocol.CancelContainer{ContainerID: id, IdempotencyKey: "k-" + id})
}

func (w *model) accept(now scheduler.Time, id string) {
	m, a := w.findPending(id)
	a.pending = false
	w.observe(now, scheduler.AttemptAccepted{ID: scheduler.ContainerID(a.checkerID)})
	m.conn.send(&protocol.Accept{AttemptID: a.AttemptID, Running: true})
}

// refuse answers an attempt with an outcome instead of an accept.
func (w *model) refuse(now scheduler.Time, id string, outcome protocol.Outcome) {
	m, a := w.findPending(id)
	w.observeEnded(now, a, scheduler.AttemptEnded{Outcome: outcome.SchedulerOutcome()})
	m.sendResult(a, outcome)
}

func (w *model) finish(now scheduler.Time, id string) {
	m, a := w.findRunning(id)
	w.observeEnded(now, a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeFinished, Final: true})
	m.sendResult(a, protocol.OutcomeFinished)
}

func (m *modelMachine) sendResult(a *modelAttempt, outcome protocol.Outcome) {
	delete(m.attempts, a.AttemptID)
	m.conn.send(&protocol.Result{AttemptID: a.AttemptID, Outcome: outcome})
}

// breakConnection closes the connection of a machine. Pending attempts count as accepted, with the accept lost.
func (w *model) breakConnection(now scheduler.Time, m *modelMachine) {
	for _, number := range m.numbers() {
		if a := m.attempts[number]; a.pending {
			a.pending = false
			w.observeEnded(now, a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
			a.checkerID = ""
		}
	}
	m.conn.close()
}

func (w *model) restart(now scheduler.Time, m *modelMachine) {
	w.breakConnection(now, m)
	for _, a := range m.attempts {
		w.observeEnded(now, a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost, Final: true})
	}
	m.incarnation++
	m.startedAt = now
	clear(m.attempts)
}

// announceRestart sends a list update with the current incarnation of a machine.
func (w *model) announceRestart(now scheduler.Time, m *modelMachine) {
	m.Incarnation, m.State = m.incarnation, protocol.MachineServing
	w.sendList(now, scheduler.DeltaUpdate, m.MachineEntry)
}

func (w *model) setState(now scheduler.Time, m *modelMachine, state protocol.MachineState) {
	m.State = state
	w.sendList(now, scheduler.DeltaUpdate, m.MachineEntry)
}

// answerAll refuses all pending attempts until every container is answered.
func (w *model) answerAll() {
	const maxAttempts = 12
	for range maxAttempts {
		for i := range modelContainers {
			if _, a := w.findPending(containerName(i)); a != nil {
				w.apply(stepFull + " " + containerName(i))
			}
		}
	}
	for i := range w.submittedCount {
		if id := containerName(i); w.answers[id] != 1 {
			w.checker.Violations = append(w.checker.Violations,
				fmt.Sprintf("rule 1: %s has %d answers", id, w.answers[id]))
		}
	}
}

// modelConfig returns a configuration with one workload class for each of the three containers.
func modelConfig(t *testing.T, classes ...scheduler.WorkloadClass) *config.Scheduler {
	t.Helper()
	s := testConfig(t)
	s.ConnectTimeout, s.SilenceTimeout, s.IdleTimeout = 30*eventloop.Second, 600*eventloop.Second, 600*eventloop.Second
	policy := &s.Policy
	policy.SchedulerCount, policy.SchedulerIndex = 1, 0
	policy.MachineTypes = []scheduler.MachineType{{Cores: 20, Memory: 20}}
	policy.SlowStartPeriod, policy.SlowStartWindow = 1200*scheduler.Second, 600*scheduler.Second
	policy.SlowStartBudget = 1
	policy.WorkloadClasses, policy.ListOnRequest = nil, false
	for _, class := range classes {
		class.MachineType, class.PriorityWeight = -1, 1
		class.LatencyObjective, class.PlacementTimeout = scheduler.Second, 600*scheduler.Second
		policy.WorkloadClasses = append(policy.WorkloadClasses, class)
	}
	return s
}

type workloadClasses = []scheduler.WorkloadClass

var (
	idempotent = scheduler.WorkloadClass{}
	withKey    = scheduler.WorkloadClass{
		Idempotency: scheduler.IdempotentWithKey, DedupScope: scheduler.ScopeZone, DedupWindow: 600 * scheduler.Second,
	}
	atMostOnce       = scheduler.WorkloadClass{Idempotency: scheduler.AtMostOnce}
	spread           = scheduler.WorkloadClass{SpreadScope: scheduler.ScopeMachine, MaxPerScope: 1}
	spreadAtMostOnce = scheduler.WorkloadClass{
		Idempotency: scheduler.AtMostOnce, SpreadScope: scheduler.ScopeMachine, MaxPerScope: 1,
	}
)

var interleavings = []struct {
	name    string
	classes workloadClasses
	steps   string
	depth   int
}{
	{
		"connections that break",
		workloadClasses{atMostOnce, withKey, atMostOnce},
		"submit, accept x, full x, errored y, break a, break b, cancel x", 4,
	},
	{
		"machines that leave and come back",
		workloadClasses{withKey, atMostOnce, atMostOnce},
		"submit, full x, accept y, drain a, leave b, back b, restart late a, list", 4,
	},
	{
		"spread behind broken connections",
		workloadClasses{spreadAtMostOnce, spread, spreadAtMostOnce},
		"submit, accept x, full y, break a, break b, finish x, restart b", 4,
	},
	{
		"slow start",
		workloadClasses{idempotent, idempotent, idempotent},
		"submit, full x, restart a, restart late a, restart late b, list", 4,
	},
}

// Scheduler, reconciler, recovery and server together keep all invariants over sockets.
func TestEveryInterleavingKeepsTheInvariants(t *testing.T) {
	t.Parallel()
	for _, tc := range interleavings {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			n, done, violations := explore(t, modelConfig(t, tc.classes...), strings.Split(tc.steps, ", "), tc.depth,
				func(d modelcheck.Decider) modelcheck.Decider { return d })
			testutil.Expect(t, len(violations) == 0, "%s\n%s", strings.Join(done, ", "), strings.Join(violations, "\n"))
			t.Logf("%d interleavings", n)
		})
	}
}

// explore tries every sequence of steps up to a depth, until one violates an invariant.
func explore(
	t *testing.T, settings *config.Scheduler, steps []string, depth int, wrap wrapper,
) (n int, done, violations []string) {
	t.Helper()
	modelcheck.EnumeratePaths(depth, func(path []int) (widths []int, on bool) {
		w := newModel(t, settings, wrap)
		defer w.close()
		done = nil
		for _, choice := range path {
			possible := w.enabled(steps)
			if len(possible) == 0 || len(w.checker.Violations) > 0 {
				break
			}
			widths, done = append(widths, len(possible)), append(done, possible[choice])
			w.apply(possible[choice])
		}
		if len(w.checker.Violations) == 0 {
			w.answerAll()
		}
		n, violations = n+1, w.checker.Violations
		return widths, len(violations) == 0
	})
	return n, done, violations
}

// The checker detects a scheduler that breaks an invariant from the frames alone.
func TestInterleavingsDetectEachBrokenInvariant(t *testing.T) {
	for i, tc := range []struct {
		steps   string
		classes workloadClasses
	}{
		{"submit, full x", workloadClasses{atMostOnce, atMostOnce, atMostOnce}},
		{"submit, errored x", workloadClasses{atMostOnce, atMostOnce, atMostOnce}},
		{"submit, drain a, drain b", workloadClasses{atMostOnce, atMostOnce, atMostOnce}},
		{"restart a, restart b, submit", workloadClasses{idempotent, idempotent, idempotent}},
		{"submit, break a, break b", workloadClasses{spreadAtMostOnce, spreadAtMostOnce, spreadAtMostOnce}},
	} {
		rule := i + 1
		t.Run(fmt.Sprint("rule ", rule), func(t *testing.T) {
			_, done, violations := explore(t, modelConfig(t, tc.classes...), strings.Split(tc.steps, ", "), 5,
				func(d modelcheck.Decider) modelcheck.Decider { return modelcheck.Mutant{Decider: d, Rule: rule} })
			testutil.Expect(t, len(violations) != 0 && strings.HasPrefix(violations[0], fmt.Sprintf("rule %d", rule)),
				"after %q: %q", done, violations)
		})
	}
}
