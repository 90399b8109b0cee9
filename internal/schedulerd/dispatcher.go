package schedulerd

import (
	"glenport/internal/adoptions"
	"glenport/internal/eventloop"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// attemptDispatcher sends attempts to machines. Each attempt, sent or not, ends in exactly one AttemptEnded.
type attemptDispatcher struct {
	*process
	decisions  *decisions
	machines   *machineRegistry
	containers *containerRegistry
	routes     *routeAnnouncer
	state      *stateStore // nil if nothing is persisted
	adoptions  adoptions.Tracker
	lastNumber uint64 // starts at the incarnation, so that attempt numbers are unique across incarnations
}

// start starts an attempt. The offer is sent immediately if the connection is ready and nothing has to be logged first;
// otherwise the attempt is queued.
func (d *attemptDispatcher) start(action scheduler.StartAttempt) {
	c, m := d.containers.find(action.ID), d.machines.find(action.Machine)
	if c == nil {
		d.log.Error("attempt for an unknown container", "container", action.ID)
		return
	}
	if m == nil || !c.mayStart() {
		d.decisions.notifyScheduler(scheduler.AttemptEnded{
			ID: action.ID, Outcome: scheduler.OutcomeNotSent, Machine: action.Machine,
			Attempt: c.attemptCount(), Final: c.isAnswered(),
		})
		return
	}
	a := d.newAttempt(c, m, eventloop.Tick(action.Timeout))
	if d.state != nil {
		d.persist(a)
	}
	if m.ready() && !a.awaitsLog() {
		d.send(a)
		return
	}
	d.enqueue(a)
}

// newAttempt creates an attempt and starts its timer. Without a timeout it expires at the deadline of the request.
func (d *attemptDispatcher) newAttempt(c *container, m *machine, timeout eventloop.Tick) *attempt {
	now := d.loop.Now()
	deadline := eventloop.Tick(c.request.Deadline)
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	d.lastNumber++
	a := &attempt{
		number:             d.lastNumber,
		incarnation:        d.incarnation,
		container:          c,
		machine:            m,
		state:              attemptQueued,
		decidedAt:          now,
		deadline:           deadline,
		machineIncarnation: m.machineStart().Incarnation,
		adoptionsBefore:    d.adoptions.Count(),
	}
	a.ordinal = c.beginAttempt(a)
	a.timer = d.loop.After(deadline-now, func() { d.handleTimeout(a) })
	return a
}

// persist logs the records of an attempt that are needed after a crash. An attempt with such records is not sent until
// the log holds them.
func (d *attemptDispatcher) persist(a *attempt) {
	write, sync := recovery.MustPersist(d.idempotency(a.request().WorkloadClass))
	if write {
		a.inLog = true
		d.state.putAttempt(a.record())
	}
	sendCounted := d.state.logSend(a.machine.id, a.machine.machineStart())
	if !write && !sendCounted {
		return
	}
	a.transition(attemptLogRequired)
	if !sendCounted {
		a.logCommit = d.state.currentCommit()
	}
	logged := func(err error) { d.handleLogged(a, err) }
	if sync {
		d.state.afterSync(logged)
	} else {
		d.state.afterCommit(logged)
	}
}

// handleLogged sends an attempt that waited for the log. An attempt that could not be logged is never sent.
func (d *attemptDispatcher) handleLogged(a *attempt, err error) {
	if err != nil {
		if a.machine.dequeue(a) {
			d.endNotSent(a)
		}
		return
	}
	a.transition(attemptLogged)
	a.machine.sendQueued()
}

// enqueue queues an attempt until the connection is ready and the log holds the attempt, for at most the connect
// timeout. The scheduler charges an attempt to the slow-start budget of a machine when it decides, and reserves only an
// eighth of the slow-start window for the transmission. Attempts that queue up behind a slow connection would arrive
// together and overload the machine.
func (d *attemptDispatcher) enqueue(a *attempt) {
	m := a.machine
	m.enqueue(a)
	d.loop.After(d.config.ConnectTimeout, func() { d.handleQueueTimeout(a) })
	m.connect()
}

// handleQueueTimeout ends an attempt that is still queued. An attempt that waits for the log has the connect timeout
// from the start of its commit, at the end of the iteration that decided it. On a busy machine an iteration may take
// longer than the timeout: every attempt would end before the log could answer, and its successor in the next
// iteration, so that nothing would be placed. An attempt that is charged to a slow-start budget gets no extension.
func (d *attemptDispatcher) handleQueueTimeout(a *attempt) {
	if a.awaitsLog() && a.logCommit != nil {
		if left := a.logCommit.startedAt + d.config.ConnectTimeout - d.loop.ReadClock(); left > 0 {
			d.loop.After(left, func() { d.handleQueueTimeout(a) })
			return
		}
	}
	if a.machine.dequeue(a) {
		d.endUnreached(a)
	}
}

// send sends the offer of an attempt to its machine, whose connection is ready.
func (d *attemptDispatcher) send(a *attempt) {
	if !a.machine.offer(a) {
		d.endNotSent(a)
		return
	}
	a.transition(attemptOfferSent)
	d.stats.countAttempt()
	if submittedAt, first := a.container.firstAttempt(); first {
		d.stats.addFirstAttempt(submittedAt)
	}
}

// endUnreached ends an attempt that was not sent in time. This counts as a failure of the machine only if the attempt
// waited for the connection. If the connection is ready, the attempt waited for the log.
func (d *attemptDispatcher) endUnreached(a *attempt) {
	if a.awaitsLog() || a.machine.ready() {
		d.endNotSent(a)
		return
	}
	d.stats.countOutcome(statConnectFailed)
	d.end(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeConnectFailed})
}

