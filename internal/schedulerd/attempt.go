package schedulerd

import (
	"cmp"
	"maps"
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// attempt is one try to place a container on a machine.
type attempt struct {
	number      uint64
	incarnation uint64 // incarnation of the scheduler that started the attempt
	ordinal     int    // index among the attempts of its container, from 0
	container   *container
	machine     *machine
	state       attemptState
	inLog       bool         // the log holds a record of the attempt, which is removed when the attempt ends
	logCommit   *commitGroup // commit that it waits for; nil if none, or if it is charged to a slow-start budget
	decidedAt   eventloop.Tick
	deadline    eventloop.Tick
	timer       *eventloop.Timer // fires at the deadline; nil once the attempt is accepted or timed out

	machineIncarnation uint64 // incarnation of the machine when the attempt was decided
	adoptionsBefore    int    // number of adoptions when the attempt was decided
}

func (a *attempt) request() *scheduler.PlacementRequest { return &a.container.request }

// record returns the attempt in the form that the reconciler and the log use.
func (a *attempt) record() reconcile.Attempt {
	return reconcile.Attempt{
		Request:     *a.request(),
		Machine:     a.machine.id,
		Incarnation: a.incarnation,
		Number:      a.number,
		Running:     true,
	}
}

// stale reports whether the decision behind a queued attempt is out of date: the machine drains, is gone or has
// restarted, or more containers of the service were adopted since the decision.
func (a *attempt) stale() bool {
	return a.machine.unavailableSince(a.machineIncarnation) ||
		a.machine.adoptedSince(a.request().Service, a.adoptionsBefore)
}

// inOrder returns the attempts in the order in which they were started.
func inOrder(attempts map[uint64]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int { return cmp.Compare(a.number, b.number) })
}
