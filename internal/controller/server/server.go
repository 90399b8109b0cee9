// Package server hosts the keeper: it carries jobs to placers and their words back, keeps what the API shows in a
// catalog, and gathers the facts for why something waits. Everything but the exported methods runs on its loop.
package server

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"glenport/internal/config"
	"glenport/internal/controller"
	"glenport/internal/controller/pending"
	"glenport/internal/controller/watchcache"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/storage/wal"
	"glenport/scheduler"
)

// Kinds of what the catalog holds.
const (
	KindJobs       = "jobs"
	KindContainers = "containers"
	KindMachines   = "machines"
)

const (
	redial    = 200 * eventloop.Millisecond
	output    = 8 << 20
	whyWithin = 400 * eventloop.Millisecond // for a placer to explain
	whyStands = 100 * eventloop.Millisecond // an explanation serves all who ask so soon again
	relist    = 500 * eventloop.Millisecond
)

// Config is where a keeper finds what it works with.
type Config struct {
	Name            string
	Schedulers      []string
	MachineList     string
	Seed            uint64
	StateDir        string         // the folder of what is kept over restarts; nothing is where empty
	SchedulerConfig *config.Placer // workloads, customers, kinds
}

// Job is what an owner wants.
type Job struct {
	ID            string            `json:"id" cbor:"id"`
	Labels        map[string]string `json:"labels,omitempty" cbor:"labels,omitempty"`
	Service       string            `json:"service" cbor:"service"`
	WorkloadClass string            `json:"workload" cbor:"workload"`
	Tenant        string            `json:"customer,omitempty" cbor:"customer,omitempty"`
	Cores         float64           `json:"cores" cbor:"cores"`
	MemoryGiB     float64           `json:"memory_gib" cbor:"memory_gib"`
	RunForMS      int64             `json:"run_for_ms,omitempty" cbor:"run_for_ms,omitempty"`
	RunOnce       bool              `json:"once,omitempty" cbor:"once,omitempty"`
	Count         int               `json:"count" cbor:"count"`
	Version       int64             `json:"version" cbor:"version"`
}

// Container is one that a job wants.
type Container struct {
	ID          string `json:"id"`
	Job         string `json:"job"`
	Index       int    `json:"index"`
	State       string `json:"state"`
	Terminating bool   `json:"leaving,omitempty"`
	Machine     string `json:"machine,omitempty"`
	Scheduler   string `json:"placer,omitempty"`
	SinceMS     int64  `json:"since_ms"`           // unix time
	UntilMS     int64  `json:"until_ms,omitempty"` // when something is due
	Attempts    int    `json:"tries"`
	Starts      int    `json:"starts"`
	LastStatus  string `json:"last"`
	Version     int64  `json:"version"`
}

// Machine is one of the list.
type Machine struct {
	ID            string  `json:"id"`
	Zone          int     `json:"hall"`
	MachineType   string  `json:"kind"`
	State         string  `json:"state"`
	FreeCores     float64 `json:"free_cores"`
	FreeMemoryGiB float64 `json:"free_memory_gib"`
	Incarnation   uint64  `json:"incarnation"`
	Version       int64   `json:"version"`
}

// Server is a running keeper.
type Server struct {
	Cache  *watchcache.Cache
	place  Config
	log    *slog.Logger
	loop   *eventloop.Loop
	keeper *controller.Controller
	events []controller.Event
	doors  []*schedulerConn
	list   *machineListConn
	views  map[string]controller.Container  // by container id
	halls  map[string]protocol.MachineEntry // by machine
	asked  map[uint64]*question             // emptied by the answer or its time
	last   map[string]*explained            // by job, for a moment
	seq    uint64

	records *recordLog          // nil where nothing is kept
	shown   []*published        // changes of the catalog that wait for the disk
	pending map[string][]func() // by job: changes that wait for the one under way
}

type explained struct {
	at  eventloop.Tick
	why *protocol.ExplainReply
}

type question struct {
	job  string
	then []func(*protocol.ExplainReply)
}

