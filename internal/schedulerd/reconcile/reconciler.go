// Package reconcile decides what a placer takes in at its door, and what becomes of containers that run, or may
// run, outside the ordinary path of a bid: after a restart of the placer, a broken link, a time-out, or when
// an owner asks again for what runs already. It is pure: Handle takes what happened and returns what is to be
// done. Which machine a container goes to is the placer module's business alone.
package reconcile

import (
	"fmt"
	"sort"

	"glenport/internal/schedulerd/overload"
	"glenport/internal/schedulerd/recovery"
	"glenport/scheduler"
)

// Tuned values.
const (
	maxReconnectAttempts    = 3 // links tried to a machine that runs our containers before they count as lost
	initialReconnectBackoff = 200 * scheduler.Millisecond
	reconnectBackoffFactor  = 4
	retryAfter              = 500 * scheduler.Millisecond
	retryAfterWhenFull      = scheduler.Second
)

// Limits are what the door takes in at most.
type Limits struct {
	Clients               int // links of owners
	OpenRequests          int // containers without a final answer
	OpenRequestsPerClient int
}

// ClientID is an owner's link.
type ClientID uint64

// Attempt is a container at a machine, as the bid of one life of this placer.
type Attempt = recovery.Attempt

// Event is something that happened.
type Event interface{ event() }

type (
	// ClientConnected and Left are an owner's link coming and going.
	ClientConnected    struct{ Client ClientID }
	ClientDisconnected struct{ Client ClientID }
	// PlacementRequested is a submission.
	PlacementRequested struct {
		Client  ClientID
		Request scheduler.PlacementRequest
	}
	// CancelRequested is an owner's word that it no longer wants a container, or what runs under a key.
	CancelRequested struct {
		Client         ClientID
		ID             scheduler.ContainerID
		IdempotencyKey string
	}
	// LookupRequested asks for what runs under a key; nothing is to be started.
	LookupRequested struct {
		Client         ClientID
		ID             scheduler.ContainerID
		IdempotencyKey string
	}
	// RequestFailed is a final answer other than placed; Placed a machine's yes in time.
	RequestFailed   struct{ ID scheduler.ContainerID }
	AttemptAccepted struct {
		ID      scheduler.ContainerID
		Machine scheduler.MachineID
		Attempt uint64
	}
	// ContainerRemoved says that nothing of a container is left at this placer.
	ContainerRemoved struct{ ID scheduler.ContainerID }
	// AttemptRestored is a bid of an earlier life that the log has no end of.
	AttemptRestored struct{ Attempt Attempt }
	// AttemptOutcomeUnknown is a bid that ended without a word that tells whether it ran; Told is the machine's later word that
	// it does not run.
	AttemptOutcomeUnknown struct{ Attempt Attempt }
	AttemptNotRunning     struct{ Attempt Attempt }
	// LateAccept is a yes to a bid that was over.
	LateAccept struct{ Attempt Attempt }
	// MachineReported is a machine's word on all it holds for this placer.
	MachineReported struct {
		Machine  scheduler.MachineID
		Attempts []Attempt
	}
	// MachineDisconnected is the end of a link, ConnectFailed one that could not be made, perhaps for a want of this placer's own.
	MachineDisconnected struct{ Machine scheduler.MachineID }
	ConnectFailed       struct {
		Machine       scheduler.MachineID
		LocalShortage bool
	}
	// MachinesListed are machines of a list, all there are where it is whole and fresh; Unnamed is one that is gone.
	MachinesListed struct {
		Machines     []scheduler.MachineID
		FullSnapshot bool
	}
	MachineRemoved struct{ Machine scheduler.MachineID }
	TimerFired     struct{}
)

func (ClientConnected) event()       {}
func (ClientDisconnected) event()    {}
func (PlacementRequested) event()    {}
func (CancelRequested) event()       {}
func (LookupRequested) event()       {}
func (RequestFailed) event()         {}
func (AttemptAccepted) event()       {}
func (ContainerRemoved) event()      {}
func (AttemptRestored) event()       {}
func (AttemptOutcomeUnknown) event() {}
func (AttemptNotRunning) event()     {}
func (LateAccept) event()            {}
func (MachineReported) event()       {}
func (MachineDisconnected) event()   {}
func (ConnectFailed) event()         {}
func (MachinesListed) event()        {}
func (MachineRemoved) event()        {}
func (TimerFired) event()            {}

