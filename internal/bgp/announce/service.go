package announce

import (
	"math/bits"
	"net/netip"

	"glenport/scheduler"
)

// With MEDByHealth, the MED rises by medStep each time the number of serving containers halves below 16, so that the
// start or end of one container among many does not change it.
const (
	medStep     = 10
	maxMEDSteps = 5 // number of steps without serving containers; with 16 or more containers there is none
)

// Service is the configuration of a service address.
type Service struct {
	Prefix      netip.Prefix
	NextHop     netip.Addr
	MED         uint32
	MinRunning  int  // minimum number of running containers to announce the address; 0 counts as 1
	MEDByHealth bool // the more containers serve, the lower the MED; peers prefer the lowest MED
}

// service is the state of one service address.
type service struct {
	name       string
	configured bool // between ServiceSet and ServiceRemoved
	config     Service
	containers map[string]bool // running containers; the value says whether the container is draining

	route   route
	damping damping
}

// desiredPath returns the path to announce for the service, and whether to announce it at all. While all containers are
// draining, the address is announced with the lowest preference, so that traffic moves away before the withdrawal.
func (s *service) desiredPath() (path Path, wanted bool) {
	running := len(s.containers)
	if !s.configured || s.damping.suppressed || running == 0 || running < s.config.MinRunning {
		return Path{}, false
	}
	serving := running - s.drainingCount()
	path = Path{NextHop: s.config.NextHop, MED: s.config.MED, Preference: defaultPreference}
	if s.config.MEDByHealth {
		path.MED += medStep * uint32(max(0, maxMEDSteps-bits.Len(uint(serving))))
	}
	if serving == 0 {
		path.Preference = drainingPreference
		path.Communities = encodeCommunity(GracefulShutdown)
	}
	return path, true
}

func (s *service) drainingCount() int {
	n := 0
	for _, draining := range s.containers {
		if draining {
			n++
		}
	}
	return n
}

func (s *service) unused() bool {
	return !s.configured && !s.route.announced() && len(s.containers) == 0
}

// nextUpdate returns when the service needs an update without another event, or 0 if it needs none.
func (s *service) nextUpdate(now scheduler.Time) scheduler.Time {
	switch {
	case s.route.pending():
		return s.route.nextUpdateAt()
	case s.damping.suppressed:
		return now + max(minUpdateInterval, s.damping.untilReuse())
	case s.unused() && s.damping.penalty > 0:
		return now + s.damping.untilNegligible()
	case s.unused():
		return max(s.route.updatedAt, now) + minUpdateInterval
	}
	return 0
}

func (s *service) status() Status {
	status := Status{
		Announced:  s.route.announced(),
		Path:       s.route.path,
		Running:    len(s.containers),
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
