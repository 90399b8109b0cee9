// This file holds what a scheduler keeps, and counts it. The decisions are in the files that "policy" names in
// deploy/balancer.toml.

package scheduler

import (
	"log/slog"
	"sort"
)

// notStarted stands in sendsKnownSince before the first batch.
const notStarted = Time(-1)

// Scheduler is one instance. The process calls New once and Handle for each batch of events, and carries out
// the actions in the order in which they are returned.
type Scheduler struct {
	config       Config
	random       pcg
	now          Time
	actions      []Action     // of this batch
	unplaced     []*container // to be placed at the end of this batch
	deadlinesDue bool         // a timer fired in this batch

	machines     map[MachineID]*machine
	machineOrder []*machine // by ID: no decision may depend on the order of a map
	services     map[string]*service
	containers   map[ContainerID]*container
	tenantCores  []float64 // requested by own containers

	trafficClasses  []TrafficClass // workload classes, then tenants, then requests without a tenant
	fullRatio       float64        // moving share of attempts that found no room
	rejectedWeight  float64        // the same, of attempts by priority weight
	sendsKnownSince Time           // from then on everything sent to machines in slow start is known
	pollAt          Time           // of the machine list; 0: none is due
	pollDelay       Time           // the span from which the next poll is drawn
	deadlineTimerAt Time           // when the deadline timer that was set last fires
}

// New returns a scheduler that knows no machines yet.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:          config,
		random:          pcg{config.Seed},
		machines:        map[MachineID]*machine{},
		services:        map[string]*service{},
		containers:      map[ContainerID]*container{},
		tenantCores:     make([]float64, len(config.Tenants)),
		trafficClasses:  make([]TrafficClass, len(config.WorkloadClasses)+len(config.Tenants)+1),
		sendsKnownSince: notStarted,
	}
}

// resources are amounts of cores and memory.
type resources struct{ cores, memory float64 }

func (r *resources) add(o resources) {
	r.cores += o.cores
	r.memory += o.memory
}

func (r *resources) subtract(o resources) {
	r.cores -= o.cores
	r.memory -= o.memory
}

// atLeast returns the larger of each amount.
func (r resources) atLeast(o resources) resources {
	return resources{max(r.cores, o.cores), max(r.memory, o.memory)}
}

// within tells whether both amounts are up to a limit.
func (r resources) within(limit resources) bool {
	return r.cores <= limit.cores && r.memory <= limit.memory
}

// machine is what is known of a machine. It is dropped once it is gone and nothing refers to it.
type machine struct {
	id            MachineID
	hash          uint64
	listed        bool // its place and type are known
	zone          int
	rackGroup     int
	machineType   int
	state         MachineState
	startedAt     Time
	capacity      float64   // in containers of mean size
	reservations  int       // own attempts and containers without an outcome
	requested     resources // by those
	used          resources // by those, as far as reported
	listRequested resources // by the containers of all schedulers, according to the machine list
	recentSends   []Time    // attempts and probes of the last slow-start window
	excludedBy    int       // containers that are not placed on it any more

	outlierLogOdds    float64
	ejectedUntil      Time // 0: not ejected; past: it waits for a probe
	ejectionTime      Time // of its next ejection
	probeSentAt       Time // 0: no probe is out
	lastHeardAt       Time
	selfDrainingUntil Time
	failureEvidence   []FailureEvidence // by traffic class
}

// service counts its containers and where they are.
type service struct {
	name         string
	hash         uint64
	containers   int
	reservations map[*machine]int
}

// container is one that is to be placed or runs. It is dropped once it is closed and has no attempt out.
type container struct {
	request    PlacementRequest
	class      *WorkloadClass
	service    *service
	attempts   int
	machine    *machine // of the attempt that is out, or where it runs
	sentAt     Time     // of that attempt
	accepted   bool
	closed     bool     // answered or cancelled: only an outcome is awaited
	firstRunOn *machine // of the first attempt that may have run
	firstRunAt Time
	excluded   []*machine // machines that it is not placed on any more
	failures   []unattributedFailure
	used       resources
}

// unattributedFailure is an error of an attempt: the fault of the machine or of the container.
type unattributedFailure struct {
	machine *machine
	sentAt  Time
	silent  bool // nothing was heard of the machine since the attempt was sent
}

func (c *container) requested() resources { return resources{c.request.Cores, c.request.Memory} }

// findOrAddMachine also adds machines that no list has named yet.
func (s *Scheduler) findOrAddMachine(id MachineID) *machine {
	if m := s.machines[id]; m != nil {
		return m
	}
	m := &machine{id: id, hash: hash(string(id)), state: MachineGone, ejectionTime: baseEjectionTime,
		failureEvidence: make([]FailureEvidence, len(s.trafficClasses))}
	s.machines[id] = m
	i := sort.Search(len(s.machineOrder), func(i int) bool { return s.machineOrder[i].id >= id })
	s.machineOrder = append(s.machineOrder, nil)
	copy(s.machineOrder[i+1:], s.machineOrder[i:])
	s.machineOrder[i] = m
	return m
}

// addContainer returns nil for a workload class that the configuration does not have.
func (s *Scheduler) addContainer(r PlacementRequest) *container {
	if r.WorkloadClass >= len(s.config.WorkloadClasses) {
		s.log("container of unknown workload class",
			slog.String("container", string(r.ID)), slog.Int("workload_class", r.WorkloadClass))
		return nil
	}
	owner := s.services[r.Service]
	if owner == nil {
		owner = &service{name: r.Service, hash: hash(r.Service), reservations: map[*machine]int{}}
		s.services[r.Service] = owner
	}
	owner.containers++
	c := &container{request: r, class: &s.config.WorkloadClasses[r.WorkloadClass], service: owner}
	s.containers[r.ID] = c
	return c
}

// removeIfClosed drops a container that is closed and has no attempt out.
func (s *Scheduler) removeIfClosed(c *container) {
	if !c.closed || c.machine != nil {
		return
	}
	delete(s.containers, c.request.ID)
	for _, m := range c.excluded {
		m.excludedBy--
	}
	c.service.containers--
	if c.service.containers == 0 {
		delete(s.services, c.service.name)
	}
}

// reserve counts an attempt or a running container at its machine, from its sending to its outcome.
func (s *Scheduler) reserve(c *container, m *machine) {
	c.machine = m
	c.sentAt = s.now
	c.used = c.requested()
	c.service.reservations[m]++
	m.reservations++
	m.requested.add(c.requested())
	m.used.add(c.used)
	if t := c.request.Tenant; t < len(s.tenantCores) {
		s.tenantCores[t] += c.request.Cores
	}
}

func (s *Scheduler) release(c *container) {
	m := c.machine
	c.machine = nil
	c.service.reservations[m]--
	if c.service.reservations[m] == 0 {
		delete(c.service.reservations, m)
	}
	m.reservations--
	m.requested.subtract(c.requested())
	m.used.subtract(c.used)
	if m.reservations == 0 { // no remainders of rounding are kept
		m.requested, m.used = resources{}, resources{}
	}
	if t := c.request.Tenant; t < len(s.tenantCores) {
		s.tenantCores[t] -= c.request.Cores
	}
}