// Action is something to be done.
type Action interface{ action() }

type (
	// CloseClient ends an owner's link.
	CloseClient struct {
		Client ClientID
		Reason string
	}
	// Admit hands an ask to the placer module; Refuse turns it away.
	Admit struct {
		Client  ClientID
		Request scheduler.PlacementRequest
	}
	Reject struct {
		Client     ClientID
		ID         scheduler.ContainerID
		Reason     string
		RetryAfter scheduler.Time
	}
	// AlreadyRunning answers an ask by what runs already.
	AlreadyRunning struct {
		Client    ClientID
		ID        scheduler.ContainerID
		RunningID scheduler.ContainerID // the id it runs under
		Machine   scheduler.MachineID
	}
	// TerminateContainer ends a container for a caller that knows it by an id, Ceased says that nothing of what it names is there.
	TerminateContainer struct {
		Client      ClientID
		ID          scheduler.ContainerID
		RequestedID scheduler.ContainerID
	}
	AlreadyTerminated struct {
		Client ClientID
		ID     scheduler.ContainerID
	}
	// NotRunning says that nothing runs under the key that a caller looked for.
	NotRunning struct {
		Client ClientID
		ID     scheduler.ContainerID
	}
	// CancelAttempt stops a bid at its machine.
	CancelAttempt struct {
		Machine     scheduler.MachineID
		Incarnation uint64
		Attempt     uint64
	}
	// Adopt takes over what runs.
	Adopt struct{ Attempt Attempt }
	// ContainerLost says that a placed container is gone with its machine, or, where that is only silent, may be.
	ContainerLost struct {
		ID        scheduler.ContainerID
		Confirmed bool
	}
	// ConnectMachine asks for a link to a machine.
	ConnectMachine struct{ Machine scheduler.MachineID }
	// RecoveryComplete says, once, that all that runs from earlier lives is known, as far as it can be.
	RecoveryComplete struct{}
	// AllMachinesReported says, once, that every machine of the list told, or is gone.
	AllMachinesReported struct{}
	// AttemptResolved says that nothing waits for a bid's end any more: its record can go.
	AttemptResolved struct{ Attempt Attempt }
	SetTimer        struct{ After scheduler.Time }
	Log             struct{ Message string }
)

func (CloseClient) action()         {}
func (Admit) action()               {}
func (Reject) action()              {}
func (AlreadyRunning) action()      {}
func (TerminateContainer) action()  {}
func (AlreadyTerminated) action()   {}
func (NotRunning) action()          {}
func (CancelAttempt) action()       {}
func (Adopt) action()               {}
func (ContainerLost) action()       {}
func (ConnectMachine) action()      {}
func (RecoveryComplete) action()    {}
func (AttemptResolved) action()     {}
func (AllMachinesReported) action() {}
func (SetTimer) action()            {}
func (Log) action()                 {}

// Reconciler is the custody of one life of a placer. Containers leave it when they end, callers with their link,
// machines once they told, came back or are gone.
type Reconciler struct {
	incarnation uint64
	limits      Limits
	idempotency []scheduler.Idempotency
	now         scheduler.Time
	tracker     *recovery.Tracker // what waits for a machine's word
	limiter     *overload.Limiter // what is turned away because more comes than can be served
	actions     []Action

	containers   map[scheduler.ContainerID]*container
	byKey        map[string]*container
	running      map[scheduler.MachineID]map[*container]bool // that run there
	openRequests int
	openByClient map[ClientID]int // open containers of each
	reconnects   map[scheduler.MachineID]*reconnect
	timerAt      scheduler.Time
}

type container struct {
	id            scheduler.ContainerID
	key           string
	client        ClientID
	open          bool
	admittedAt    scheduler.Time
	workloadClass int
	machine       scheduler.MachineID // where it runs, by which bid of which life
	incarnation   uint64
	attempt       uint64
	terminating   bool     // it was called off when it was found, and has not ended yet
	lateAccept    *Attempt // a bid that was over and runs, while the container is still open
}

// reconnect is a broken link to a machine that runs our containers.
type reconnect struct {
	attempts int
	waiting  bool           // no try is under way
	nextAt   scheduler.Time // when the next one is
	backoff  scheduler.Time
}

