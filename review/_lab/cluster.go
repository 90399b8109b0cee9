package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"glenport/internal/protocol"
)

// This file has the stand-ins of a cluster: machines and the machine list, and it starts schedulers and a controller.

const tick = 100 * time.Microsecond // the unit of protocol.Duration

// frameConn is a connection that carries frames.
type frameConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *frameConn) send(frames ...protocol.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range frames {
		data, err := protocol.Append(nil, f)
		if err == nil {
			_, err = c.Write(data)
		}
		if err != nil {
			_ = c.Close()
			return
		}
	}
}

// beat sends a beat each second until the connection ends.
func (c *frameConn) beat() {
	data, _ := protocol.Append(nil, &protocol.Heartbeat{})
	for {
		time.Sleep(time.Second)
		c.mu.Lock()
		_, err := c.Write(data)
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// dedupGroup is a group of machines that lets one copy of a key run and drops its repeats for the window.
type dedupGroup struct {
	mu     sync.Mutex
	claims map[string]*keyClaim
}

type keyClaim struct {
	running bool
	until   time.Time // end of the window
}

func (g *dedupGroup) claim(key string, window time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.claims[key]; c != nil && (c.running || time.Now().Before(c.until)) {
		return false
	}
	g.claims[key] = &keyClaim{true, time.Now().Add(window)}
	return true
}

func (g *dedupGroup) end(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.claims[key]; c != nil {
		c.running = false
	}
}

// clusterMachine is a machine that speaks the framed protocol, as docs/protocol.md describes it.
type clusterMachine struct {
	name     string
	zone     int
	record   *record
	group    *dedupGroup
	listener net.Listener
	started  uint64
	loses    func() bool   // whether the answer to an offer is lost; nil: never
	stopTime time.Duration // from a cancel to the end of the container

	mu    sync.Mutex
	conns map[string]*frameConn // by scheduler
	held  map[heldID]*held
	runs  map[string]int // number of starts by key
	names map[string]int // number of starts by service
}

type heldID struct {
	scheduler   string
	incarnation uint64
	attempt     uint64
}

type held struct {
	spec    protocol.ContainerSpec
	running bool
}

func startClusterMachine(name string, zone int, group *dedupGroup, r *record) (*clusterMachine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &clusterMachine{
		name: name, zone: zone, record: r, group: group, listener: listener, started: uint64(time.Now().UnixMicro()),
		conns: map[string]*frameConn{}, held: map[heldID]*held{}, runs: map[string]int{}, names: map[string]int{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serve(&frameConn{Conn: conn})
		}
	}()
	return m, nil
}

func (m *clusterMachine) serve(c *frameConn) {
	defer func() { _ = c.Close() }()
	first, err := protocol.ReadFrame(c, protocol.MaxFrame)
	hello, ok := first.(*protocol.Hello)
	if err != nil || !ok {
		return
	}
	m.greet(c, hello)
	go c.beat()
	for {
		frame, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *protocol.Offer:
			m.offer(c, hello, frame)
		case *protocol.CancelAttempt:
			id := heldID{hello.Name, frame.SchedulerIncarnation, frame.AttemptID}
			time.AfterFunc(m.stopTime, func() { m.finish(id, protocol.OutcomeStopped) })
		case *protocol.Probe:
			c.send(&protocol.ProbeReply{Seq: frame.Seq, Report: map[string]float64{"x0": 20}})
		}
	}
}

// greet sends the hello and what the machine holds for the scheduler.
func (m *clusterMachine) greet(c *frameConn, hello *protocol.Hello) {
	m.mu.Lock()
	m.conns[hello.Name] = c
	inventory := &protocol.Inventory{MachineIncarnation: m.started}
	for id, h := range m.held {
		if id.scheduler == hello.Name {
			inventory.Containers = append(inventory.Containers, protocol.InventoryItem{
				SchedulerIncarnation: id.incarnation, AttemptID: id.attempt, Running: h.running, Spec: h.spec,
			})
		}
	}
	m.mu.Unlock()
	c.send(protocol.NewHello(protocol.RoleMachine, m.name, m.started), inventory)
	m.record.printf("machine %s: scheduler %s is connected, told of %d containers", m.name, hello.Name,
		len(inventory.Containers))
}

func (m *clusterMachine) offer(c *frameConn, hello *protocol.Hello, offer *protocol.Offer) {
	spec := offer.Spec
	lost := m.loses != nil && m.loses()
	window := time.Duration(spec.DedupWindow) * tick
	if window > 0 && !m.group.claim(spec.IdempotencyKey, window) {
		m.record.printf("machine %s: refuses key %s, a repeat; answer lost: %t", m.name, spec.IdempotencyKey, lost)
		if !lost {
			c.send(&protocol.Result{
				AttemptID: offer.AttemptID, Outcome: protocol.OutcomeFull, Reason: protocol.ReasonWrongMachine,
			})
		}
		return
	}
	m.start(heldID{hello.Name, hello.Incarnation, offer.AttemptID}, &spec)
	m.record.printf("machine %s: starts key %s; answer lost: %t", m.name, spec.IdempotencyKey, lost)
	if !lost {
		c.send(&protocol.Accept{AttemptID: offer.AttemptID, Running: true})
	}
}

// start starts a container, which ends by itself after its run time.
func (m *clusterMachine) start(id heldID, spec *protocol.ContainerSpec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[id] = &held{*spec, true}
	m.runs[spec.IdempotencyKey]++
	m.names[spec.Service]++
	if spec.ExpectedRuntime > 0 {
		time.AfterFunc(time.Duration(spec.ExpectedRuntime)*tick, func() { m.finish(id, protocol.OutcomeFinished) })
	}
}

// finish ends a container and tells its scheduler, if that is connected.
func (m *clusterMachine) finish(id heldID, outcome protocol.Outcome) {
	m.mu.Lock()
	h := m.held[id]
	delete(m.held, id)
	c := m.conns[id.scheduler]
	m.mu.Unlock()
	if h == nil {
		return
	}
	m.group.end(h.spec.IdempotencyKey)
	m.record.printf("machine %s: key %s has %s", m.name, h.spec.IdempotencyKey, outcome)
	if c != nil {
		c.send(&protocol.Result{AttemptID: id.attempt, Outcome: outcome})
	}
}

func (m *clusterMachine) startsOfService(service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.names[service]
}

func (m *clusterMachine) heldCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// startsByKey returns the number of starts of each key on all machines.
func startsByKey(machines []*clusterMachine) map[string]int {
	starts := map[string]int{}
	for _, m := range machines {
		m.mu.Lock()
		for key, n := range m.runs {
			starts[key] += n
		}
		m.mu.Unlock()
	}
	return starts
}

func startsOfService(machines []*clusterMachine, service string) int {
	n := 0
	for _, m := range machines {
		n += m.startsOfService(service)
	}
	return n
}

// startList starts a machine list service that has all machines and tells no change.
func startList(machines []*clusterMachine) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	update := &protocol.MachineListUpdate{FullSnapshot: true, Version: 1}
	for i, m := range machines {
		update.Entries = append(update.Entries, protocol.MachineEntry{
			Machine: m.name, Address: m.listener.Addr().String(), Zone: m.zone, MachineType: 1, RackGroup: i,
			FreeCores: 48, FreeMemory: 120, PowerHint: 1, Incarnation: m.started, Age: -1,
		})
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveList(&frameConn{Conn: conn}, update)
		}
	}()
	return listener.Addr().String(), nil
}

