package platform

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"glenport/internal/platform/adoption"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

var (
	// errDuplicateRequest closes the connection, because the client could not tell which request an answer belongs to.
	errDuplicateRequest = errors.New("two open requests with the same id on one connection")
	errRequestOpen      = errors.New("a request with this id is open")
)

// containerRegistry holds the containers that were requested or are running.
type containerRegistry struct {
	env                *environment
	machines           *machineRegistry
	containers         map[scheduler.ContainerID]*container // by ID; each until it is answered and has no attempt
	unansweredRequests int                                  // number of containers whose request is not answered
}

func newContainerRegistry(env *environment, machines *machineRegistry) *containerRegistry {
	return &containerRegistry{env: env, machines: machines, containers: map[scheduler.ContainerID]*container{}}
}

func (r *containerRegistry) lookup(id scheduler.ContainerID) *container { return r.containers[id] }

func (r *containerRegistry) count() int { return len(r.containers) }

// unansweredCount is the number of containers whose request is not answered.
func (r *containerRegistry) unansweredCount() int { return r.unansweredRequests }

// checkUnused returns an error if the identifier of a new request is in use.
func (r *containerRegistry) checkUnused(id scheduler.ContainerID, cc *clientConn) error {
	c := r.containers[id]
	switch {
	case c == nil:
		return nil
	case c.isOpenRequestOf(cc):
		return errDuplicateRequest
	}
	return errRequestOpen
}

// open registers a request to place a container.
func (r *containerRegistry) open(cc *clientConn, offer placementOffer) {
	c := &container{
		env:            r.env,
		registry:       r,
		request:        offer.request,
		className:      offer.className,
		idempotencyKey: offer.idempotencyKey,
		description:    offer.description,
		client:         cc,
	}
	r.containers[c.request.ID] = c
	r.unansweredRequests++
	r.env.notifyConnManager(connmanager.PlacementRequested{Client: cc.id})
	r.env.notifyScheduler(scheduler.RequestReceived{PlacementRequest: c.request})
}

// requestClosed counts a request that was answered or cancelled.
func (r *containerRegistry) requestClosed() { r.unansweredRequests-- }

func (r *containerRegistry) remove(c *container) {
	delete(r.containers, c.request.ID)
	r.env.claims.Remove(string(c.request.ID))
	if c.pendingClaim != nil {
		r.adopt(*c.pendingClaim)
	}
}

// startAttempt carries out the scheduler's decision to offer a container to a machine.
func (r *containerRegistry) startAttempt(action scheduler.StartAttempt) {
	c := r.containers[action.ID]
	if c == nil || !c.awaitsAttempt() {
		// The client was disconnected in the same batch, because the answer to another of its requests could not be
		// written. The attempt still needs an outcome: without one the scheduler would count it as pending forever.
		r.env.log.Info("attempt not started: request is not open", "request_id", action.ID)
		r.env.notifyScheduler(scheduler.AttemptEnded{
			ID: action.ID, Machine: action.Machine, Outcome: scheduler.OutcomeNotSent, Final: true,
		})
		return
	}
	c.startAttempt(r.machines.getOrAdd(action.Machine), action.Timeout)
}

// cancelAttempt carries out the scheduler's cancellation of a pending attempt.
func (r *containerRegistry) cancelAttempt(action scheduler.CancelAttempt) {
	if c := r.containers[action.ID]; c != nil {
		c.cancelAttempt(action.Attempt)
	}
}

// answer sends the one final answer to a request, if it is open.
func (r *containerRegistry) answer(id scheduler.ContainerID, msg *jsonlines.Message) {
	if c := r.containers[id]; c != nil {
		c.answer(msg)
	}
}

// clientDisconnected closes the open requests of a connection that has ended.
func (r *containerRegistry) clientDisconnected(cc *clientConn) {
	for _, c := range r.requestedOn(cc) {
		c.clientDisconnected()
	}
	r.env.claims.ClientDisconnected(adoption.ClientID(cc.id))
}

// requestedOn returns the containers that were requested on a connection, by identifier.
func (r *containerRegistry) requestedOn(cc *clientConn) []*container {
	var requested []*container
	for _, c := range r.containers {
		if c.wasRequestedOn(cc) {
			requested = append(requested, c)
		}
	}
	slices.SortFunc(requested, func(a, b *container) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return requested
}

// endOpenAttempts ends the attempts of unanswered requests. The scheduler then answers each request as it does after
// the deadline of the request.
func (r *containerRegistry) endOpenAttempts() {
	for _, id := range sortedKeys(r.containers) {
		r.containers[id].endOpenAttempt()
	}
}

// sortedKeys returns the keys of a map in order, so that effects do not depend on the iteration order of the map.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