// New begins a life; log is how much is known of the bids of earlier ones. With agreed times for the workloads the door
// narrows when starts become slow.
func New(life uint64, b Limits, effects []scheduler.Idempotency, log recovery.LogCoverage, calm []overload.WorkloadClass) *Reconciler {
	var door *overload.Limiter
	if len(calm) > 0 {
		door = overload.New(overload.Config{Seed: life, WorkloadClasses: calm, MaxOpen: b.OpenRequests})
	}
	return &Reconciler{incarnation: life, limits: b, idempotency: effects, tracker: recovery.NewTracker(log, effects), limiter: door, containers: map[scheduler.ContainerID]*container{},
		byKey: map[string]*container{}, running: map[scheduler.MachineID]map[*container]bool{},
		openByClient: map[ClientID]int{}, reconnects: map[scheduler.MachineID]*reconnect{}}
}

// Handle takes what happened by now and returns what is to be done, in that order.
func (t *Reconciler) Handle(now scheduler.Time, events []Event) []Action {
	t.now, t.actions = now, nil
	t.forward(recovery.Tick{})
	for _, e := range events {
		switch e := e.(type) {
		case ClientConnected:
			t.clientConnected(e.Client)
		case ClientDisconnected:
			delete(t.openByClient, e.Client)
		case PlacementRequested:
			t.placementRequested(e)
		case CancelRequested:
			t.cancelRequested(e)
		case LookupRequested:
			t.lookupRequested(e)
		case RequestFailed:
			if c := t.containers[e.ID]; c != nil {
				t.closeRequest(c, overload.RequestFailed{WorkloadClass: c.workloadClass})
			}
		case AttemptAccepted:
			t.attemptAccepted(e)
		case ContainerRemoved:
			t.containerRemoved(e.ID)
		case AttemptRestored:
			t.forward(recovery.AttemptRestored{Attempt: e.Attempt})
		case AttemptOutcomeUnknown:
			t.forward(recovery.AttemptOutcomeUnknown{Attempt: e.Attempt})
		case AttemptNotRunning:
			t.forward(recovery.AttemptNotRunning{Attempt: e.Attempt})
		case LateAccept:
			t.forward(recovery.AttemptNotRunning{Attempt: e.Attempt}) // it is known now
			t.lateAccept(e.Attempt)
		case MachineReported:
			t.machineReported(e)
		case MachineDisconnected:
			t.forward(recovery.MachineDisconnected{Machine: e.Machine})
			if len(t.running[e.Machine]) > 0 && t.reconnects[e.Machine] == nil {
				t.reconnects[e.Machine] = &reconnect{backoff: initialReconnectBackoff, waiting: true, nextAt: now}
			}
		case ConnectFailed:
			t.connectFailed(e.Machine, e.LocalShortage)
		case MachinesListed:
			t.forward(recovery.MachinesListed{Machines: e.Machines, FullSnapshot: e.FullSnapshot})
		case MachineRemoved:
			t.forward(recovery.MachineRemoved{Machine: e.Machine})
		}
	}
	t.runTimers()
	return t.actions
}

func (t *Reconciler) emit(a Action) { t.actions = append(t.actions, a) }

// forward hands on what tells of bids that may run.
func (t *Reconciler) forward(e recovery.Event) {
	for _, a := range t.tracker.Handle(t.now, e) {
		switch a := a.(type) {
		case recovery.ConnectMachine:
			t.emit(ConnectMachine{a.Machine})
		case recovery.AttemptResolved:
			t.emit(AttemptResolved{a.Attempt})
		case recovery.Completed:
			t.emit(RecoveryComplete{})
		case recovery.AllMachinesReported:
			t.emit(AllMachinesReported{})
		}
	}
}

func (t *Reconciler) clientConnected(c ClientID) {
	if len(t.openByClient) >= t.limits.Clients {
		t.emit(CloseClient{c, fmt.Sprintf("%d owners are connected, no more are taken", len(t.openByClient))})
		return
	}
	t.openByClient[c] = 0
}