// New makes a keeper's host; Run serves it.
func New(p Config, c *watchcache.Cache, log *slog.Logger) (*Server, error) {
	t := controller.Config{Seed: p.Seed, FirstSequence: uint64(time.Now().UnixMicro()), SchedulerCount: len(p.Schedulers)}
	for _, w := range p.SchedulerConfig.Terms.WorkloadClasses {
		t.WorkloadClasses = append(t.WorkloadClasses, controller.WorkloadClass{Idempotency: w.Idempotency, PlacementTimeout: w.PlacementTimeout, DedupWindow: w.DedupWindow})
	}
	h := &Server{Cache: c, place: p, log: log, keeper: controller.New(t), views: map[string]controller.Container{},
		halls: map[string]protocol.MachineEntry{}, asked: map[uint64]*question{}, last: map[string]*explained{}, pending: map[string][]func(){}}
	var err error
	if h.loop, err = eventloop.New(h.turn); err != nil {
		return nil, err
	}
	for i, addr := range p.Schedulers {
		h.doors = append(h.doors, &schedulerConn{h: h, number: i, addr: addr})
	}
	h.list = &machineListConn{h: h}
	if p.StateDir != "" {
		if h.records, err = openRecords(h, p.StateDir); err != nil {
			h.loop.Stop()
			h.loop.Run()
			return nil, err
		}
	}
	return h, nil
}

// Run serves until Stop.
func (h *Server) Run() error {
	h.loop.Post(func() {
		for _, d := range h.doors {
			d.call()
		}
		if h.place.MachineList != "" {
			h.list.call()
		}
	})
	err := h.loop.Run()
	if h.records != nil {
		if c := h.records.close(); err == nil {
			err = c
		}
	}
	return err
}

func (h *Server) Stop() { h.loop.Stop() }

// ask runs f on the loop and waits for it; false once the host has stopped.
func (h *Server) ask(f func()) bool {
	done := make(chan struct{})
	if !h.loop.Post(func() { defer close(done); f() }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-time.After(10 * time.Second):
		return false
	}
}

// ErrClosed says that the keeper is not there to be asked.
var ErrStopped = errors.New("the keeper has stopped")

// CreationToken tells a request that makes a job from another: the key that its sender gave it, and a digest.
type CreationToken struct {
	Key           string
	RequestDigest []byte
}

// SetJob makes or changes a job and returns its version once that is on disk. With precondition above 0 the job must have
// that version, below 0 there must be none; but one that the same request made is no conflict.
func (h *Server) SetJob(j Job, precondition int64, by CreationToken) (version int64, err error) {
	spec, err := h.spec(&j)
	if err != nil {
		return 0, err
	}
	return h.changed(j.ID, func(old *Job) (*JobRecord, controller.Event, error) {
		k := &JobRecord{Job: j, CreationKey: by.Key, RequestDigest: by.RequestDigest}
		switch {
		case precondition < 0 && old != nil:
			if h.records != nil && by.Key != "" {
				if m := h.records.made[j.ID]; m.CreationKey == by.Key && bytes.Equal(m.RequestDigest, by.RequestDigest) {
					return nil, nil, &alreadyMade{old.Version}
				}
			}
			return nil, nil, &ConflictError{j.ID, old.Version, "it exists already"}
		case precondition > 0 && old == nil:
			return nil, nil, ErrNotFound
		case precondition > 0 && old.Version != precondition:
			return nil, nil, &ConflictError{j.ID, old.Version, "it was changed meanwhile"}
		}
		return k, controller.JobSet{Job: j.ID, Count: j.Count, Spec: spec}, nil
	})
}

// changed makes a change on the loop and waits for it.
func (h *Server) changed(id string, f func(*Job) (*JobRecord, controller.Event, error)) (int64, error) {
	type answer struct {
		version int64
		err     error
	}
	got := make(chan answer, 1)
	if !h.loop.Post(func() {
		h.changeJob(id, f, func(version int64, err error) { got <- answer{version, err} })
	}) {
		return 0, ErrStopped
	}
	select {
	case a := <-got:
		return a.version, a.err
	case <-time.After(10 * time.Second):
		return 0, ErrStopped
	}
}

// DeleteJob ends a job.
func (h *Server) DeleteJob(id string, precondition int64) error {
	_, err := h.changed(id, func(old *Job) (*JobRecord, controller.Event, error) {
		switch {
		case old == nil:
			return nil, nil, ErrNotFound
		case precondition > 0 && old.Version != precondition:
			return nil, nil, &ConflictError{id, old.Version, "it was changed meanwhile"}
		}
		return nil, controller.JobDeleted{Job: id}, nil
	})
	return err
}

