package scenario

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BGPTrial brings up a cluster whose placer announces addresses to two stand-in peers, and judges by what they
// received.
type BGPTrial struct {
	Rounds int
	Out    io.Writer

	cluster       *Cluster
	peers         []*emulator.BGPPeer
	connection    net.Conn
	mu            sync.Mutex
	replies       map[string]chan *protocol.PlacementReply
	endTimes      map[string]time.Time // by the machines' own clocks
	lastContainer int
	misses        []string
}

const (
	bgpServices          = 250
	endsPerRound         = 50  // ends of one round
	firstReservedService = 200 // from here on each step has its own: those before end so often that they are damped at last
	withdrawalLimit      = 2 * time.Second
	minUpdateInterval    = time.Second
	clockTolerance       = 30 * time.Millisecond // between a peer's reading and the placer's writing
)

func bgpPrefix(i int) netip.Prefix { return netip.MustParsePrefix(fmt.Sprintf("198.51.100.%d/32", i)) }

// Run plays the trial and tells whether all held.
func (t *BGPTrial) Run(day *Scenario, dir string, program []string) (ok bool, err error) {
	t.replies, t.endTimes = map[string]chan *protocol.PlacementReply{}, map[string]time.Time{}
	var peers []any
	for i := range 2 {
		p := &emulator.BGPPeer{AS: 65000, ID: [4]byte{192, 0, 2, byte(250 + i)}, Hold: 3 * time.Second, Helps: 10 * time.Second, Journal: true}
		addr, err := p.Open()
		if err != nil {
			return false, err
		}
		defer p.Close()
		t.peers = append(t.peers, p)
		peers = append(peers, map[string]any{"address": addr, "as": 65000, "hold": "3s", "keep_routes_for": "10s",
			"allow": []any{"198.51.100.0/24"}})
	}
	var services []any
	for i := range bgpServices {
		services = append(services, map[string]any{"service": fmt.Sprint("web-", i), "prefix": bgpPrefix(i).String(), "next_hop": "192.0.2.5"})
	}
	day.Schedulers = 1
	day.ExtraConfig = map[string]any{"bgp": map[string]any{"as": 65001, "identifier": "192.0.2.5", "peers": peers, "services": services}}
	if t.cluster, err = StartCluster(day, dir, program); err != nil {
		return false, err
	}
	defer t.cluster.Close()
	for _, m := range t.cluster.Machines {
		m.OnEnd = func(c string, at time.Time) {
			t.mu.Lock()
			t.endTimes[c] = at
			t.mu.Unlock()
		}
	}
	if err := t.waitUntil("both sessions stand", func() bool { return t.peers[0].Up() && t.peers[1].Up() }); err != nil {
		return false, err
	}
	if err := t.connect(); err != nil {
		return false, err
	}
	defer func() { t.connection.Close() }()
	for _, step := range []struct {
		name string
		play func() (string, error)
	}{{"ends", t.playEnds}, {"a container that flaps 50 times a second", t.playFlaps}, {"drain first as the last choice", t.playDrain},
		{"reset while the last container fails", t.playResetAndFailure}, {"garbage, half a message, silence, another AS", t.playProtocolErrors},
		{"hall cut off and back", t.playPartition}, {"placer killed -9 and back", t.playSchedulerKill}} {
		before := len(t.misses)
		figures, err := step.play()
		if err != nil {
			return false, fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Fprintf(t.Out, "%-46s %s, %d missed\n", step.name, figures, len(t.misses)-before)
	}
	for i, m := range t.misses {
		if i < 5 {
			fmt.Fprintln(t.Out, "missed:", m)
		}
	}
	return len(t.misses) == 0, nil
}

func (t *BGPTrial) miss(format string, a ...any) {
	t.misses = append(t.misses, fmt.Sprintf(format, a...))
}

func (t *BGPTrial) waitUntil(what string, holds func() bool) error {
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not in 20 s: %s", what)
		}
	}
	return nil
}

// connect opens a link to the placer's door and reads answers.
func (t *BGPTrial) connect() (err error) {
	if t.connection, err = net.Dial("tcp", t.cluster.Schedulers[0].Address); err != nil {
		return err
	}
	c := t.connection
	t.send(protocol.NewHello(protocol.RoleClient, "trial", uint64(time.Now().UnixMicro())))
	go func() {
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil {
				return
			}
			if a, ok := f.(*protocol.PlacementReply); ok {
				t.mu.Lock()
				ch := t.replies[a.ContainerID]
				delete(t.replies, a.ContainerID)
				t.mu.Unlock()
				if ch != nil {
					ch <- a
				}
			}
		}
	}()
	return nil
}