// placementRequested guards the door: the bounds, ids and keys that are open already, and, after a start, keys that may
// run where nobody has told yet. Everything refused here was never bid, so asking again does no harm.
func (t *Reconciler) placementRequested(e PlacementRequested) {
	refuse := func(wait scheduler.Time, format string, a ...any) {
		t.emit(Reject{e.Client, e.Request.ID, fmt.Sprintf(format, a...), wait})
	}
	n, known := t.openByClient[e.Client]
	switch c := t.byKey[e.Request.IdempotencyKey]; {
	case !known:
		return // its link is gone, nobody would hear
	case e.Request.WorkloadClass >= len(t.idempotency):
		refuse(0, "there is no workload %d", e.Request.WorkloadClass)
	case t.containers[e.Request.ID] != nil:
		refuse(0, "container %s is known already", e.Request.ID)
	case c != nil && c.terminating:
		refuse(retryAfter, "an earlier bid of key %s is being called off", e.Request.IdempotencyKey)
	case c != nil && c.machine != "":
		t.emit(AlreadyRunning{e.Client, e.Request.ID, c.id, c.machine})
	case c != nil && (c.open || c.lateAccept != nil):
		refuse(retryAfter, "key %s is being placed as %s", e.Request.IdempotencyKey, c.id)
	case t.openRequests >= t.limits.OpenRequests:
		refuse(retryAfterWhenFull, "%d containers are open, no more are taken", t.openRequests)
	case n >= t.limits.OpenRequestsPerClient:
		refuse(retryAfterWhenFull, "%d containers of this owner are open, no more are taken", n)
	case t.tracker.CheckPlacement(e.Request) != nil:
		refuse(retryAfter, "%s", t.tracker.CheckPlacement(e.Request))
	default:
		if t.shed(e) {
			return
		}
		c := &container{id: e.Request.ID, key: e.Request.IdempotencyKey, client: e.Client, open: true, workloadClass: e.Request.WorkloadClass, admittedAt: t.now}
		t.containers[c.id], t.byKey[c.key] = c, c
		t.openRequests++
		t.openByClient[e.Client]++
		t.emit(Admit{e.Client, e.Request})
	}
}

// cancelRequested ends what an id or a key stands for. Where a key is named and nothing is known of it, the answer tells
// whether that is sure: a placer that has just come up does not know yet what runs.
func (t *Reconciler) cancelRequested(e CancelRequested) {
	c := t.containers[e.ID]
	if c == nil {
		c = t.byKey[e.IdempotencyKey]
	}
	switch {
	case c != nil:
		if c.lateAccept != nil { // or it would be taken over, and nobody would end it
			t.cancelAttempt(*c.lateAccept)
			c.lateAccept = nil
		}
		t.emit(TerminateContainer{e.Client, c.id, e.ID})
	case e.IdempotencyKey == "":
	case t.tracker.CheckKey(e.IdempotencyKey) != nil:
		t.emit(Reject{e.Client, e.ID, t.tracker.CheckKey(e.IdempotencyKey).Error(), retryAfter})
	default:
		t.emit(AlreadyTerminated{e.Client, e.ID})
	}
}

// shed turns an ask away when more comes than can be served, with the time at which to come back.
func (t *Reconciler) shed(e PlacementRequested) (turned bool) {
	if t.limiter == nil {
		return false
	}
	client := fmt.Sprint(e.Client, "/", e.Request.Tenant)
	for _, a := range t.limiter.Handle(t.now, overload.RequestReceived{Client: client, WorkloadClass: e.Request.WorkloadClass, ClientRetry: e.Request.ClientRetry}) {
		switch a := a.(type) {
		case overload.Shed:
			t.emit(Reject{e.Client, e.Request.ID, "storm: " + a.Reason.String(), a.RetryAfter})
			turned = true
		case overload.SheddingStarted:
			t.emit(Log{"load shedding started"})
		case overload.SheddingEnded:
			t.emit(Log{"load shedding ended"})
		}
	}
	return turned
}

// lookupRequested tells what runs under a key, once that is sure.
func (t *Reconciler) lookupRequested(e LookupRequested) {
	switch c := t.byKey[e.IdempotencyKey]; {
	case c != nil && c.machine != "" && !c.terminating:
		t.emit(AlreadyRunning{e.Client, e.ID, c.id, c.machine})
	case c != nil:
		t.emit(Reject{e.Client, e.ID, fmt.Sprintf("key %s is being placed, or ended, as %s", e.IdempotencyKey, c.id), retryAfter})
	case t.tracker.CheckKey(e.IdempotencyKey) != nil:
		t.emit(Reject{e.Client, e.ID, t.tracker.CheckKey(e.IdempotencyKey).Error(), retryAfter})
	default:
		t.emit(NotRunning{e.Client, e.ID})
	}
}