// ErrNotFound is for what does not exist.
var ErrNotFound = errors.New("there is none of that id")

// ConflictError is for a change that came too late.
type ConflictError struct {
	ID      string
	Version int64
	Message string
}

func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s: %s; its version is %d", c.ID, c.Message, c.Version)
}

// InvalidFieldError is a field that cannot be.
type InvalidFieldError struct{ Field, Message string }

func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Message }

func (h *Server) spec(j *Job) (controller.Spec, error) {
	s := controller.Spec{Service: j.Service, Cores: j.Cores, Memory: j.MemoryGiB, RunFor: scheduler.Time(j.RunForMS) * scheduler.Millisecond,
		RunOnce: j.RunOnce}
	bad := func(field, format string, a ...any) (controller.Spec, error) {
		return s, &InvalidFieldError{field, fmt.Sprintf(format, a...)}
	}
	if !goodID(j.ID) {
		return bad("id", "%q is not 1 to 63 of a to z, 0 to 9 and -", j.ID)
	}
	if j.Service == "" || len(j.Service) > 100 {
		return bad("service", "1 to 100 bytes are wanted")
	}
	if s.WorkloadClass = indexOf(h.place.SchedulerConfig.Workloads, j.WorkloadClass); s.WorkloadClass < 0 {
		return bad("workload", "%q is none of %s", j.WorkloadClass, strings.Join(h.place.SchedulerConfig.Workloads, ", "))
	}
	if j.Tenant != "" {
		if s.Tenant = indexOf(h.place.SchedulerConfig.Customers, j.Tenant); s.Tenant < 0 {
			return bad("customer", "%q is none of %s", j.Tenant, strings.Join(h.place.SchedulerConfig.Customers, ", "))
		}
	} else {
		s.Tenant = len(h.place.SchedulerConfig.Customers)
	}
	switch {
	case !(j.Cores > 0 && j.Cores <= 1e6):
		return bad("cores", "%g is not above 0", j.Cores)
	case !(j.MemoryGiB > 0 && j.MemoryGiB <= 1e6):
		return bad("memory_gib", "%g is not above 0", j.MemoryGiB)
	case j.Count < 0 || j.Count > 100_000:
		return bad("count", "%d is not from 0 to 100000", j.Count)
	case j.RunForMS < 0 || j.RunForMS > 365*24*3600*1000:
		return bad("run_for_ms", "%d is not from 0 to a year", j.RunForMS)
	case len(j.Labels) > 32:
		return bad("labels", "%d are more than 32", len(j.Labels))
	}
	for k, v := range j.Labels {
		if k == "" || len(k) > 63 || len(v) > 63 || strings.ContainsAny(k+v, "=,") {
			return bad("labels", "%q: keys and values have up to 63 bytes, no = and no comma", k)
		}
	}
	return s, nil
}

func goodID(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-') }) < 0
}

func indexOf(all []string, s string) int {
	for i, x := range all {
		if x == s {
			return i
		}
	}
	return -1
}

// PendingReasons returns the reasons why a container does not run, asking a placer. The times are unix milliseconds.
func (h *Server) PendingReasons(container string) (reasons []pending.Reason, state string, err error) {
	type answer struct {
		reasons []pending.Reason
		state   string
	}
	got := make(chan answer, 1)
	found := false
	if !h.ask(func() {
		view, ok := h.views[container]
		if found = ok; !ok {
			return
		}
		h.explain(view, func(w *protocol.ExplainReply) {
			v, ok := h.views[container]
			if !ok {
				v = view
			}
			got <- answer{pending.Explain(scheduler.Time(h.loop.Now()), h.facts(v, w)), v.State.String()}
		})
	}) {
		return nil, "", ErrStopped
	}
	if !found {
		return nil, "", ErrNotFound
	}
	select {
	case a := <-got:
		return a.reasons, a.state, nil
	case <-time.After(5 * time.Second):
		return nil, "", ErrStopped
	}
}

