package reconcile

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/schedulerd/admission"
	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

const recordedIncarnation = 3

// recordedSequence generates a seeded sequence of events for one reconciler, many of them in response to its actions.
// It folds each action into a digest.
type recordedSequence struct {
	rng                *rand.Rand
	digest             *golden.Digest
	reconciler         *Reconciler
	now                scheduler.Time
	ids                int // number of container ids to choose from
	admittedRequests   []scheduler.PlacementRequest
	attempts           []Attempt
	connectingMachines []scheduler.MachineID
	lastNumber         uint64
}

func (s *recordedSequence) machine() scheduler.MachineID {
	return scheduler.MachineID(fmt.Sprint("m", s.rng.IntN(6)))
}

func (s *recordedSequence) client() ClientID { return ClientID(s.rng.IntN(5)) }

func (s *recordedSequence) request() scheduler.PlacementRequest {
	n := s.rng.IntN(s.ids)
	r := scheduler.PlacementRequest{
		ID:             scheduler.ContainerID(fmt.Sprint("c", n)),
		IdempotencyKey: fmt.Sprint("k", n/2),
		Service:        "s",
		WorkloadClass:  n % 3,
		Tenant:         s.rng.IntN(2),
		ClientRetry:    s.rng.IntN(3) == 0,
	}
	if s.rng.IntN(10) == 0 {
		r.IdempotencyKey = fmt.Sprint("k", s.rng.IntN(s.ids))
	}
	if s.rng.IntN(30) == 0 {
		r.WorkloadClass = 3
	}
	return r
}

// attempt returns an attempt, in most cases the attempt of an earlier event.
func (s *recordedSequence) attempt() Attempt {
	if len(s.attempts) > 0 && s.rng.IntN(4) > 0 {
		a := s.attempts[s.rng.IntN(len(s.attempts))]
		if s.rng.IntN(8) == 0 {
			a.Running = !a.Running
		}
		return a
	}
	s.lastNumber++
	a := Attempt{
		Request:     s.request(),
		Machine:     s.machine(),
		Incarnation: recordedIncarnation - uint64(s.rng.IntN(3)),
		Number:      s.lastNumber,
		Running:     s.rng.IntN(5) > 0,
	}
	s.attempts = append(s.attempts, a)
	return a
}

func (s *recordedSequence) report(m scheduler.MachineID) MachineReported {
	e := MachineReported{Machine: m}
	for _, a := range s.attempts {
		if a.Machine == m && s.rng.IntN(4) > 0 && len(e.Attempts) < 8 {
			e.Attempts = append(e.Attempts, a)
		}
	}
	return e
}

func (s *recordedSequence) accepted() Event {
	r := s.request()
	if len(s.admittedRequests) > 0 && s.rng.IntN(10) > 0 {
		n := s.rng.IntN(len(s.admittedRequests))
		r = s.admittedRequests[n]
		s.admittedRequests = append(s.admittedRequests[:n], s.admittedRequests[n+1:]...)
	}
	s.lastNumber++
	a := Attempt{
		Request:     r,
		Machine:     s.machine(),
		Incarnation: recordedIncarnation,
		Number:      s.lastNumber,
		Running:     true,
	}
	s.attempts = append(s.attempts, a)
	return AttemptAccepted{ID: r.ID, Machine: a.Machine, Attempt: a.Number}
}

func (s *recordedSequence) event() Event {
	if len(s.connectingMachines) > 0 && s.rng.IntN(3) == 0 { // the outcome of a ConnectMachine
		m := s.connectingMachines[0]
		s.connectingMachines = s.connectingMachines[1:]
		if s.rng.IntN(3) == 0 {
			return s.report(m)
		}
		return ConnectFailed{Machine: m, LocalShortage: s.rng.IntN(6) == 0}
	}
	switch n := s.rng.IntN(100); {
	case n < 4:
		return ClientConnected{Client: s.client()}
	case n < 5:
		return ClientDisconnected{Client: s.client()}
	case n < 35:
		return PlacementRequested{Client: s.client(), Request: s.request()}
	case n < 39:
		a := s.request()
		if s.rng.IntN(4) == 0 {
			a.IdempotencyKey = ""
		}
		return CancelRequested{Client: s.client(), ID: a.ID, IdempotencyKey: a.IdempotencyKey}
	case n < 43:
		a := s.request()
		return LookupRequested{Client: s.client(), ID: a.ID, IdempotencyKey: a.IdempotencyKey}
	case n < 47:
		return RequestFailed{ID: s.request().ID}
	case n < 62:
		return s.accepted()
	case n < 68:
		return ContainerRemoved{ID: s.request().ID}
	case n < 70:
		return AttemptRestored{Attempt: s.attempt()}
	case n < 73:
		return AttemptOutcomeUnknown{Attempt: s.attempt()}
	case n < 75:
		return AttemptNotRunning{Attempt: s.attempt()}
	case n < 80:
		return LateAccept{Attempt: s.attempt()}
	case n < 85:
		return s.report(s.machine())
	case n < 89:
		return MachineDisconnected{Machine: s.machine()}
	case n < 91:
		return ConnectFailed{Machine: s.machine(), LocalShortage: s.rng.IntN(3) == 0}
	case n < 93:
		return s.list()
	case n < 94:
		return MachineRemoved{Machine: s.machine()}
	}
	return TimerFired{}
}

