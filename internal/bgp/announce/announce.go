// Package announce decides which service addresses are announced by BGP, with which path, and when: from containers
// that run, drain, fail or end, it keeps what each peer is to be told, never more than one change a second for an
// address, and withdraws in time when the last container behind an address has ended. It is pure: Handle takes what
// happened and returns what is to be done.
package announce

import (
	"math"
	"math/bits"
	"net/netip"
	"sort"

	"glenport/scheduler"
)

// Tuned values. Those of the damping are the recommendations of RFC 7196, section 4, with its high threshold.
const (
	pace         = scheduler.Second     // at least between two updates of one address
	lastWithin   = 2 * scheduler.Second // a withdrawal for the last container is out within this
	flapPenalty  = 1000.0               // for each withdrawal
	suppressAt   = 6000.0               // an address is no longer announced from here
	reuseBelow   = 750.0                // and again from here
	halfLife     = 15 * 60 * scheduler.Second
	mostPenalty  = 12000.0 // what half-lives of an hour would come to
	forgetBelow  = 50.0    // a penalty so small is dropped
	drainedPref  = 0       // local preference of what is about to go, RFC 8326
	ordinaryPref = 100
	healthStep   = 10 // of MED, for each halving of what serves below
	healthHalves = 5  // sixteen
)

// GracefulShutdown is the well-known community of RFC 8326.
const GracefulShutdown = 0xFFFF0000

// Path is what goes with a prefix.
type Path struct {
	NextHop     netip.Addr
	Preference  uint32
	MED         uint32
	Communities string // of four bytes each, so that paths compare
}

// Service is an address to be announced while containers behind it run.
type Service struct {
	Prefix      netip.Prefix
	NextHop     netip.Addr
	MED         uint32
	MinRunning  int  // running containers below which it is not announced; 0 counts as 1
	MEDByHealth bool // the more of them serve, the lower the MED: peers prefer the placer with most
}

// Event is something that happened.
type Event interface{ event() }

type (
	// ServiceSet makes or changes a service's address; Dropped ends it.
	ServiceSet struct {
		Name    string
		Service Service
	}
	ServiceRemoved struct{ Name string }
	// ContainerRunning and Ends are a container's; Drains says that its machine is about to go, or is not any more.
	ContainerRunning struct {
		Service, Container string
		Draining           bool
	}
	ContainerEnded struct{ Service, Container string }
	TimerFired     struct{}
)

func (ServiceSet) event()       {}
func (ServiceRemoved) event()   {}
func (ContainerRunning) event() {}
func (ContainerEnded) event()   {}
func (TimerFired) event()       {}

// Action is something to be done.
type Action interface{ action() }

type (
	// Announce replaces the path of a prefix at all peers, Withdraw ends it.
	Announce struct {
		Prefix netip.Prefix
		Path   Path
	}
	Withdraw struct{ Prefix netip.Prefix }
	SetTimer struct{ After scheduler.Time }
	// LogMessage is a change worth a line in the log, with its figure.
	LogMessage struct {
		Prefix  netip.Prefix
		Message string
		Penalty float64
	}
)

func (Announce) action()   {}
func (Withdraw) action()   {}
func (SetTimer) action()   {}
func (LogMessage) action() {}

// Status tells an operator where an address stands.
type Status struct {
	Announced  bool
	Path       Path
	Running    int
	Draining   int
	MinRunning int
	Penalty    float64
	Suppressed bool
	NextUpdate scheduler.Time // 0: at once
}

// Announcer is the state of all services: one entry each while it is offered, runs, or is remembered for its
// flapping.
type Announcer struct {
	now      scheduler.Time
	out      []Action
	services map[string]*service
	wakeAt   scheduler.Time
}

type service struct {
	name       string
	offered    bool
	terms      Service
	containers map[string]bool // whether they drain
	told       bool            // a path stands at the peers
	path       Path
	prefix     netip.Prefix // under which it was told
	toldAt     scheduler.Time
	ever       bool
	due        bool // a change waits for its pace
	penalty    float64
	penaltyAt  scheduler.Time
	suppressed bool
}

func New() *Announcer { return &Announcer{services: map[string]*service{}} }

// Handle takes what happened by now and returns what is to be done.
func (a *Announcer) Handle(now scheduler.Time, events []Event) []Action {
	a.now, a.out = now, nil
	touched := map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case ServiceSet:
			s := a.service(e.Name)
			s.offered, s.terms = true, e.Service
			touched[e.Name] = true
		case ServiceRemoved:
			if s := a.services[e.Name]; s != nil {
				s.offered = false
				touched[e.Name] = true
			}
		case ContainerRunning:
			a.service(e.Service).containers[e.Container] = e.Draining
			touched[e.Service] = true
		case ContainerEnded:
			if s := a.services[e.Service]; s != nil {
				delete(s.containers, e.Container)
				touched[e.Service] = true
			}
		case TimerFired:
			for name, s := range a.services {
				if s.due || s.suppressed || s.penalty > 0 {
					touched[name] = true
				}
			}
		}
	}
	names := make([]string, 0, len(touched))
	for name := range touched {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		a.settle(a.services[name])
	}
	a.setWake()
	return a.out
}

