package bgp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/scenario"
	"glenport/internal/testbed/trials"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Trial starts a cluster whose scheduler announces addresses to two emulated peers, and checks what they
// receive.
type Trial struct {
	Rounds int
	Out    io.Writer

	trials.Runner
	cluster       *cluster.Cluster
	peers         []*emulator.BGPPeer
	connection    net.Conn
	mu            sync.Mutex // guards what follows
	replies       map[string]chan *protocol.PlacementReply
	endTimes      map[string]time.Time // by the machines' own clocks
	lastContainer int
}

const (
	bgpServices  = 250
	endsPerRound = 50
	// each step but the first has services of its own from here on: those before are damped by their many ends
	firstReservedService = 200
	withdrawalLimit      = 2 * time.Second
	minUpdateInterval    = time.Second
	clockTolerance       = 30 * time.Millisecond    // between a peer's reading and the scheduler's writing
	submitTimeout        = protocol.Duration(40000) // 4 s
	bgpTimeout           = 20 * time.Second
	placementLimit       = 6 * time.Second // until a submission has its reply
)

// The services of the steps.
const (
	flapService = firstReservedService + iota
	drainService
	resetService
	protocolErrorService
	surviveService
	endWhileDownService
	partitionService
)

func bgpPrefix(i int) netip.Prefix { return netip.MustParsePrefix(fmt.Sprintf("198.51.100.%d/32", i)) }

// announced reports whether a peer has the route of a service.
func announced(p *emulator.BGPPeer, service int) bool {
	has, _ := p.Route(bgpPrefix(service))
	return has
}

// establishedCount is how many sessions the peer has had.
func establishedCount(p *emulator.BGPPeer) int {
	return p.Stats().Sessions
}

// Run plays the trial and reports whether all held.
func (t *Trial) Run(s *scenario.Scenario, dir string, program []string) (ok bool, err error) {
	t.replies, t.endTimes = map[string]chan *protocol.PlacementReply{}, map[string]time.Time{}
	defer func() {
		for _, p := range t.peers {
			p.Close()
		}
	}()
	peerConfigs, err := t.startPeers()
	if err != nil {
		return false, err
	}
	s.Schedulers = 1
	s.ExtraConfig = map[string]any{"bgp": bgpConfig(peerConfigs)}
	if t.cluster, err = cluster.Start(s.Spec, dir, program); err != nil {
		return false, err
	}
	defer t.cluster.Shutdown()
	for _, m := range t.cluster.Machines {
		m.OnEnd = t.recordEnd
	}
	if err := t.waitUntil(
		"both sessions stand",
		func() bool { return t.peers[0].Established() && t.peers[1].Established() },
	); err != nil {
		return false, err
	}
	if err := t.connect(); err != nil {
		return false, err
	}
	defer func() { process.CloseQuietly(t.connection) }()
	err = t.Play(t.Out, 46, []trials.Step{
		{Name: "ends", Play: t.playEnds},
		{Name: "a container that flaps 50 times a second", Play: t.playFlaps},
		{Name: "drain first as the last choice", Play: t.playDrain},
		{Name: "reset while the last container fails", Play: t.playResetAndFailure},
		{Name: "garbage, half a message, silence, another AS", Play: t.playProtocolErrors},
		{Name: "hall cut off and back", Play: t.playPartition},
		{Name: "placer killed -9 and back", Play: t.playSchedulerKill},
	})
	return err == nil && t.Passed(), err
}

// startPeers starts the peers and returns their sections in the scheduler's settings.
func (t *Trial) startPeers() ([]any, error) {
	var configs []any
	for i := range 2 {
		p := &emulator.BGPPeer{
			AS:            65000,
			ID:            [4]byte{192, 0, 2, byte(250 + i)},
			HoldTime:      3 * time.Second,
			RestartTime:   10 * time.Second,
			RecordChanges: true,
		}
		address, err := p.Open()
		if err != nil {
			return nil, err
		}
		t.peers = append(t.peers, p)
		configs = append(configs, map[string]any{
			"address": address, "as": 65000, "hold": "3s", "keep_routes_for": "10s",
			"allow": []any{"198.51.100.0/24"},
		})
	}
	return configs, nil
}

// bgpConfig is the bgp section of the scheduler's settings.
func bgpConfig(peers []any) map[string]any {
	var services []any
	for i := range bgpServices {
		services = append(
			services,
			map[string]any{"service": bgpServiceName(i), "prefix": bgpPrefix(i).String(), "next_hop": "192.0.2.5"},
		)
	}
	return map[string]any{"as": 65001, "identifier": "192.0.2.5", "peers": peers, "services": services}
}

