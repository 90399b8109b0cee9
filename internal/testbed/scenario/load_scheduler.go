package scenario

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"glenport/internal/protocol"
)

// PlacementLoad is what a placer did under a load.
type PlacementLoad struct {
	PlacedPerSecond      float64
	P50, P99, P999       float64 // ms from a submission at the door to its bid on the socket
	Worst                float64
	Busy                 float64 // part of the time that the loop was at work
	DecidingShare        float64 // part of that spent in the module
	DecidingMicroseconds float64 // microseconds of it a container
	MiB                  float64
	MiBBefore            float64 // with all links open and nothing submitted
	KnownContainers      float64 // containers known at the end
	Connections          float64
}

// instantMachine is a machine that says yes to every offer as it comes and ends each container when its time is up. It
// has no state beyond that, so that what is measured is the placer.
type instantMachine struct {
	name string
	net.Listener
	full bool // it has no cores for anything
}

func (m *instantMachine) serve(each *sync.WaitGroup, stop chan struct{}) {
	for {
		c, err := m.Accept()
		if err != nil {
			return
		}
		each.Go(func() {
			defer c.Close()
			if _, err := protocol.ReadFrame(c, 1024); err != nil {
				return
			}
			hello, _ := protocol.Append(nil, protocol.NewHello(protocol.RoleMachine, m.name, 1))
			hello, _ = protocol.Append(hello, &protocol.Inventory{MachineIncarnation: 1})
			c.Write(hello)
			var mu sync.Mutex // keeps frames whole: two sides write
			var p []byte
			put := func(f protocol.Frame) {
				mu.Lock()
				p, _ = protocol.Append(p[:0], f)
				c.Write(p)
				mu.Unlock()
			}
			each.Go(func() {
				for {
					select {
					case <-stop:
						c.Close()
						return
					case <-time.After(time.Second):
						put(&protocol.Heartbeat{})
					}
				}
			})
			for {
				f, err := protocol.ReadFrame(c, protocol.MaxFrame)
				if err != nil {
					return
				}
				if o, ok := f.(*protocol.Offer); ok && m.full {
					put(&protocol.Result{AttemptID: o.AttemptID, Outcome: protocol.OutcomeFull, Reason: protocol.ReasonNoCores})
				} else if ok {
					put(&protocol.Accept{AttemptID: o.AttemptID, Running: true})
					time.AfterFunc(time.Duration(o.Spec.ExpectedRuntime)*100*time.Microsecond, func() {
						put(&protocol.Result{AttemptID: o.AttemptID})
					})
				}
			}
		})
	}
}

// serveInstantList answers every question with all machines.
func serveInstantList(l net.Listener, machines []*instantMachine, each *sync.WaitGroup, stop chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		each.Go(func() {
			defer c.Close()
			hello, _ := protocol.Append(nil, protocol.NewHello(protocol.RoleMachineList, "list", 1))
			c.Write(hello)
			var mu sync.Mutex
			each.Go(func() {
				beat, _ := protocol.Append(nil, &protocol.Heartbeat{})
				for {
					select {
					case <-stop:
						c.Close()
						return
					case <-time.After(time.Second):
						mu.Lock()
						c.Write(beat)
						mu.Unlock()
					}
				}
			})
			for {
				f, err := protocol.ReadFrame(c, 1<<20)
				if err != nil {
					return
				}
				if _, ok := f.(*protocol.WatchMachineList); !ok {
					continue
				}
				all := &protocol.MachineListUpdate{FullSnapshot: true, Version: 1}
				for i, m := range machines {
					free := 100.0
					if m.full {
						free = -100
					}
					all.Entries = append(all.Entries, protocol.MachineEntry{Machine: m.name, Address: m.Addr().String(), Zone: i % 3, MachineType: i % 2,
						RackGroup: i / 4, FreeCores: free, FreeMemory: 100, PowerHint: 1, Incarnation: 1, Age: -1})
				}
				p, _ := protocol.Append(nil, all)
				mu.Lock()
				c.Write(p)
				mu.Unlock()
			}
		})
	}
}

// benchCluster is one placer process, a list and machines that answer at once.
type benchCluster struct {
	scheduler  *SchedulerProcess
	list       net.Listener
	listeners  []net.Listener
	stop       chan struct{}
	goroutines sync.WaitGroup
}

func (b *benchCluster) close() {
	if b.scheduler != nil {
		b.scheduler.Stop(9)
		b.scheduler.log.Close()
	}
	close(b.stop)
	for _, l := range b.listeners {
		l.Close()
	}
	b.goroutines.Wait()
}

