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

	cluster *Cluster
	peers   []*emulator.BGPPeer
	door    net.Conn
	mu      sync.Mutex
	answers map[string]chan *protocol.PlacementReply
	ended   map[string]time.Time // by the machines' own clocks
	next    int
	missed  []string
}

const (
	bgpServices  = 250
	atATime      = 50  // ends of one round
	ownServices  = 200 // from here on each step has its own: those before end so often that they are damped at last
	withdrawn    = 2 * time.Second
	betweenTold  = time.Second
	roomOfClocks = 30 * time.Millisecond // between a peer's reading and the placer's writing
)

func bgpPrefix(i int) netip.Prefix { return netip.MustParsePrefix(fmt.Sprintf("198.51.100.%d/32", i)) }

// Run plays the trial and tells whether all held.
func (t *BGPTrial) Run(day *Day, dir string, program []string) (ok bool, err error) {
	t.answers, t.ended = map[string]chan *protocol.PlacementReply{}, map[string]time.Time{}
	var peers []any
	for i := range 2 {
		p := &emulator.BGPPeer{AS: 65000, ID: [4]byte{192, 0, 2, byte(250 + i)}, HoldTime: 3 * time.Second, RestartTime: 10 * time.Second, RecordChanges: true}
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
	day.Placers = 1
	day.Extra = map[string]any{"bgp": map[string]any{"as": 65001, "identifier": "192.0.2.5", "peers": peers, "services": services}}
	if t.cluster, err = Bring(day, dir, program); err != nil {
		return false, err
	}
	defer t.cluster.Close()
	for _, m := range t.cluster.Machines {
		m.OnEnd = func(c string, at time.Time) {
			t.mu.Lock()
			t.ended[c] = at
			t.mu.Unlock()
		}
	}
	if err := t.until("both sessions stand", func() bool { return t.peers[0].Established() && t.peers[1].Established() }); err != nil {
		return false, err
	}
	if err := t.call(); err != nil {
		return false, err
	}
	defer func() { t.door.Close() }()
	for _, step := range []struct {
		name string
		play func() (string, error)
	}{{"ends", t.ends}, {"a container that flaps 50 times a second", t.flap}, {"drain first as the last choice", t.drain},
		{"reset while the last container fails", t.resetAndFail}, {"garbage, half a message, silence, another AS", t.misbehave},
		{"hall cut off and back", t.cutOff}, {"placer killed -9 and back", t.killed}} {
		before := len(t.missed)
		figures, err := step.play()
		if err != nil {
			return false, fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Fprintf(t.Out, "%-46s %s, %d missed\n", step.name, figures, len(t.missed)-before)
	}
	for i, m := range t.missed {
		if i < 5 {
			fmt.Fprintln(t.Out, "missed:", m)
		}
	}
	return len(t.missed) == 0, nil
}

func (t *BGPTrial) miss(format string, a ...any) {
	t.missed = append(t.missed, fmt.Sprintf(format, a...))
}

func (t *BGPTrial) until(what string, holds func() bool) error {
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not in 20 s: %s", what)
		}
	}
	return nil
}