func (s *recordedSequence) list() MachinesListed {
	var all []scheduler.MachineID
	for i := range 6 {
		if s.rng.IntN(6) > 0 {
			all = append(all, scheduler.MachineID(fmt.Sprint("m", i)))
		}
	}
	return MachinesListed{Machines: all, FullSnapshot: s.rng.IntN(2) == 0}
}

// fold adds an action to the digest, without the message and attributes of a log line.
func (s *recordedSequence) fold(a Action) {
	d, now := s.digest, s.now
	switch a := a.(type) {
	case CloseClient:
		d.Add(1, now, a.Client, a.Reason.Error())
	case Admit:
		d.Add(2, now, a.Client, a.Request)
		s.admittedRequests = append(s.admittedRequests, a.Request)
	case Reject:
		d.Add(3, now, a.Client, a.ID, a.Reason.Error(), a.RetryAfter)
	case AlreadyRunning:
		d.Add(4, now, a.Client, a.ID, a.RunningID, a.Machine)
	case TerminateContainer:
		d.Add(5, now, a.Client, a.ID, a.RequestedID)
	case AlreadyTerminated:
		d.Add(6, now, a.Client, a.ID)
	case NotRunning:
		d.Add(7, now, a.Client, a.ID)
	case CancelAttempt:
		d.Add(8, now, a.Machine, a.Incarnation, a.Attempt)
	case Adopt:
		d.Add(9, now, a.Attempt)
	case ContainerLost:
		d.Add(10, now, a.ID, a.Confirmed)
	case ConnectMachine:
		d.Add(11, now, a.Machine)
		s.connectingMachines = append(s.connectingMachines, a.Machine)
	case RecoveryComplete:
		d.Add(12, now)
	case AllMachinesReported:
		d.Add(13, now)
	case AttemptResolved:
		d.Add(14, now, a.Attempt)
	case SetTimer:
		d.Add(15, now, a.After)
	case Log:
		d.Add(16, now)
	default:
		panic(fmt.Sprintf("action %T is not folded", a))
	}
}

func (s *recordedSequence) run(steps int) {
	for range steps {
		events := make([]Event, s.rng.IntN(4))
		for i := range events {
			events[i] = s.event()
		}
		for _, a := range s.reconciler.Handle(s.now, events) {
			s.fold(a)
		}
		s.digest.Add(17, s.reconciler.UnresolvedKeys())
		if limiter := s.reconciler.Limiter(); limiter != nil {
			s.digest.Add(18, limiter.Open(), limiter.Limit())
		}
		switch s.rng.IntN(4) {
		case 0:
			s.now += scheduler.Time(s.rng.IntN(3000))
		case 1:
			s.now += scheduler.Time(s.rng.IntN(200))
		}
		if s.rng.IntN(60) == 0 {
			s.now += scheduler.Time(s.rng.IntN(60_000))
		}
	}
}

func TestActionsMatchRecordedDigests(t *testing.T) {
	wide := admission.Limits{Clients: 4, OpenRequests: 1000, OpenRequestsPerClient: 100}
	classes := []overload.WorkloadClass{
		{LatencyObjective: 100 * scheduler.Millisecond, PriorityWeight: 1},
		{LatencyObjective: scheduler.Second, PriorityWeight: 2},
		{LatencyObjective: scheduler.Second, PriorityWeight: 4},
	}
	tight := admission.Limits{Clients: 2, OpenRequests: 8, OpenRequestsPerClient: 3}
	many := admission.Limits{Clients: 5, OpenRequests: 60, OpenRequestsPerClient: 60}
	var lines []string
	for i, group := range []struct {
		name     string
		limits   admission.Limits
		coverage recovery.LogCoverage
		classes  []overload.WorkloadClass
		ids      int
	}{
		{"no log", wide, recovery.LogNone, nil, 30},
		{"synced log", wide, recovery.LogSynced, nil, 30},
		{"complete log", wide, recovery.LogComplete, nil, 30},
		{"tight limits", tight, recovery.LogComplete, nil, 60},
		{"overload", many, recovery.LogComplete, classes, 400},
	} {
		d := golden.NewDigest()
		for seed := range uint64(120) {
			s := &recordedSequence{
				rng:    rand.New(rand.NewPCG(seed, uint64(i))),
				digest: d,
				ids:    group.ids,
				now:    scheduler.Time(seed % 2 * 1000),
			}
			s.reconciler = New(Config{
				Incarnation:     recordedIncarnation,
				Limits:          group.limits,
				Idempotency:     idempotency,
				LogCoverage:     group.coverage,
				OverloadClasses: group.classes,
			})
			s.run(300)
		}
		lines = append(lines, d.Line(group.name))
	}
	golden.Check(t, "testdata/digests.txt", lines)
}