func bgpServiceName(service int) string { return fmt.Sprint("web-", service) }

func (t *Trial) recordEnd(container string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endTimes[container] = at
}

func (t *Trial) endTime(container string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endTimes[container]
}

func (t *Trial) waitUntil(what string, holds func() bool) error {
	for end := time.Now().Add(bgpTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not in 20 s: %s", what)
		}
	}
	return nil
}

// waitAnnounced waits until a peer has the route of a service.
func (t *Trial) waitAnnounced(p *emulator.BGPPeer, service int) error {
	return t.waitUntil("it is announced", func() bool { return announced(p, service) })
}

// waitWithdrawn waits until a peer has no route of a service.
func (t *Trial) waitWithdrawn(what string, p *emulator.BGPPeer, service int) error {
	return t.waitUntil(what, func() bool { return !announced(p, service) })
}

// waitAnnouncedToAll waits until all peers have the route of a service.
func (t *Trial) waitAnnouncedToAll(service int) error {
	for _, p := range t.peers {
		if err := t.waitAnnounced(p, service); err != nil {
			return err
		}
	}
	return nil
}

// connect connects to the scheduler as a client and reads replies.
func (t *Trial) connect() (err error) {
	if t.connection, err = net.Dial("tcp", t.cluster.Schedulers[0].Address); err != nil {
		return err
	}
	go t.readReplies(t.connection)
	return t.send(protocol.NewHello(protocol.RoleClient, "trial", uint64(time.Now().UnixMicro())))
}

// readReplies hands each reply to the submission that waits for it, until the connection ends.
func (t *Trial) readReplies(c net.Conn) {
	for {
		reply, err := process.ReadUntil[*protocol.PlacementReply](c)
		if err != nil {
			return
		}
		t.mu.Lock()
		waiting := t.replies[reply.ContainerID]
		delete(t.replies, reply.ContainerID)
		t.mu.Unlock()
		if waiting != nil {
			waiting <- reply
		}
	}
}

func (t *Trial) send(frame protocol.Frame) error { return process.WriteFrames(t.connection, frame) }

// place starts a container of a service and waits until it is placed.
func (t *Trial) place(service int, life time.Duration) (id, machine string, err error) {
	return t.placeWorkload(service, 0, life)
}

// placeWorkload does so with a container of a workload class.
func (t *Trial) placeWorkload(service, workload int, life time.Duration) (id, machine string, err error) {
	waiting := make(chan *protocol.PlacementReply, 1)
	t.mu.Lock()
	t.lastContainer++
	id = fmt.Sprint("c", t.lastContainer)
	t.replies[id] = waiting
	t.mu.Unlock()
	if err := t.send(&protocol.Submit{TimeToDeadline: submitTimeout, Spec: protocol.ContainerSpec{
		ContainerID:    id,
		IdempotencyKey: id,
		Service: bgpServiceName(
			service,
		),
		WorkloadClass:   workload,
		Cores:           0.1,
		Memory:          0.1,
		ExpectedRuntime: protocol.Duration(life / process.Tick),
	}}); err != nil {
		return id, "", err
	}
	select {
	case reply := <-waiting:
		if reply.Verdict != protocol.VerdictPlaced {
			return id, "", fmt.Errorf("%s was %s", id, reply.Verdict)
		}
		return id, reply.Machine, nil
	case <-time.After(placementLimit):
		return id, "", fmt.Errorf("%s was not answered", id)
	}
}

// withdrawals measures how long peers take to withdraw a route after its last container's end.
type withdrawals struct {
	delays         *hdrhistogram.Histogram // milliseconds
	count, updates int
}

// playEnds lets the last container behind each address end again and again, and measures until both peers know it.
func (t *Trial) playEnds() (string, error) {
	measured := &withdrawals{delays: hdrhistogram.New(1, 60_000, 3)}
	for round := range t.Rounds {
		first := round * endsPerRound % firstReservedService
		ids, err := t.placeRound(first)
		if err != nil {
			return "", err
		}
		if err := t.waitRoundWithdrawn(first, ids); err != nil {
			return "", err
		}
		t.measureRound(measured, first, ids)
	}
	expected := t.Rounds * endsPerRound * len(t.peers)
	if measured.count < expected {
		t.Miss("%d withdrawals for %d ends at %d peers", measured.count, t.Rounds*endsPerRound, len(t.peers))
	}
	return fmt.Sprintf(
		"%d ends at %d peers, withdrawn after p50 %d ms, p99 %d ms, worst %d ms; %.1f updates an end and peer",
		t.Rounds*endsPerRound,
		len(t.peers),
		measured.delays.ValueAtQuantile(50),
		measured.delays.ValueAtQuantile(99),
		measured.delays.Max(),
		float64(measured.updates)/float64(expected),
	), nil
}