// closeRequest notes that a container's final answer is out.
func (t *Reconciler) closeRequest(c *container, how overload.Event) {
	if !c.open {
		return
	}
	c.open = false
	t.openRequests--
	if t.limiter != nil {
		t.limiter.Handle(t.now, how)
	}
	if n, ok := t.openByClient[c.client]; ok {
		t.openByClient[c.client] = n - 1
	}
}

func (t *Reconciler) attemptAccepted(e AttemptAccepted) {
	c := t.containers[e.ID]
	if c == nil {
		return
	}
	t.closeRequest(c, overload.RequestStarted{WorkloadClass: c.workloadClass, Elapsed: t.now - c.admittedAt})
	t.setRunning(c, e.Machine, t.incarnation, e.Attempt)
	if c.lateAccept != nil { // its earlier bid ran after all: one copy is enough
		t.cancelAttempt(*c.lateAccept)
		c.lateAccept = nil
	}
}

func (t *Reconciler) setRunning(c *container, m scheduler.MachineID, life, bid uint64) {
	c.machine, c.incarnation, c.attempt = m, life, bid
	if t.running[m] == nil {
		t.running[m] = map[*container]bool{}
	}
	t.running[m][c] = true
}

func (t *Reconciler) containerRemoved(id scheduler.ContainerID) {
	c := t.containers[id]
	if c == nil {
		return
	}
	t.closeRequest(c, overload.RequestFailed{WorkloadClass: c.workloadClass})
	delete(t.containers, id)
	if t.byKey[c.key] == c {
		delete(t.byKey, c.key)
	}
	if c.machine != "" {
		delete(t.running[c.machine], c)
		if len(t.running[c.machine]) == 0 {
			delete(t.running, c.machine)
			delete(t.reconnects, c.machine)
		}
	}
	if c.lateAccept != nil {
		t.adopt(*c.lateAccept)
	}
}

func (t *Reconciler) cancelAttempt(h Attempt) {
	t.emit(CancelAttempt{h.Machine, h.Incarnation, h.Number})
}

// lateAccept settles a bid that turns out to run though it was over. Reissuable work is stopped: its container
// went elsewhere or was handed back, and a copy that nobody waits for only takes room. What must not run twice
// is never stopped for that; it is taken over once its container is closed.
func (t *Reconciler) lateAccept(h Attempt) {
	switch c := t.containers[h.Request.ID]; {
	case t.idempotencyOf(h) == scheduler.Idempotent:
		t.cancelAttempt(h)
	case c == nil:
		t.adopt(h)
	case c.machine != "":
		if c.machine != h.Machine || c.attempt != h.Number {
			t.cancelAttempt(h)
		}
	case c.lateAccept == nil:
		c.lateAccept = &h
	default:
		t.cancelAttempt(h)
	}
}

func (t *Reconciler) idempotencyOf(h Attempt) scheduler.Idempotency {
	if h.Request.WorkloadClass < len(t.idempotency) {
		return t.idempotency[h.Request.WorkloadClass]
	}
	return scheduler.AtMostOnce
}

// adopt takes over what runs, unless its key runs or is being placed here under another id.
func (t *Reconciler) adopt(h Attempt) {
	if h.Request.WorkloadClass >= len(t.idempotency) {
		t.emit(Log{fmt.Sprintf("machine %s runs %s of unknown workload %d: left alone", h.Machine, h.Request.ID, h.Request.WorkloadClass)})
		return
	}
	if t.containers[h.Request.ID] != nil {
		return
	}
	if o := t.byKey[h.Request.IdempotencyKey]; o != nil && (o.machine != "" || t.idempotencyOf(h) == scheduler.Idempotent) {
		t.cancelAttempt(h)
		return
	}
	c := &container{id: h.Request.ID, key: h.Request.IdempotencyKey, terminating: !h.Running}
	t.containers[c.id] = c
	if t.byKey[c.key] == nil {
		t.byKey[c.key] = c
	}
	t.setRunning(c, h.Machine, h.Incarnation, h.Number)
	t.emit(Adopt{h})
}