// call opens a link to the placer's door and reads answers.
func (t *BGPTrial) call() (err error) {
	if t.door, err = net.Dial("tcp", t.cluster.Placers[0].Door); err != nil {
		return err
	}
	c := t.door
	t.send(protocol.NewHello(protocol.RoleClient, "trial", uint64(time.Now().UnixMicro())))
	go func() {
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil {
				return
			}
			if a, ok := f.(*protocol.PlacementReply); ok {
				t.mu.Lock()
				ch := t.answers[a.ContainerID]
				delete(t.answers, a.ContainerID)
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
	t.door.Write(p)
}

// run starts a container of a service and waits for the placer's yes.
func (t *BGPTrial) run(service int, life time.Duration) (id, machine string, err error) {
	return t.runAs(service, 0, life)
}

func (t *BGPTrial) runAs(service, workload int, life time.Duration) (id, machine string, err error) {
	t.mu.Lock()
	t.next++
	id = fmt.Sprint("c", t.next)
	ch := make(chan *protocol.PlacementReply, 1)
	t.answers[id] = ch
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

func (t *BGPTrial) endOf(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended[id]
}

// ends lets the last container behind each address end again and again, and measures until both peers are told.
func (t *BGPTrial) ends() (string, error) {
	took, n, updates := hdrhistogram.New(1, 60_000, 3), 0, 0
	for round := range t.Rounds {
		first := round * atATime % ownServices
		ids := make([]string, atATime)
		var all sync.WaitGroup
		errs := make(chan error, atATime)
		for i := range atATime {
			all.Go(func() {
				var err error
				if ids[i], _, err = t.run(first+i, time.Duration(1200+i*13)*time.Millisecond); err != nil {
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
			if err := t.until("the container ends", func() bool { return !t.endOf(id).IsZero() }); err != nil {
				return "", err
			}
			for k, p := range t.peers {
				if err := t.until(fmt.Sprintf("peer %d is told that %s is gone", k, bgpPrefix(first+i)), func() bool { has, _ := p.Route(bgpPrefix(first + i)); return !has }); err != nil {
					return "", err
				}
			}
		}
		for k, p := range t.peers {
			for _, x := range p.Changes() {
				updates++
				if !x.Withdrawn {
					continue
				}
				late := x.At.Sub(t.endOf(ids[int(x.Prefix.Addr().As4()[3])-first]))
				n++
				took.RecordValue(max(1, late.Milliseconds()))
				if late > withdrawn {
					t.miss("peer %d was told that %s is gone %v after its last container's end", k, x.Prefix, late)
				}
			}
		}
	}
	if n < t.Rounds*atATime*len(t.peers) {
		t.miss("%d withdrawals for %d ends at %d peers", n, t.Rounds*atATime, len(t.peers))
	}
	return fmt.Sprintf("%d ends at %d peers, withdrawn after p50 %d ms, p99 %d ms, worst %d ms; %.1f updates an end and peer",
		t.Rounds*atATime, len(t.peers), took.ValueAtQuantile(50), took.ValueAtQuantile(99), took.Max(),
		float64(updates)/float64(t.Rounds*atATime*len(t.peers))), nil
}

// flap starts and ends containers of one service fifty times a second for eight seconds.
func (t *BGPTrial) flap() (string, error) {
	const flaps = 400
	for _, p := range t.peers {
		p.Changes()
	}
	began := time.Now()
	for i := range flaps {
		time.Sleep(time.Until(began.Add(time.Duration(i) * 20 * time.Millisecond)))
		go t.run(ownServices, 10*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	worst, n := time.Hour, 0
	for k, p := range t.peers {
		var last time.Time
		for _, x := range p.Changes() {
			if x.Prefix != bgpPrefix(ownServices) {
				continue
			}
			n++
			if gap := x.At.Sub(last); !last.IsZero() {
				worst = min(worst, gap)
				if gap < betweenTold-roomOfClocks {
					t.miss("peer %d was told of %s twice within %v", k, x.Prefix, gap)
				}
			}
			last = x.At
		}
		if has, _ := p.Route(bgpPrefix(ownServices)); has {
			t.miss("peer %d still has the route of a service without a container", k)
		}
	}
	return fmt.Sprintf("%d starts, %.1f updates a peer, none within %d ms of another", flaps, float64(n)/float64(len(t.peers)), worst.Milliseconds()), nil
}

// drain marks the machine of a lone container as draining: it must become the last choice before it is gone.
func (t *BGPTrial) drain() (string, error) {
	const service = ownServices + 1
	id, machine, err := t.run(service, time.Hour)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.until("it is announced", func() bool { has, _ := p.Route(bgpPrefix(service)); return has }); err != nil {
			return "", err
		}
		p.Changes()
	}
	began := time.Now()
	for _, m := range t.cluster.Machines {
		if m.Name == machine {
			t.cluster.List.SetState(m, protocol.MachineDraining)
			defer t.cluster.List.SetState(m, protocol.MachineServing)
		}
	}
	for k, p := range t.peers {
		shut := false
		if err := t.until("the peer hears of the drain", func() bool {
			for _, x := range p.Changes() {
				shut = shut || x.Prefix == bgpPrefix(service) && x.GracefulShutdown && !x.Withdrawn
			}
			return shut
		}); err != nil {
			t.miss("peer %d: %v", k, err)
		}
	}
	took := time.Since(began)
	t.send(&protocol.CancelContainer{ContainerID: id})
	for _, p := range t.peers {
		if err := t.until("it is gone", func() bool { has, _ := p.Route(bgpPrefix(service)); return !has }); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("told %d ms after the operator's word", took.Milliseconds()), nil
}

// resetAndFail resets a session in the moment in which the machine of the last container dies. When the session is
// back the route must not be there.
func (t *BGPTrial) resetAndFail() (string, error) {
	const service, tries = ownServices + 2, 5
	worst := time.Duration(0)
	for range tries {
		id, machine, err := t.run(service, time.Hour)
		if err != nil {
			return "", err
		}
		for _, p := range t.peers {
			if err := t.until("it is announced", func() bool { has, _ := p.Route(bgpPrefix(service)); return has }); err != nil {
				return "", err
			}
		}
		before := t.peers[0].Stats().Sessions
		for _, m := range t.cluster.Machines {
			if m.Name == machine {
				go t.peers[0].Reset()
				m.Crash()
				defer m.Start(true)
			}
		}
		if err := t.until("the session is back", func() bool { return t.peers[0].Stats().Sessions > before && t.peers[0].Established() }); err != nil {
			return "", err
		}
		for k, p := range t.peers {
			if err := t.until("the route is gone", func() bool { has, _ := p.Route(bgpPrefix(service)); return !has }); err != nil {
				t.miss("peer %d: %v", k, err)
				continue
			}
			late := time.Since(t.endOf(id))
			worst = max(worst, late)
			if k == 1 && late > withdrawn { // the one whose session stood
				t.miss("peer %d was told %v after the machine died", k, late)
			}
		}
	}
	return fmt.Sprintf("%d times, the route gone at most %d ms after the machine's death", tries, worst.Milliseconds()), nil
}

// misbehave plays a peer that breaks the protocol: the session ends and comes back, the other peer is not touched.
func (t *BGPTrial) misbehave() (string, error) {
	const service = ownServices + 3
	id, _, err := t.run(service, time.Hour)
	if err != nil {
		return "", err
	}
	bad, good := t.peers[0], t.peers[1]
	if err := t.until("it is announced", func() bool {
		a, _ := bad.Route(bgpPrefix(service))
		b, _ := good.Route(bgpPrefix(service))
		return a && b
	}); err != nil {
		return "", err
	}
	stood := good.Stats().Sessions
	for _, do := range []struct {
		name string
		f    func()
		over func()
	}{{"garbage", bad.SendGarbage, func() {}}, {"half a message, then silence", func() { bad.SendPartial(); bad.SetSilent(true) }, func() { bad.SetSilent(false) }},
		{"silence", func() { bad.SetSilent(true) }, func() { bad.SetSilent(false) }},
		{"another AS", func() { bad.SetWrongAS(true); bad.Reset(); time.Sleep(2 * time.Second) }, func() { bad.SetWrongAS(false) }}} {
		before := bad.Stats().Sessions
		do.f()
		if err := t.until(do.name+" ends the session", func() bool { return !bad.Established() || bad.Stats().Sessions > before }); err != nil {
			return "", err
		}
		do.over()
		if err := t.until("the session is back and whole", func() bool {
			has, stale := bad.Route(bgpPrefix(service))
			return bad.Established() && has && !stale
		}); err != nil {
			return "", fmt.Errorf("%s: %w", do.name, err)
		}
	}
	if n := good.Stats().Sessions; n != stood {
		t.miss("the other peer's session was touched")
	}
	t.send(&protocol.CancelContainer{ContainerID: id})
	return "each ends its session, which comes back whole; the other stands", t.until("it is gone", func() bool {
		a, _ := bad.Route(bgpPrefix(service))
		b, _ := good.Route(bgpPrefix(service))
		return !a && !b
	})
}

// cutOff cuts the way to the hall of an at-most-once container. Its route must go when the placer takes it as lost,
// and come back with it, as it ran on.
func (t *BGPTrial) cutOff() (string, error) {
	const service = ownServices + 6
	id, machine, err := t.runAs(service, 2, time.Hour)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.until("it is announced", func() bool { has, _ := p.Route(bgpPrefix(service)); return has }); err != nil {
			return "", err
		}
	}
	hall := map[string]bool{}
	for _, m := range t.cluster.Machines {
		for _, o := range t.cluster.Machines {
			if o.Name == machine && o.ZoneIndex == m.ZoneIndex {
				hall[m.Name] = true
			}
		}
	}
	began := time.Now()
	t.cluster.Net.SetFaults(func(_ string, far protocol.Role, name string) faultproxy.Fault {
		return faultproxy.Fault{Partitioned: far == protocol.RoleMachine && hall[name]}
	})
	gone := func() bool { has, _ := t.peers[0].Route(bgpPrefix(service)); return !has }
	if err := t.until("the route is gone", gone); err != nil {
		return "", err
	}
	cut := time.Since(began)
	t.cluster.Net.SetFaults(func(string, protocol.Role, string) faultproxy.Fault { return faultproxy.Fault{} })
	began = time.Now()
	if err := t.until("the route is back", func() bool { return !gone() }); err != nil {
		return "", err
	}
	if !t.endOf(id).IsZero() {
		t.miss("the container was ended by the cut")
	}
	back := time.Since(began)
	t.send(&protocol.CancelContainer{ContainerID: id, IdempotencyKey: id})
	return fmt.Sprintf("gone %.1f s after the cut, back %.1f s after its end", cut.Seconds(), back.Seconds()), t.until("it is gone", gone)
}

// killed kills the placer for good while containers of two services run; one ends meanwhile. When the placer is
// back the live one's route must never have gone, and the other's must go.
func (t *BGPTrial) killed() (string, error) {
	const lives, dies = ownServices + 4, ownServices + 5
	if _, _, err := t.run(lives, time.Hour); err != nil {
		return "", err
	}
	id, _, err := t.run(dies, 1500*time.Millisecond)
	if err != nil {
		return "", err
	}
	for _, p := range t.peers {
		if err := t.until("both are announced", func() bool {
			a, _ := p.Route(bgpPrefix(lives))
			b, _ := p.Route(bgpPrefix(dies))
			return a && b
		}); err != nil {
			return "", err
		}
		p.Changes()
	}
	t.cluster.Kill(t.cluster.Placers[0])
	if err := t.until("one ends meanwhile", func() bool { return !t.endOf(id).IsZero() }); err != nil {
		return "", err
	}
	began := time.Now()
	if err := t.cluster.Up(t.cluster.Placers[0]); err != nil {
		return "", err
	}
	for k, p := range t.peers {
		if err := t.until("the dead one's route is gone and the live one's fresh", func() bool {
			has, stale := p.Route(bgpPrefix(lives))
			dead, _ := p.Route(bgpPrefix(dies))
			return has && !stale && !dead
		}); err != nil {
			t.miss("peer %d: %v", k, err)
		}
		for _, x := range p.Changes() {
			if x.Prefix == bgpPrefix(lives) && x.Withdrawn {
				t.miss("peer %d lost the route of a service that ran all the while", k)
			}
		}
	}
	return fmt.Sprintf("routes right again %d ms after its start, the live one never gone", time.Since(began).Milliseconds()), nil
}