func (a *Announcer) service(name string) *service {
	s := a.services[name]
	if s == nil {
		s = &service{name: name, containers: map[string]bool{}}
		a.services[name] = s
	}
	return s
}

func (a *Announcer) do(x Action) { a.out = append(a.out, x) }

// fade lets a penalty decay to now.
func (s *service) fade(now scheduler.Time) {
	if s.penalty > 0 {
		s.penalty *= math.Exp2(-float64(now-s.penaltyAt) / float64(halfLife))
		if s.penalty < forgetBelow {
			s.penalty = 0
		}
	}
	s.penaltyAt = now
}

// wanted is the path that a service should have now. One whose containers all drain is still announced, but as
// the last choice, so that its traffic moves before it ends.
func (s *service) wanted() (Path, bool) {
	serving := 0
	for _, draining := range s.containers {
		if !draining {
			serving++
		}
	}
	n := len(s.containers)
	if !s.offered || s.suppressed || n == 0 || n < s.terms.MinRunning {
		return Path{}, false
	}
	p := Path{NextHop: s.terms.NextHop, MED: s.terms.MED, Preference: ordinaryPref}
	if s.terms.MEDByHealth { // by halves, so that one more or less of many changes nothing
		p.MED += healthStep * uint32(max(0, healthHalves-bits.Len(uint(serving))))
	}
	if serving == 0 {
		p.Preference = drainedPref
		p.Communities = string([]byte{GracefulShutdown >> 24, GracefulShutdown >> 16 & 0xFF, 0, 0})
	}
	return p, true
}

// settle tells the peers what has changed, if the address's pace allows. What changes back meanwhile is never
// told. A withdrawal waits as others do: the pace is half of the time it has.
func (a *Announcer) settle(s *service) {
	s.fade(a.now)
	if s.suppressed && s.penalty < reuseBelow {
		s.suppressed = false
		a.do(LogMessage{s.terms.Prefix, "announced again as it has been steady", s.penalty})
	}
	path, on := s.wanted()
	moved := s.told && on && s.prefix != s.terms.Prefix
	if on == s.told && (!on || path == s.path && !moved) {
		s.due = false
		a.forget(s)
		return
	}
	if s.ever && a.now < s.toldAt+pace {
		s.due = true
		return
	}
	s.due = false
	if s.told && (!on || moved) {
		a.do(Withdraw{s.prefix})
		s.told = false
		s.penalty = min(mostPenalty, s.penalty+flapPenalty)
		if !s.suppressed && s.penalty >= suppressAt {
			s.suppressed = true
			a.do(LogMessage{s.prefix, "flaps: not announced until it is steady", s.penalty})
		}
		s.toldAt, s.ever = a.now, true
		if moved {
			s.due = true
		}
		a.forget(s)
		return
	}
	a.do(Announce{s.terms.Prefix, path})
	s.told, s.path, s.prefix = true, path, s.terms.Prefix
	s.toldAt, s.ever = a.now, true
}

// forget drops a service that is not offered, not told and not remembered for anything.
func (a *Announcer) forget(s *service) {
	if !s.offered && !s.told && len(s.containers) == 0 && s.penalty == 0 && a.now >= s.toldAt+pace {
		delete(a.services, s.name)
	}
}

// setWake asks to be woken for the first change that waits, and now and then for what fades.
func (a *Announcer) setWake() {
	next := scheduler.Time(0)
	for _, s := range a.services {
		at := scheduler.Time(0)
		switch {
		case s.due:
			at = s.toldAt + pace
		case s.suppressed:
			left := math.Log2(s.penalty/reuseBelow) * float64(halfLife)
			at = a.now + max(pace, scheduler.Time(left)+1)
		case !s.offered && !s.told && len(s.containers) == 0:
			at = max(s.toldAt+pace, a.now+pace)
			if s.penalty > 0 {
				at = a.now + scheduler.Time(math.Log2(max(2, s.penalty/forgetBelow))*float64(halfLife)) + 1
			}
		}
		if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if next > 0 && (a.wakeAt <= a.now || next < a.wakeAt) {
		a.wakeAt = next
		a.do(SetTimer{next - a.now})
	}
}

// Status answers for one service.
func (a *Announcer) Status(name string) (w Status, ok bool) {
	s := a.services[name]
	if s == nil {
		return w, false
	}
	w = Status{Announced: s.told, Path: s.path, Running: len(s.containers), MinRunning: max(1, s.terms.MinRunning), Penalty: s.penalty,
		Suppressed: s.suppressed}
	for _, draining := range s.containers {
		if draining {
			w.Draining++
		}
	}
	if s.due {
		w.NextUpdate = s.toldAt + pace
	}
	return w, true
}

// Announced gives all that is announced now, in order of prefixes: what a peer is told when its session comes up.
func (a *Announcer) Announced() []Announce {
	var all []Announce
	for _, s := range a.services {
		if s.told {
			all = append(all, Announce{s.prefix, s.path})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		x, y := all[i].Prefix, all[j].Prefix
		if c := x.Addr().Compare(y.Addr()); c != 0 {
			return c < 0
		}
		return x.Bits() < y.Bits()
	})
	return all
}