// explain asks the placer that was asked last, or another, and hands its word on; nil where none answers in time.
func (h *Server) explain(v controller.Container, then func(*protocol.ExplainReply)) {
	if v.State == controller.StateRunning || v.State == controller.StateCompleted {
		then(nil)
		return
	}
	if e := h.last[v.Job]; e != nil && h.loop.Now()-e.at < whyStands {
		then(e.why)
		return
	}
	for _, q := range h.asked {
		if q.job == v.Job {
			q.then = append(q.then, then)
			return
		}
	}
	o := h.Cache.Get(KindJobs, v.Job)
	d := h.anyDoor(v.Scheduler)
	if o == nil || d == nil {
		then(nil)
		return
	}
	j := o.Value.(Job)
	spec, err := h.spec(&j)
	if err != nil {
		then(nil)
		return
	}
	h.seq++
	q := &question{job: v.Job, then: []func(*protocol.ExplainReply){then}}
	n := h.seq
	h.asked[n] = q
	h.loop.After(whyWithin, func() { h.answered(n, nil) })
	d.write(&protocol.ExplainRequest{Seq: n, Spec: work(spec, "why", "why")})
}

func (h *Server) answered(seq uint64, w *protocol.ExplainReply) {
	q := h.asked[seq]
	if q == nil {
		return
	}
	delete(h.asked, seq)
	if w != nil && w.Known {
		h.last[q.job] = &explained{h.loop.Now(), w}
		h.loop.After(whyStands, func() {
			if e := h.last[q.job]; e != nil && h.loop.Now()-e.at >= whyStands {
				delete(h.last, q.job)
			}
		})
	}
	for _, f := range q.then {
		f(w)
	}
}

func (h *Server) anyDoor(first int) *schedulerConn {
	if first >= 0 && first < len(h.doors) && h.doors[first].open {
		return h.doors[first]
	}
	for _, d := range h.doors {
		if d.open {
			return d
		}
	}
	return nil
}

func (h *Server) facts(v controller.Container, w *protocol.ExplainReply) pending.Facts {
	f := pending.Facts{Container: v, Schedulers: len(h.doors), SlowStartWindow: h.place.SchedulerConfig.Terms.SlowStartWindow}
	for _, d := range h.doors {
		if d.open {
			f.SchedulersConnected++
			f.SchedulerConnected = f.SchedulerConnected || d.number == v.Scheduler
		}
	}
	if w != nil && w.Known {
		f.Explained, f.ListAge = true, scheduler.Time(w.ListAge)
		f.Explanation = scheduler.Explanation{Machines: w.Machines, Gone: w.Gone, WrongMachineType: w.WrongMachineType, Draining: w.Draining,
			TooSmall: w.TooSmall, SelfDraining: w.SelfDraining, SpreadExhausted: w.SpreadExhausted, SlowStartExhausted: w.SlowStartExhausted, Ejected: w.Ejected,
			Suspected: w.Suspected, InsufficientCores: w.InsufficientCores, InsufficientMemory: w.InsufficientMemory, Eligible: w.Eligible, SheddingLoad: w.SheddingLoad, FullRatio: w.FullRatio}
	}
	halls := map[int]*pending.Zone{}
	most := -1
	for _, e := range h.halls {
		x := halls[e.Zone]
		if x == nil {
			x = &pending.Zone{Name: fmt.Sprint(e.Zone)}
			halls[e.Zone] = x
			most = max(most, e.Zone)
		}
		x.Machines++
		if e.State == protocol.MachineDraining {
			x.Draining++
		}
	}
	for z := 0; z <= most; z++ {
		if halls[z] != nil {
			f.Zones = append(f.Zones, *halls[z])
		}
	}
	return f
}

