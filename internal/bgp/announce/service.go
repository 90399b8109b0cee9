package announce

import (
	"math/bits"
	"net/netip"

	"glenport/scheduler"
)

// MEDByHealth raises the MED by medStep for each halving of the serving containers below 16, so that one container
// more or less of many changes nothing.
const (
	medStep     = 10
	maxMEDSteps = 5 // from none to 16 serving containers
)

// Service is the configuration of a service address.
type Service struct {
	Prefix      netip.Prefix
	NextHop     netip.Addr
	MED         uint32
	MinRunning  int  // running containers below which it is not announced; 0 counts as 1
	MEDByHealth bool // the more containers serve, the lower the MED: peers prefer the scheduler with the most
}

// service is the state of one service address.
type service struct {
	name       string
	configured bool // between ServiceSet and ServiceRemoved
	config     Service
	draining   map[string]bool // by running container

	route   route
	damping damping
}

// desiredPath returns the path that the service should have now, and whether it should be announced at all. One whose
// containers all drain is still announced, but as the last choice, so that its traffic moves before it ends.
func (s *service) desiredPath() (path Path, wanted bool) {
	running := len(s.draining)
	if !s.configured || s.damping.suppressed || running == 0 || running < s.config.MinRunning {
		return Path{}, false
	}
	serving := running - s.drainingCount()
	path = Path{NextHop: s.config.NextHop, MED: s.config.MED, Preference: ordinaryPreference}
	if s.config.MEDByHealth {
		path.MED += medStep * uint32(max(0, maxMEDSteps-bits.Len(uint(serving))))
	}
	if serving == 0 {
		path.Preference = drainedPreference
		path.Communities = encodeCommunity(GracefulShutdown)
	}
	return path, true
}

func (s *service) drainingCount() int {
	n := 0
	for _, draining := range s.draining {
		if draining {
			n++
		}
	}
	return n
}

func (s *service) unused() bool { return !s.configured && !s.route.announced() && len(s.draining) == 0 }

// nextUpdate returns when the service needs an update without an event, or 0.
func (s *service) nextUpdate(now scheduler.Time) scheduler.Time {
	switch {
	case s.route.pending():
		return s.route.nextUpdateAt()
	case s.damping.suppressed:
		return now + max(minUpdateInterval, s.damping.untilReuse())
	case s.unused() && s.damping.penalty > 0:
		return now + s.damping.untilForgotten()
	case s.unused():
		return max(s.route.updatedAt, now) + minUpdateInterval
	}
	return 0
}

func (s *service) status() Status {
	status := Status{
		Announced:  s.route.announced(),
		Path:       s.route.path,
		Running:    len(s.draining),
		Draining:   s.drainingCount(),
		MinRunning: max(1, s.config.MinRunning),
		Penalty:    s.damping.penalty,
		Suppressed: s.damping.suppressed,
	}
	if s.route.pending() {
		status.NextUpdate = s.route.nextUpdateAt()
	}
	return status
}