// placeRound places one container of each of a round's services and returns their names.
func (t *Trial) placeRound(first int) ([]string, error) {
	ids := make([]string, endsPerRound)
	errs := make([]error, endsPerRound)
	var placing sync.WaitGroup
	for i := range endsPerRound {
		placing.Go(func() {
			ids[i], _, errs[i] = t.place(first+i, time.Duration(1200+i*13)*time.Millisecond)
		})
	}
	placing.Wait()
	return ids, errors.Join(errs...)
}

func (t *Trial) waitRoundWithdrawn(first int, ids []string) error {
	for i, id := range ids {
		if err := t.waitUntil("the container ends", func() bool { return !t.endTime(id).IsZero() }); err != nil {
			return err
		}
		for k, p := range t.peers {
			if err := t.waitWithdrawn(
				fmt.Sprintf("peer %d is told that %s is gone", k, bgpPrefix(first+i)),
				p,
				first+i,
			); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Trial) measureRound(measured *withdrawals, first int, ids []string) {
	for k, p := range t.peers {
		for _, update := range p.Changes() {
			measured.updates++
			if !update.Withdrawn {
				continue
			}
			service := int(update.Prefix.Addr().As4()[3])
			late := update.At.Sub(t.endTime(ids[service-first]))
			measured.count++
			_ = measured.delays.RecordValue(max(1, late.Milliseconds())) // longer than its range is a miss below
			if late > withdrawalLimit {
				t.Miss("peer %d was told that %s is gone %v after its last container's end", k, update.Prefix, late)
			}
		}
	}
}

// playFlaps starts and ends containers of one service fifty times a second for eight seconds.
func (t *Trial) playFlaps() (string, error) {
	const flaps = 400
	for _, p := range t.peers {
		p.Changes()
	}
	began := time.Now()
	for i := range flaps {
		time.Sleep(time.Until(began.Add(time.Duration(i) * 20 * time.Millisecond)))
		go func() {
			// under this load some may be rejected; the route is what counts
			_, _, _ = t.place(flapService, 10*time.Millisecond)
		}()
	}
	time.Sleep(3 * time.Second)
	shortest, updates := time.Hour, 0
	for k, p := range t.peers {
		gap, n := t.checkUpdateInterval(k, p)
		shortest = min(shortest, gap)
		updates += n
		if announced(p, flapService) {
			t.Miss("peer %d still has the route of a service without a container", k)
		}
	}
	return fmt.Sprintf(
		"%d starts, %.1f updates a peer, none within %d ms of another",
		flaps,
		float64(updates)/float64(len(t.peers)),
		shortest.Milliseconds(),
	), nil
}

// checkUpdateInterval returns the shortest time between two updates of the flapping service, and their number.
func (t *Trial) checkUpdateInterval(peer int, p *emulator.BGPPeer) (shortest time.Duration, updates int) {
	shortest = time.Hour
	var last time.Time
	for _, update := range p.Changes() {
		if update.Prefix != bgpPrefix(flapService) {
			continue
		}
		updates++
		if gap := update.At.Sub(last); !last.IsZero() {
			shortest = min(shortest, gap)
			if gap < minUpdateInterval-clockTolerance {
				t.Miss("peer %d was told of %s twice within %v", peer, update.Prefix, gap)
			}
		}
		last = update.At
	}
	return shortest, updates
}

// playDrain marks the machine of a lone container as draining: its route must become the last choice before it is
// withdrawn.
func (t *Trial) playDrain() (string, error) {
	id, machine, err := t.place(drainService, time.Hour)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitAnnounced(p, drainService); err != nil {
			return "", err
		}
		p.Changes()
	}
	m, err := t.cluster.Machine(machine)
	if err != nil {
		return "", err
	}
	began := time.Now()
	t.cluster.List.SetState(m, protocol.MachineDraining)
	defer t.cluster.List.SetState(m, protocol.MachineServing)
	for k, p := range t.peers {
		if err := t.waitShutdownAnnounced(p); err != nil {
			t.Miss("peer %d: %v", k, err)
		}
	}
	took := time.Since(began)
	if err := t.send(&protocol.CancelContainer{ContainerID: id}); err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitWithdrawn("it is gone", p, drainService); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("told %d ms after the operator's word", took.Milliseconds()), nil
}

// waitShutdownAnnounced waits until a peer has the draining service's route as the last choice.
func (t *Trial) waitShutdownAnnounced(p *emulator.BGPPeer) error {
	lastChoice := false
	return t.waitUntil("the peer hears of the drain", func() bool {
		for _, update := range p.Changes() {
			lastChoice = lastChoice ||
				update.Prefix == bgpPrefix(drainService) && update.GracefulShutdown && !update.Withdrawn
		}
		return lastChoice
	})
}

// playResetAndFailure resets a session in the moment in which the machine of the last container fails. When the
// session is back the route must not be there.
func (t *Trial) playResetAndFailure() (string, error) {
	const tries = 5
	var crashed []*emulator.Machine // they stay down to the end, so that each try has another machine
	worst := time.Duration(0)
	for range tries {
		m, late, err := t.resetAndFail()
		if m != nil {
			crashed = append(crashed, m)
		}
		if err != nil {
			return "", errors.Join(err, restartAll(crashed))
		}
		worst = max(worst, late)
	}
	if err := restartAll(crashed); err != nil {
		return "", err
	}
	return fmt.Sprintf(
		"%d times, the route gone at most %d ms after the machine's death",
		tries,
		worst.Milliseconds(),
	), nil
}

func restartAll(machines []*emulator.Machine) error {
	var errs []error
	for _, m := range machines {
		errs = append(errs, m.Start(true))
	}
	return errors.Join(errs...)
}

// resetAndFail does it once. It returns the machine that it crashed and the longer of the times until the peers had
// withdrawn the route.
func (t *Trial) resetAndFail() (crashed *emulator.Machine, worst time.Duration, err error) {
	id, machine, err := t.place(resetService, time.Hour)
	if err != nil {
		return nil, 0, err
	}
	if err := t.waitAnnouncedToAll(resetService); err != nil {
		return nil, 0, err
	}
	m, err := t.cluster.Machine(machine)
	if err != nil {
		return nil, 0, err
	}
	reset, other := t.peers[0], t.peers[1]
	before := establishedCount(reset)
	go reset.Reset()
	m.Crash()
	if err := t.waitUntil(
		"the session is back",
		func() bool { return establishedCount(reset) > before && reset.Established() },
	); err != nil {
		return m, 0, err
	}
	for k, p := range t.peers {
		if err := t.waitWithdrawn("the route is gone", p, resetService); err != nil {
			t.Miss("peer %d: %v", k, err)
			continue
		}
		late := time.Since(t.endTime(id))
		worst = max(worst, late)
		if p == other && late > withdrawalLimit { // its session was up all the while
			t.Miss("peer %d was told %v after the machine died", k, late)
		}
	}
	return m, worst, nil
}

// protocolError is one way in which a peer breaks the protocol.
type protocolError struct {
	name       string
	start, end func()
}

func protocolErrors(p *emulator.BGPPeer) []protocolError {
	endSilence := func() { p.SetSilent(false) }
	return []protocolError{
		{"garbage", p.SendGarbage, func() {}},
		{"half a message, then silence", func() { p.SendPartial(); p.SetSilent(true) }, endSilence},
		{"silence", func() { p.SetSilent(true) }, endSilence},
		{
			"another AS",
			func() { p.SetWrongAS(true); p.Reset(); time.Sleep(2 * time.Second) },
			func() { p.SetWrongAS(false) },
		},
	}
}

// playProtocolErrors has a peer break the protocol: its session ends and is established again, the other peer's is not
// touched.
func (t *Trial) playProtocolErrors() (string, error) {
	const service = protocolErrorService
	id, _, err := t.place(service, time.Hour)
	if err != nil {
		return "", err
	}
	bad, good := t.peers[0], t.peers[1]
	if err := t.waitAnnouncedToAll(service); err != nil {
		return "", err
	}
	goodSessions := establishedCount(good)
	for _, e := range protocolErrors(bad) {
		before := establishedCount(bad)
		e.start()
		if err := t.waitUntil(
			e.name+" ends the session",
			func() bool { return !bad.Established() || establishedCount(bad) > before },
		); err != nil {
			return "", err
		}
		e.end()
		if err := t.waitUntil("the session is back and whole", func() bool {
			has, stale := bad.Route(bgpPrefix(service))
			return bad.Established() && has && !stale
		}); err != nil {
			return "", fmt.Errorf("%s: %w", e.name, err)
		}
	}
	if establishedCount(good) != goodSessions {
		t.Miss("the other peer's session was touched")
	}
	if err := t.send(&protocol.CancelContainer{ContainerID: id}); err != nil {
		return "", err
	}
	return "each ends its session, which comes back whole; the other stands", t.waitUntil("it is gone", func() bool {
		return !announced(bad, service) && !announced(good, service)
	})
}

// playPartition cuts the zone of an at-most-once container off. Its route must be withdrawn when the scheduler takes it
// as lost, and be announced again with it, as it ran on.
func (t *Trial) playPartition() (string, error) {
	const service, atMostOnce = partitionService, 2
	id, machine, err := t.placeWorkload(service, atMostOnce, time.Hour)
	if err != nil {
		return "", err
	}
	if err := t.waitAnnouncedToAll(service); err != nil {
		return "", err
	}
	peer := t.peers[0]
	m, err := t.cluster.Machine(machine)
	if err != nil {
		return "", err
	}
	zone := cluster.MachineNames(t.cluster.ZoneMachines(m.ZoneIndex))
	began := time.Now()
	t.cluster.Net.SetFaults(func(_ string, peerRole protocol.Role, name string) faultproxy.Fault {
		return faultproxy.Fault{Partitioned: peerRole == protocol.RoleMachine && zone[name]}
	})
	if err := t.waitWithdrawn("the route is gone", peer, service); err != nil {
		return "", err
	}
	withdrawn := time.Since(began)
	t.cluster.Net.SetFaults(func(string, protocol.Role, string) faultproxy.Fault { return faultproxy.Fault{} })
	began = time.Now()
	if err := t.waitUntil("the route is back", func() bool { return announced(peer, service) }); err != nil {
		return "", err
	}
	if !t.endTime(id).IsZero() {
		t.Miss("the container was ended by the cut")
	}
	back := time.Since(began)
	if err := t.send(&protocol.CancelContainer{ContainerID: id, IdempotencyKey: id}); err != nil {
		return "", err
	}
	return fmt.Sprintf("gone %.1f s after the cut, back %.1f s after its end", withdrawn.Seconds(), back.Seconds()),
		t.waitWithdrawn("it is gone", peer, service)
}

// playSchedulerKill kills the scheduler while containers of two services run; one ends meanwhile. When the scheduler is
// back the live one's route must never have been withdrawn, and the other's must be.
func (t *Trial) playSchedulerKill() (string, error) {
	if _, _, err := t.place(surviveService, time.Hour); err != nil {
		return "", err
	}
	id, _, err := t.place(endWhileDownService, 1500*time.Millisecond)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitUntil("both are announced", func() bool {
			return announced(p, surviveService) && announced(p, endWhileDownService)
		}); err != nil {
			return "", err
		}
		p.Changes()
	}
	scheduler := t.cluster.Schedulers[0]
	t.cluster.KillScheduler(scheduler)
	if err := t.waitUntil("one ends meanwhile", func() bool { return !t.endTime(id).IsZero() }); err != nil {
		return "", err
	}
	began := time.Now()
	if err := t.cluster.StartScheduler(scheduler); err != nil {
		return "", err
	}
	for k, p := range t.peers {
		t.checkRoutesAfterRestart(k, p)
	}
	return fmt.Sprintf(
		"routes right again %d ms after its start, the live one never gone",
		time.Since(began).Milliseconds(),
	), nil
}

func (t *Trial) checkRoutesAfterRestart(peer int, p *emulator.BGPPeer) {
	if err := t.waitUntil("the dead one's route is gone and the live one's fresh", func() bool {
		has, stale := p.Route(bgpPrefix(surviveService))
		return has && !stale && !announced(p, endWhileDownService)
	}); err != nil {
		t.Miss("peer %d: %v", peer, err)
	}
	for _, update := range p.Changes() {
		if update.Prefix == bgpPrefix(surviveService) && update.Withdrawn {
			t.Miss("peer %d lost the route of a service that ran all the while", peer)
		}
	}
}
