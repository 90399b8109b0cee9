package announce

import (
	"cmp"
	"maps"
	"slices"

	"glenport/scheduler"
)

// minUpdateInterval is the minimum time between two updates of one address. It is half of the two seconds within which
// a withdrawal must follow the end of the last container, so that a withdrawal can be deferred too.
const minUpdateInterval = scheduler.Second

// Announcer holds the state of all services. A service is kept while it is configured or announced, has containers or a
// damping penalty, or was updated less than minUpdateInterval ago.
type Announcer struct {
	now      scheduler.Time
	actions  []Action
	services map[string]*service
	changed  map[string]bool // names of services to update after the current events
	wakeAt   scheduler.Time  // when the earliest timer fires
}

// New returns an Announcer without services.
func New() *Announcer { return &Announcer{services: map[string]*service{}} }

// Handle handles the events that occurred up to now and returns the resulting actions in order.
func (a *Announcer) Handle(now scheduler.Time, events []Event) []Action {
	a.now, a.actions, a.changed = now, nil, map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case ServiceSet:
			a.setService(e)
		case ServiceRemoved:
			a.removeService(e)
		case ContainerRunning:
			a.addContainer(e)
		case ContainerEnded:
			a.removeContainer(e)
		case TimerFired:
			a.markPending()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.changed)) {
		a.update(a.services[name])
	}
	a.setTimer()
	return a.actions
}

func (a *Announcer) setService(e ServiceSet) {
	s := a.findOrAdd(e.Name)
	s.configured, s.config = true, e.Service
	a.changed[e.Name] = true
}

func (a *Announcer) removeService(e ServiceRemoved) {
	if s := a.services[e.Name]; s != nil {
		s.configured = false
		a.changed[e.Name] = true
	}
}

func (a *Announcer) addContainer(e ContainerRunning) {
	a.findOrAdd(e.Service).containers[e.Container] = e.Draining
	a.changed[e.Service] = true
}

func (a *Announcer) removeContainer(e ContainerEnded) {
	if s := a.services[e.Service]; s != nil {
		delete(s.containers, e.Container)
		a.changed[e.Service] = true
	}
}

// markPending marks the services with a pending change or a damping penalty for an update.
func (a *Announcer) markPending() {
	for name, s := range a.services {
		if s.route.pending() || s.damping.suppressed || s.damping.penalty > 0 {
			a.changed[name] = true
		}
	}
}

func (a *Announcer) findOrAdd(name string) *service {
	s := a.services[name]
	if s == nil {
		s = &service{name: name, containers: map[string]bool{}}
		a.services[name] = s
	}
	return s
}

func (a *Announcer) emit(x Action) { a.actions = append(a.actions, x) }

// update sends the change of a service's route, or defers it until minUpdateInterval has passed. A deferred change that
// is reverted in the meantime is never sent.
func (a *Announcer) update(s *service) {
	s.damping.decay(a.now)
	if s.damping.endSuppression() {
		a.emit(Log{
			Message: "route no longer suppressed by flap damping", Prefix: s.config.Prefix, Penalty: s.damping.penalty,
		})
	}
	path, wanted := s.desiredPath()
	prefixChanged := s.route.announced() && wanted && s.route.prefix != s.config.Prefix
	switch {
	case !prefixChanged && s.route.matches(path, wanted):
		a.transition(s, changeSettled)
		a.evictIfUnused(s)
	case s.route.mustWait(a.now):
		a.transition(s, changeDeferred)
	case prefixChanged:
		a.withdraw(s, addressMoved)
	case s.route.announced() && !wanted:
		a.withdraw(s, withdrawalSent)
		a.evictIfUnused(s)
	default:
		a.announce(s, path)
	}
}

// transition applies an event to the state of a service's route and reports whether the event is legal in that state.
// An illegal event is logged.
func (a *Announcer) transition(s *service, e routeEvent) bool {
	err := s.route.transition(e)
	if err != nil {
		a.emit(Log{Message: "illegal route state transition", Prefix: s.route.prefix, Err: err})
	}
	return err == nil
}

func (a *Announcer) announce(s *service, path Path) {
	if !a.transition(s, pathSent) {
		return
	}
	a.emit(Announce{Prefix: s.config.Prefix, Path: path})
	s.route.path, s.route.prefix = path, s.config.Prefix
	s.route.recordUpdate(a.now)
}

// withdraw sends a withdrawal. The event is addressMoved if a route for another address follows, otherwise
// withdrawalSent.
func (a *Announcer) withdraw(s *service, e routeEvent) {
	if !a.transition(s, e) {
		return
	}
	a.emit(Withdraw{Prefix: s.route.prefix})
	if s.damping.addWithdrawal() {
		a.emit(Log{
			Message: "route suppressed by flap damping", Prefix: s.route.prefix, Penalty: s.damping.penalty,
		})
	}
	s.route.recordUpdate(a.now)
}

func (a *Announcer) evictIfUnused(s *service) {
	if s.unused() && s.damping.penalty == 0 && a.now >= s.route.nextUpdateAt() {
		delete(a.services, s.name)
	}
}

// setTimer sets the timer for the earliest update that is due without another event, unless a timer already fires by
// then.
func (a *Announcer) setTimer() {
	next := scheduler.Time(0)
	for _, s := range a.services {
		if at := s.nextUpdate(a.now); at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if next > 0 && (a.wakeAt <= a.now || next < a.wakeAt) {
		a.wakeAt = next
		a.emit(SetTimer{After: next - a.now})
	}
}

// Announced returns all announced routes, sorted by prefix. A peer receives them when its session is established.
func (a *Announcer) Announced() []Announce {
	var all []Announce
	for _, s := range a.services {
		if s.route.announced() {
			all = append(all, Announce{Prefix: s.route.prefix, Path: s.route.path})
		}
	}
	slices.SortFunc(all, func(x, y Announce) int {
		return cmp.Or(x.Prefix.Compare(y.Prefix), x.Path.Compare(y.Path))
	})
	return all
}

// Status is the state of a service's address, for operators.
type Status struct {
	Announced  bool
	Path       Path // the last announced path, if any
	Running    int  // running containers, including draining ones
	Draining   int
	MinRunning int
	Penalty    float64
	Suppressed bool
	NextUpdate scheduler.Time // when the pending change is sent; 0: no change is pending
}

// Status returns the state of a service's address, and whether the service is known.
func (a *Announcer) Status(name string) (status Status, ok bool) {
	s := a.services[name]
	if s == nil {
		return Status{}, false
	}
	return s.status(), true
}