// startBench waits until the placer has links to all machines; full ones have no room for anything.
func startBench(template, dir string, program []string, machines int, full bool) (b *benchCluster, err error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	b = &benchCluster{stop: make(chan struct{})}
	defer func() {
		if err != nil {
			b.close()
		}
	}()
	var fleet []*instantMachine
	for i := range machines {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &instantMachine{fmt.Sprintf("machine-%04d", i), l, full}
		b.listeners = append(b.listeners, l)
		fleet = append(fleet, m)
		b.goroutines.Go(func() { m.serve(&b.goroutines, b.stop) })
	}
	if b.list, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	b.listeners = append(b.listeners, b.list)
	b.goroutines.Go(func() { serveInstantList(b.list, fleet, &b.goroutines, b.stop) })
	p := &SchedulerProcess{Name: "measured", command: program, file: filepath.Join(dir, "placer.yaml")}
	if p.Address, err = freePort(); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(dir, "placer.log")); err != nil {
		return nil, err
	}
	b.scheduler = p
	if _, err := writeSchedulerConfig(text, p.file, nil, map[string]any{"name": "measured", "number": 0, "placers": 1, "door": p.Address,
		"state": filepath.Join(dir, "state"), "list": map[string]any{"address": b.list.Addr().String()},
		"links":  map[string]any{"close_idle_after": "10min"},
		"bounds": map[string]any{"open_containers": 1000000, "open_containers_of_one_owner": 1000000}}); err != nil {
		return nil, err
	}
	if err := p.Start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if s, err := p.Status(); err == nil && int(s["connections"]) >= machines {
			return b, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("the placer has no links to all %d machines after 20 s", machines)
		}
	}
}

// MeasureLoad runs one placer process for a while against machines that answer at once.
func MeasureLoad(template, dir string, program []string, machines, rate int, length, life time.Duration) (*PlacementLoad, error) {
	b, err := startBench(template, dir, program, machines, false)
	if err != nil {
		return nil, err
	}
	defer b.close()
	p := b.scheduler
	before, err := p.Status()
	if err != nil {
		return nil, err
	}
	placed, err := submitSteadily(p.Address, rate, length, life)
	if err != nil {
		return nil, err
	}
	s, err := p.Status()
	if err != nil {
		return nil, err
	}
	busy := s["busy"] - before["busy"]
	deciding := s["deciding"] - before["deciding"]
	return &PlacementLoad{PlacedPerSecond: float64(placed) / length.Seconds(), P50: s["placing p50"], P99: s["placing p99"],
		P999: s["placing p99.9"], Worst: s["placing worst"], Busy: busy / (s["up"] - before["up"]), DecidingShare: deciding / busy,
		DecidingMicroseconds: deciding / s["submissions"] * 1e6, MiB: s["heap live"], MiBBefore: before["heap live"],
		KnownContainers: s["containers known"], Connections: s["connections"]}, nil
}

// submitSteadily submits at even intervals, whatever the answers, and counts those that say placed.
func submitSteadily(door string, rate int, length, life time.Duration) (int, error) {
	c, err := net.Dial("tcp", door)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	p, _ := protocol.Append(nil, protocol.NewHello(protocol.RoleClient, "load", 1))
	c.Write(p)
	var placed atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			f, err := protocol.ReadFrame(c, protocol.MaxFrame)
			if err != nil {
				return
			}
			if a, ok := f.(*protocol.PlacementReply); ok && a.Verdict == protocol.VerdictPlaced {
				placed.Add(1)
			}
		}
	}()
	total := int(float64(rate) * length.Seconds())
	began := time.Now()
	p = p[:0]
	for i := 0; i < total; {
		due := int(time.Since(began).Seconds() * float64(rate))
		for p = p[:0]; i < min(due, total); i++ {
			id := fmt.Sprint("c", i)
			p, _ = protocol.Append(p, &protocol.Submit{TimeToDeadline: 40000, Spec: protocol.ContainerSpec{ContainerID: id, IdempotencyKey: id, Service: fmt.Sprint("s", i%500),
				Cores: 0.5, Memory: 1, ExpectedRuntime: protocol.Duration(life.Microseconds() / 100)}})
		}
		if _, err := c.Write(p); err != nil {
			return 0, err
		}
		time.Sleep(500 * time.Microsecond)
	}
	time.Sleep(time.Second)
	n := int(placed.Load())
	c.Close()
	<-done
	return n, nil
}