// machineReported compares a machine's word with what is known. What should run there and is not named is lost. What is
// named and not known comes from an earlier life or from a bid that was over: offers that only wait are called
// off, as nobody would hear their answer.
func (t *Reconciler) machineReported(e MachineReported) {
	t.forward(recovery.MachineReported{Machine: e.Machine})
	delete(t.reconnects, e.Machine)
	named := map[[2]uint64]bool{}
	for _, h := range e.Attempts {
		named[[2]uint64{h.Incarnation, h.Number}] = true
	}
	for _, c := range t.runningAt(e.Machine) {
		if !named[[2]uint64{c.incarnation, c.attempt}] {
			t.emit(ContainerLost{c.id, true})
		}
	}
	took := 0
	for _, h := range e.Attempts {
		c := t.containers[h.Request.ID]
		switch {
		case c != nil && c.machine == e.Machine && c.incarnation == h.Incarnation && c.attempt == h.Number:
		case !h.Running: // it counts until its machine says that it is over
			t.cancelAttempt(h)
			if h.Incarnation != t.incarnation {
				t.adopt(h)
			}
		case h.Incarnation == t.incarnation:
			t.lateAccept(h)
		default:
			took++
			t.adopt(h)
		}
	}
	if took > 0 {
		t.emit(Log{fmt.Sprintf("machine %s runs %d containers of an earlier life: taken over", e.Machine, took)})
	}
}

// runningAt is in order of ids, so that equal events are answered alike.
func (t *Reconciler) runningAt(m scheduler.MachineID) []*container {
	all := make([]*container, 0, len(t.running[m]))
	for c := range t.running[m] {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// connectFailed gives up a machine's containers after some tries. A short loss of the link costs nothing then, and a
// dead machine is known a second after it died; containers that run on behind a longer cut are taken over, or
// stopped, when it ends. A try that failed for a want of this placer's own tells nothing of the machine.
func (t *Reconciler) connectFailed(m scheduler.MachineID, short bool) {
	t.forward(recovery.ConnectFailed{Machine: m})
	g := t.reconnects[m]
	if g == nil {
		return
	}
	if short {
		g.attempts, g.waiting, g.nextAt = g.attempts-1, true, t.now+initialReconnectBackoff
		return
	}
	if g.attempts < maxReconnectAttempts {
		g.waiting, g.nextAt, g.backoff = true, t.now+g.backoff, g.backoff*reconnectBackoffFactor
		return
	}
	lost := t.runningAt(m)
	t.emit(Log{fmt.Sprintf("machine %s: no link in %d tries, %d containers lost", m, g.attempts, len(lost))})
	delete(t.reconnects, m)
	for _, c := range lost {
		t.emit(ContainerLost{c.id, false})
	}
	// Behind a cut they run on, and nothing else may call that machine for long: it is asked until it tells, or
	// until the list says that it is gone.
	t.forward(recovery.MachineUnreachable{Machine: m})
}

// runTimers does what its time has come for and sets the next waking.
func (t *Reconciler) runTimers() {
	next := scheduler.Time(0)
	later := func(at scheduler.Time) {
		if next == 0 || at < next {
			next = at
		}
	}
	t.forward(recovery.Tick{})
	if at := t.tracker.NextTimer(); at > 0 {
		later(at)
	}
	var retry []scheduler.MachineID
	for m, g := range t.reconnects {
		if g.waiting && g.nextAt <= t.now {
			retry = append(retry, m)
		} else if g.waiting {
			later(g.nextAt)
		}
	}
	sort.Slice(retry, func(i, j int) bool { return retry[i] < retry[j] })
	for _, m := range retry {
		t.reconnects[m].waiting = false
		t.reconnects[m].attempts++
		t.emit(ConnectMachine{m})
	}
	if next > 0 && (t.timerAt <= t.now || next < t.timerAt) {
		t.timerAt = next
		t.emit(SetTimer{next - t.now})
	}
}

// UnresolvedKeys is the number of keys that wait for a machine's word.
func (t *Reconciler) UnresolvedKeys() int { return t.tracker.UnresolvedKeys() }

// Limiter is what is turned away because more comes than can be served; nil where nothing is.
func (t *Reconciler) Limiter() *overload.Limiter { return t.limiter }