// turn hands the keeper what came, keeps what it makes of it, and then carries out what it wants.
func (h *Server) turn() {
	events := h.events
	if len(events) == 0 {
		return
	}
	h.events = nil
	var changes []wal.Change
	var todo []controller.Action
	durable := false
	for _, a := range h.keeper.Handle(scheduler.Time(h.loop.Now()), events) {
		switch a := a.(type) {
		case controller.ContainerChanged:
			if h.records != nil {
				k := ContainerRecord{Container: a.Container}
				if d := a.Container.Scheduler; d >= 0 {
					k.SchedulerAddress = h.doors[d].addr
				}
				changes = append(changes, wal.Put(RecordContainer, containerID(a.Container.Job, a.Container.Index), k))
			}
			h.show(a.Container)
		case controller.ContainerRemoved:
			id := containerID(a.Job, a.Index)
			changes = append(changes, wal.Change{Kind: RecordContainer, Key: id})
			if _, seen := h.views[id]; seen {
				delete(h.views, id)
				h.publish(KindContainers, id, Container{ID: id, Job: a.Job, Index: a.Index}, true, true)
			}
		case controller.OrphanRecorded:
			k := OrphanRecord{h.doors[a.Orphan.Scheduler].addr, a.Orphan.IdempotencyKey}
			changes = append(changes, wal.Put(RecordOrphan, k.SchedulerAddress+" "+k.IdempotencyKey, k))
		case controller.OrphanResolved:
			changes = append(changes, wal.Change{Kind: RecordOrphan, Key: h.doors[a.Orphan.Scheduler].addr + " " + a.Orphan.IdempotencyKey})
		case controller.SetTimer:
			h.loop.After(eventloop.Tick(a.After), func() { h.events = append(h.events, controller.TimerFired{}) })
		case controller.SubmitRequest:
			_, sync := recovery.MustPersist(h.effect(a.Spec.WorkloadClass))
			durable = durable || sync
			todo = append(todo, a)
		default:
			todo = append(todo, a)
		}
	}
	if len(todo) == 0 {
		if len(changes) > 0 {
			h.keep(changes, false, func(error) {})
		}
		return
	}
	h.keep(changes, durable, func(err error) {
		for _, a := range todo {
			h.carry(a, err)
		}
	})
}

func (h *Server) effect(workload int) scheduler.Idempotency {
	if w := h.place.SchedulerConfig.Terms.WorkloadClasses; workload >= 0 && workload < len(w) {
		return w[workload].Idempotency
	}
	return scheduler.AtMostOnce
}

// carry does what the keeper wants done. An ask that could not be written down is not made.
func (h *Server) carry(a controller.Action, kept error) {
	switch a := a.(type) {
	case controller.SubmitRequest:
		if kept != nil {
			h.events = append(h.events, controller.PlacementAnswered{RequestID: a.RequestID, Verdict: controller.VerdictRefused, RetryAfter: scheduler.Second,
				Message: "the ask could not be written down: " + kept.Error()})
			return
		}
		h.doors[a.Scheduler].write(&protocol.Submit{TimeToDeadline: protocol.Duration(a.Timeout), Spec: h.submission(a)})
	case controller.LookupRequest:
		h.doors[a.Scheduler].write(&protocol.Lookup{ContainerID: a.RequestID, IdempotencyKey: a.IdempotencyKey})
	case controller.CancelRequest:
		if a.Scheduler >= 0 {
			h.doors[a.Scheduler].write(&protocol.CancelContainer{ContainerID: a.RequestID, IdempotencyKey: a.IdempotencyKey})
		}
	}
}

func containerID(job string, index int) string { return fmt.Sprintf("%s.%d", job, index) }

func (h *Server) show(v controller.Container) {
	c := Container{ID: containerID(v.Job, v.Index), Job: v.Job, Index: v.Index, State: v.State.String(), Terminating: v.Terminating,
		Machine: v.Machine, SinceMS: int64(v.Since / scheduler.Millisecond), UntilMS: int64(v.Until / scheduler.Millisecond),
		Attempts: v.Attempts, Starts: v.Starts, LastStatus: v.LastStatus}
	if v.Scheduler >= 0 {
		c.Scheduler = h.doors[v.Scheduler].name
	}
	h.views[c.ID] = v
	h.publish(KindContainers, c.ID, c, false, true)
}

func work(s controller.Spec, container, key string) protocol.ContainerSpec {
	return protocol.ContainerSpec{ContainerID: container, IdempotencyKey: key, Service: s.Service, WorkloadClass: s.WorkloadClass, Tenant: s.Tenant, Cores: s.Cores,
		Memory: s.Memory, ExpectedRuntime: protocol.Duration(s.RunFor)}
}

func (h *Server) submission(a controller.SubmitRequest) protocol.ContainerSpec {
	w := work(a.Spec, a.RequestID, a.IdempotencyKey)
	w.ClientRetry = a.Retry
	return w
}