func serveList(c *frameConn, update *protocol.MachineListUpdate) {
	c.send(protocol.NewHello(protocol.RoleMachineList, "list", 1))
	go c.beat()
	for {
		frame, err := protocol.ReadFrame(c, protocol.MaxFrame)
		if err != nil {
			return
		}
		switch frame.(type) {
		case *protocol.FetchMachineList, *protocol.WatchMachineList:
			c.send(update)
		}
	}
}

// cluster is a small deployment: schedulers and a controller, each with a state folder, and stand-in machines.
type cluster struct {
	*run
	machines    []*clusterMachine
	schedulers  []*clusterScheduler
	api         string
	controlFile string
	controller  *process
}

// clusterScheduler is a scheduler with the controller's path to it.
type clusterScheduler struct {
	name, addr, file string
	path             *path
	process          *process
}

// newCluster starts the stand-ins, writes the settings with the given workload classes, and starts the programs.
func newCluster(r *run, machineCount, schedulerCount int, classes string) (*cluster, error) {
	c := &cluster{run: r}
	group := &dedupGroup{claims: map[string]*keyClaim{}}
	for i := range machineCount {
		m, err := startClusterMachine(fmt.Sprintf("m%d", i+1), 0, group, r.record)
		if err != nil {
			return nil, err
		}
		c.machines = append(c.machines, m)
	}
	list, err := startList(c.machines)
	if err != nil {
		return nil, err
	}
	for i := range schedulerCount {
		s, err := c.newScheduler(i, schedulerCount, list, classes)
		if err != nil {
			return nil, err
		}
		c.schedulers = append(c.schedulers, s)
	}
	if err := c.writeControllerSettings(list); err != nil {
		return nil, err
	}
	return c, c.startController()
}

