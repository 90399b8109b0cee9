package schedulerd

import (
	"cmp"
	"maps"
	"slices"

	"glenport/internal/eventloop"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

// attempt is an offer of a container to a machine.
type attempt struct {
	number      uint64
	incarnation uint64 // of the scheduler that made it
	ordinal     int    // among the attempts of its container, from 0
	container   *container
	machine     *machine
	state       attemptState
	inLog       bool // the log holds it, and is to forget it at its end
	decidedAt   eventloop.Tick
	deadline    eventloop.Tick
	timer       *eventloop.Timer // for the deadline; nil once accepted or timed out

	machineIncarnation uint64 // when it was decided
	adoptionsBefore    int    // when it was decided
}

func (a *attempt) request() *scheduler.PlacementRequest { return &a.container.request }

// record is the attempt as the reconciler and the log know it.
func (a *attempt) record() reconcile.Attempt {
	return reconcile.Attempt{
		Request:     *a.request(),
		Machine:     a.machine.id,
		Incarnation: a.incarnation,
		Number:      a.number,
		Running:     true,
	}
}

// stale reports whether what a queued attempt was decided on has changed: the machine drains, is gone or has restarted,
// or more containers of the service were found running.
func (a *attempt) stale() bool {
	return a.machine.unavailableSince(a.machineIncarnation) ||
		a.machine.adoptedSince(a.request().Service, a.adoptionsBefore)
}

// inOrder returns attempts in the order in which they were made.
func inOrder(attempts map[uint64]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int { return cmp.Compare(a.number, b.number) })
}