func (t *BGPTrial) send(f protocol.Frame) {
	p, err := protocol.Append(nil, f)
	if err != nil {
		panic(err)
	}
	t.connection.Write(p)
}

// place starts a container of a service and waits for the placer's yes.
func (t *BGPTrial) place(service int, life time.Duration) (id, machine string, err error) {
	return t.placeWorkload(service, 0, life)
}

func (t *BGPTrial) placeWorkload(service, workload int, life time.Duration) (id, machine string, err error) {
	t.mu.Lock()
	t.lastContainer++
	id = fmt.Sprint("c", t.lastContainer)
	ch := make(chan *protocol.PlacementReply, 1)
	t.replies[id] = ch
	t.mu.Unlock()
	t.send(&protocol.Submit{TimeToDeadline: 40000, Spec: protocol.ContainerSpec{ContainerID: id, IdempotencyKey: id, Service: fmt.Sprint("web-", service), WorkloadClass: workload, Cores: 0.1, Memory: 0.1,
		ExpectedRuntime: protocol.Duration(life.Microseconds() / 100)}})
	select {
	case a := <-ch:
		if a.Verdict != protocol.VerdictPlaced {
			return id, "", fmt.Errorf("%s was %s", id, a.Verdict)
		}
		return id, a.Machine, nil
	case <-time.After(6 * time.Second):
		return id, "", fmt.Errorf("%s was not answered", id)
	}
}

func (t *BGPTrial) endTime(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endTimes[id]
}

// playEnds lets the last container behind each address end again and again, and measures until both peers are told.
func (t *BGPTrial) playEnds() (string, error) {
	took, n, updates := hdrhistogram.New(1, 60_000, 3), 0, 0
	for round := range t.Rounds {
		first := round * endsPerRound % firstReservedService
		ids := make([]string, endsPerRound)
		var all sync.WaitGroup
		errs := make(chan error, endsPerRound)
		for i := range endsPerRound {
			all.Go(func() {
				var err error
				if ids[i], _, err = t.place(first+i, time.Duration(1200+i*13)*time.Millisecond); err != nil {
					errs <- err
				}
			})
		}
		all.Wait()
		select {
		case err := <-errs:
			return "", err
		default:
		}
		for i, id := range ids {
			if err := t.waitUntil("the container ends", func() bool { return !t.endTime(id).IsZero() }); err != nil {
				return "", err
			}
			for k, p := range t.peers {
				if err := t.waitUntil(fmt.Sprintf("peer %d is told that %s is gone", k, bgpPrefix(first+i)), func() bool { has, _ := p.Has(bgpPrefix(first + i)); return !has }); err != nil {
					return "", err
				}
			}
		}
		for k, p := range t.peers {
			for _, x := range p.Told() {
				updates++
				if !x.Gone {
					continue
				}
				late := x.At.Sub(t.endTime(ids[int(x.Prefix.Addr().As4()[3])-first]))
				n++
				took.RecordValue(max(1, late.Milliseconds()))
				if late > withdrawalLimit {
					t.miss("peer %d was told that %s is gone %v after its last container's end", k, x.Prefix, late)
				}
			}
		}
	}
	if n < t.Rounds*endsPerRound*len(t.peers) {
		t.miss("%d withdrawals for %d ends at %d peers", n, t.Rounds*endsPerRound, len(t.peers))
	}
	return fmt.Sprintf("%d ends at %d peers, withdrawn after p50 %d ms, p99 %d ms, worst %d ms; %.1f updates an end and peer",
		t.Rounds*endsPerRound, len(t.peers), took.ValueAtQuantile(50), took.ValueAtQuantile(99), took.Max(),
		float64(updates)/float64(t.Rounds*endsPerRound*len(t.peers))), nil
}