// newScheduler writes the settings of a scheduler and starts it.
func (c *cluster) newScheduler(index, count int, list, classes string) (s *clusterScheduler, err error) {
	s = &clusterScheduler{name: fmt.Sprintf("s%d", index+1)}
	s.file = filepath.Join(c.dir, s.name+".yaml")
	if s.addr, err = freeAddr(); err != nil {
		return nil, err
	}
	if s.path, err = startPath(s.addr, c.record); err != nil {
		return nil, err
	}
	state := filepath.Join(c.dir, "state-"+s.name)
	text := fmt.Sprintf(schedulerSettings, s.name, index, count, s.addr, state, list, classes)
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return s, c.startScheduler(s)
}

func (c *cluster) writeControllerSettings(list string) (err error) {
	if c.api, err = freeAddr(); err != nil {
		return err
	}
	var doors []string
	for _, s := range c.schedulers {
		doors = append(doors, `"`+s.path.addr()+`"`)
	}
	c.controlFile = filepath.Join(c.dir, "controller.yaml")
	text := fmt.Sprintf(controllerSettings, c.api, strings.Join(doors, ", "), list, filepath.Join(c.dir, "state-keeper"))
	return os.WriteFile(c.controlFile, []byte(text), 0o600)
}

func (c *cluster) startScheduler(s *clusterScheduler) (err error) {
	s.process, err = startProgram(c.dir, s.name+".log", nil, "scheduler", "-c", s.file)
	if err != nil {
		return err
	}
	if !waitFor(10*time.Second, func() bool { return reachable(s.addr) }) {
		return fmt.Errorf("scheduler %s does not listen", s.name)
	}
	return nil
}

// scheduler returns the scheduler with a name.
func (c *cluster) scheduler(name string) *clusterScheduler {
	for _, s := range c.schedulers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (c *cluster) startController() (err error) {
	c.controller, err = startProgram(c.dir, "controller.log", nil, "controller", "-c", c.controlFile)
	if err != nil {
		return err
	}
	if !waitFor(10*time.Second, func() bool { return reachable(c.api) }) {
		return fmt.Errorf("controller does not listen")
	}
	return nil
}

func (c *cluster) stop() {
	if c == nil {
		return
	}
	c.controller.end(syscall.SIGTERM)
	for _, s := range c.schedulers {
		s.process.end(syscall.SIGTERM)
	}
}

func reachable(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// call sends a request to the API and returns status and body. The key is an idempotency key, or empty.
func (c *cluster) call(method, path, key, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+c.api+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Close = true
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		c.printf("api: %s %s: %v", method, path, err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	answer := strings.TrimSpace(text.String())
	c.printf("api: %s %s %s: %d %s", method, path, body, response.StatusCode, answer)
	return response.StatusCode, answer
}

const schedulerSettings = `name: %s
scheduler_index: %d
scheduler_count: %d
seed: 17
listen: %s
state_dir: %s
machine_list: {address: "%s", poll_interval: 10s}
connections: {connect_timeout: 180ms, idle_timeout: 60s, silence_timeout: 5s, max_output_buffer: 1MiB}
limits: {max_clients: 1000, max_open_requests: 20000, max_open_requests_per_client: 10000}
machines:
  machine_types:
    - {name: small, cores: 24, memory: 60GiB}
    - {name: large, cores: 48, memory: 120GiB}
  overcommit: {cores: 2, memory: 1.5}
  mean_container: {cores: 1, memory: 2GiB}
  accept_means: running
  usage_reports: false
  list_tracks_requests: true
  probes_allowed: true
  slow_start: {period: 17s, window: 3s, budget: 60}
attempts: {max_attempts: 4, answer_grace: 50ms}
workload_classes:
%s
tenants:
  - {name: schools, cores: 400}
  - {name: offices, cores: 100}
over_quota_weight: 0.2
`

const controllerSettings = `name: keeper
api: %s
scheduler_config: s1.yaml
schedulers: [%s]
machine_list: "%s"
seed: 5
state_dir: %s
`