func (d *attemptDispatcher) endNotSent(a *attempt) {
	d.stats.countOutcome(statNotSent)
	d.end(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeNotSent})
}

func (d *attemptDispatcher) handleTimeout(a *attempt) {
	a.timer = nil
	if a.unsent() {
		a.machine.dequeue(a)
		d.endUnreached(a)
		return
	}
	d.stats.countOutcome(statTimedOut)
	a.machine.expire(a)
	d.reportOutcomeUnknown(a)
	d.end(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeTimedOut})
}

// endConnectionLost ends a pending attempt that was sent before the connection was lost.
func (d *attemptDispatcher) endConnectionLost(a *attempt) {
	d.stats.countOutcome(statConnectionLost)
	d.reportOutcomeUnknown(a)
	d.end(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeLost})
}

// accept handles the accept of a machine: the container runs, or will run if the configuration does not equate
// accepting with running.
func (d *attemptDispatcher) accept(a *attempt) {
	if !a.transition(attemptAcceptReceived) {
		return
	}
	c, id := a.container, a.request().ID
	d.loop.Cancel(a.timer)
	a.timer = nil
	d.stats.countStarted()
	d.routes.updateContainer(a)
	d.decisions.notifyReconciler(reconcile.AttemptAccepted{ID: id, Machine: a.machine.id, Attempt: a.number})
	if c.isAnswered() { // too late for the client, but the container is tracked until it ends
		d.decisions.notifyReconciler(reconcile.LateAccept{Attempt: a.record()})
		return
	}
	d.decisions.notifyScheduler(scheduler.AttemptAccepted{
		ID: id, Attempt: a.ordinal, Machine: a.machine.id, Elapsed: d.elapsed(a),
	})
	d.containers.answerPlaced(c, a.machine.id)
}

// cancelPending cancels an attempt that is not accepted yet, at the request of the scheduler.
func (d *attemptDispatcher) cancelPending(action scheduler.CancelAttempt) {
	c := d.containers.find(action.ID)
	if c == nil {
		return
	}
	a := c.currentAttempt()
	if a == nil || a.accepted() || a.ordinal != action.Attempt {
		return
	}
	d.cancel(a, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: c.isAnswered()})
}

// cancel ends an attempt that is not accepted, and cancels it on the machine if it was sent.
func (d *attemptDispatcher) cancel(a *attempt, ended scheduler.AttemptEnded) {
	if a.unsent() {
		a.machine.dequeue(a)
	} else {
		a.machine.cancel(a.incarnation, a.number)
		a.machine.expire(a)
	}
	d.end(a, ended)
}

// terminate asks the machine to stop a running container. The attempt ends with the result from the machine.
func (d *attemptDispatcher) terminate(a *attempt) {
	a.transition(attemptTerminationRequested)
	a.machine.cancel(a.incarnation, a.number)
}

// reportOutcomeUnknown reports to the reconciler that an attempt has ended here but may run on the machine. The
// reconciler decides when the record of the attempt is removed from the log.
func (d *attemptDispatcher) reportOutcomeUnknown(a *attempt) {
	d.decisions.notifyReconciler(reconcile.AttemptOutcomeUnknown{Attempt: a.record()})
	a.inLog = false
}

// end ends an attempt with its outcome, and removes its container if the outcome is final.
func (d *attemptDispatcher) end(a *attempt, ended scheduler.AttemptEnded) {
	before := a.state
	if !a.transition(attemptOutcomeKnown) {
		return
	}
	c, m := a.container, a.machine
	d.loop.Cancel(a.timer)
	m.untrack(a)
	c.endAttempt()
	if before == attemptOffered && ended.Outcome == scheduler.OutcomeStopped { // the cancel may arrive too late
		d.reportOutcomeUnknown(a)
	}
	if a.inLog {
		d.state.removeAttempt(a.number)
	}
	ended.ID, ended.Attempt, ended.Machine = c.request.ID, a.ordinal, m.id
	ended.Elapsed = d.elapsed(a)
	ended.Final = ended.Final || c.isAnswered()
	if before.accepted() {
		d.stats.countEnded()
		d.routes.removeContainer(a)
		c.notifyTerminated(m.id, ended)
	}
	d.decisions.notifyScheduler(ended)
	if ended.Final {
		d.containers.remove(c)
	}
	m.removeIfGone()
}

// adopt creates an accepted attempt for a container that was found running. The container was started by an earlier
// incarnation, or by an attempt that has already ended.
func (d *attemptDispatcher) adopt(c *container, m *machine, found reconcile.Attempt) {
	a := &attempt{
		number:      found.Number,
		incarnation: found.Incarnation,
		container:   c,
		machine:     m,
		state:       attemptRunning,
		decidedAt:   d.loop.Now(),
	}
	a.ordinal = c.beginAttempt(a)
	m.track(a)
	d.adoptions.Adopted(found.Request.Service)
	if d.state == nil {
		return
	}
	if write, _ := recovery.MustPersist(d.idempotency(found.Request.WorkloadClass)); write {
		a.inLog = true
		d.state.putAttempt(found)
	}
}

func (d *attemptDispatcher) elapsed(a *attempt) scheduler.Time {
	return scheduler.Time(d.loop.Now() - a.decidedAt)
}