// playFlaps starts and ends containers of one service fifty times a second for eight seconds.
func (t *BGPTrial) playFlaps() (string, error) {
	const flaps = 400
	for _, p := range t.peers {
		p.Told()
	}
	began := time.Now()
	for i := range flaps {
		time.Sleep(time.Until(began.Add(time.Duration(i) * 20 * time.Millisecond)))
		go t.place(firstReservedService, 10*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	worst, n := time.Hour, 0
	for k, p := range t.peers {
		var last time.Time
		for _, x := range p.Told() {
			if x.Prefix != bgpPrefix(firstReservedService) {
				continue
			}
			n++
			if gap := x.At.Sub(last); !last.IsZero() {
				worst = min(worst, gap)
				if gap < minUpdateInterval-clockTolerance {
					t.miss("peer %d was told of %s twice within %v", k, x.Prefix, gap)
				}
			}
			last = x.At
		}
		if has, _ := p.Has(bgpPrefix(firstReservedService)); has {
			t.miss("peer %d still has the route of a service without a container", k)
		}
	}
	return fmt.Sprintf("%d starts, %.1f updates a peer, none within %d ms of another", flaps, float64(n)/float64(len(t.peers)), worst.Milliseconds()), nil
}

// playDrain marks the machine of a lone container as draining: it must become the last choice before it is gone.
func (t *BGPTrial) playDrain() (string, error) {
	const service = firstReservedService + 1
	id, machine, err := t.place(service, time.Hour)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitUntil("it is announced", func() bool { has, _ := p.Has(bgpPrefix(service)); return has }); err != nil {
			return "", err
		}
		p.Told()
	}
	began := time.Now()
	for _, m := range t.cluster.Machines {
		if m.Name == machine {
			t.cluster.List.Mark(m, protocol.MachineDraining)
			defer t.cluster.List.Mark(m, protocol.MachineServing)
		}
	}
	for k, p := range t.peers {
		shut := false
		if err := t.waitUntil("the peer hears of the drain", func() bool {
			for _, x := range p.Told() {
				shut = shut || x.Prefix == bgpPrefix(service) && x.Shut && !x.Gone
			}
			return shut
		}); err != nil {
			t.miss("peer %d: %v", k, err)
		}
	}
	took := time.Since(began)
	t.send(&protocol.CancelContainer{ContainerID: id})
	for _, p := range t.peers {
		if err := t.waitUntil("it is gone", func() bool { has, _ := p.Has(bgpPrefix(service)); return !has }); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("told %d ms after the operator's word", took.Milliseconds()), nil
}

// playResetAndFailure resets a session in the moment in which the machine of the last container dies. When the session is
// back the route must not be there.
func (t *BGPTrial) playResetAndFailure() (string, error) {
	const service, tries = firstReservedService + 2, 5
	worst := time.Duration(0)
	for range tries {
		id, machine, err := t.place(service, time.Hour)
		if err != nil {
			return "", err
		}
		for _, p := range t.peers {
			if err := t.waitUntil("it is announced", func() bool { has, _ := p.Has(bgpPrefix(service)); return has }); err != nil {
				return "", err
			}
		}
		_, before, _, _, _ := t.peers[0].Figures()
		for _, m := range t.cluster.Machines {
			if m.Name == machine {
				go t.peers[0].Reset()
				m.Crash()
				defer m.Up(true)
			}
		}
		if err := t.waitUntil("the session is back", func() bool { _, n, _, _, _ := t.peers[0].Figures(); return n > before && t.peers[0].Up() }); err != nil {
			return "", err
		}
		for k, p := range t.peers {
			if err := t.waitUntil("the route is gone", func() bool { has, _ := p.Has(bgpPrefix(service)); return !has }); err != nil {
				t.miss("peer %d: %v", k, err)
				continue
			}
			late := time.Since(t.endTime(id))
			worst = max(worst, late)
			if k == 1 && late > withdrawalLimit { // the one whose session stood
				t.miss("peer %d was told %v after the machine died", k, late)
			}
		}
	}
	return fmt.Sprintf("%d times, the route gone at most %d ms after the machine's death", tries, worst.Milliseconds()), nil
}

// playProtocolErrors plays a peer that breaks the protocol: the session ends and comes back, the other peer is not touched.
func (t *BGPTrial) playProtocolErrors() (string, error) {
	const service = firstReservedService + 3
	id, _, err := t.place(service, time.Hour)
	if err != nil {
		return "", err
	}
	bad, good := t.peers[0], t.peers[1]
	if err := t.waitUntil("it is announced", func() bool {
		a, _ := bad.Has(bgpPrefix(service))
		b, _ := good.Has(bgpPrefix(service))
		return a && b
	}); err != nil {
		return "", err
	}
	_, stood, _, _, _ := good.Figures()
	for _, do := range []struct {
		name string
		f    func()
		over func()
	}{{"garbage", bad.Garble, func() {}}, {"half a message, then silence", func() { bad.Half(); bad.Silence(true) }, func() { bad.Silence(false) }},
		{"silence", func() { bad.Silence(true) }, func() { bad.Silence(false) }},
		{"another AS", func() { bad.WrongAS(true); bad.Reset(); time.Sleep(2 * time.Second) }, func() { bad.WrongAS(false) }}} {
		_, before, _, _, _ := bad.Figures()
		do.f()
		if err := t.waitUntil(do.name+" ends the session", func() bool { _, n, _, _, _ := bad.Figures(); return !bad.Up() || n > before }); err != nil {
			return "", err
		}
		do.over()
		if err := t.waitUntil("the session is back and whole", func() bool {
			has, stale := bad.Has(bgpPrefix(service))
			return bad.Up() && has && !stale
		}); err != nil {
			return "", fmt.Errorf("%s: %w", do.name, err)
		}
	}
	if _, n, _, _, _ := good.Figures(); n != stood {
		t.miss("the other peer's session was touched")
	}
	t.send(&protocol.CancelContainer{ContainerID: id})
	return "each ends its session, which comes back whole; the other stands", t.waitUntil("it is gone", func() bool {
		a, _ := bad.Has(bgpPrefix(service))
		b, _ := good.Has(bgpPrefix(service))
		return !a && !b
	})
}

// playPartition cuts the way to the hall of an at-most-once container. Its route must go when the placer takes it as lost,
// and come back with it, as it ran on.
func (t *BGPTrial) playPartition() (string, error) {
	const service = firstReservedService + 6
	id, machine, err := t.placeWorkload(service, 2, time.Hour)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitUntil("it is announced", func() bool { has, _ := p.Has(bgpPrefix(service)); return has }); err != nil {
			return "", err
		}
	}
	hall := map[string]bool{}
	for _, m := range t.cluster.Machines {
		for _, o := range t.cluster.Machines {
			if o.Name == machine && o.ZoneN == m.ZoneN {
				hall[m.Name] = true
			}
		}
	}
	began := time.Now()
	t.cluster.Net.Set(func(_ string, far protocol.Role, name string) faultproxy.Fault {
		return faultproxy.Fault{Cut: far == protocol.RoleMachine && hall[name]}
	})
	gone := func() bool { has, _ := t.peers[0].Has(bgpPrefix(service)); return !has }
	if err := t.waitUntil("the route is gone", gone); err != nil {
		return "", err
	}
	cut := time.Since(began)
	t.cluster.Net.Set(func(string, protocol.Role, string) faultproxy.Fault { return faultproxy.Fault{} })
	began = time.Now()
	if err := t.waitUntil("the route is back", func() bool { return !gone() }); err != nil {
		return "", err
	}
	if !t.endTime(id).IsZero() {
		t.miss("the container was ended by the cut")
	}
	back := time.Since(began)
	t.send(&protocol.CancelContainer{ContainerID: id, IdempotencyKey: id})
	return fmt.Sprintf("gone %.1f s after the cut, back %.1f s after its end", cut.Seconds(), back.Seconds()), t.waitUntil("it is gone", gone)
}

// playSchedulerKill kills the placer for good while containers of two services run; one ends meanwhile. When the placer is
// back the live one's route must never have gone, and the other's must go.
func (t *BGPTrial) playSchedulerKill() (string, error) {
	const lives, dies = firstReservedService + 4, firstReservedService + 5
	if _, _, err := t.place(lives, time.Hour); err != nil {
		return "", err
	}
	id, _, err := t.place(dies, 1500*time.Millisecond)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.waitUntil("both are announced", func() bool {
			a, _ := p.Has(bgpPrefix(lives))
			b, _ := p.Has(bgpPrefix(dies))
			return a && b
		}); err != nil {
			return "", err
		}
		p.Told()
	}
	t.cluster.KillScheduler(t.cluster.Schedulers[0])
	if err := t.waitUntil("one ends meanwhile", func() bool { return !t.endTime(id).IsZero() }); err != nil {
		return "", err
	}
	began := time.Now()
	if err := t.cluster.StartScheduler(t.cluster.Schedulers[0]); err != nil {
		return "", err
	}
	for k, p := range t.peers {
		if err := t.waitUntil("the dead one's route is gone and the live one's fresh", func() bool {
			has, stale := p.Has(bgpPrefix(lives))
			dead, _ := p.Has(bgpPrefix(dies))
			return has && !stale && !dead
		}); err != nil {
			t.miss("peer %d: %v", k, err)
		}
		for _, x := range p.Told() {
			if x.Prefix == bgpPrefix(lives) && x.Gone {
				t.miss("peer %d lost the route of a service that ran all the while", k)
			}
		}
	}
	return fmt.Sprintf("routes right again %d ms after its start, the live one never gone", time.Since(began).Milliseconds()), nil
}
