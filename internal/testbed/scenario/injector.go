package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
	"glenport/internal/testbed/report"
)

// networkRule returns the fault of the connection between a scheduler and its peer.
type networkRule func(scheduler string, peerRole protocol.Role, peer string) faultproxy.Fault

// faultInjector injects the faults of a scenario into a cluster.
type faultInjector struct {
	*Cluster
	scenario *Scenario
	rng      *rand.Rand
	log      *timedLog
	over     chan struct{} // closed when the scenario ends

	mu           sync.Mutex // guards rng and what follows
	networkRules map[int]networkRule
	lastRule     int
	injected     map[string]int // by kind of fault
}

func newFaultInjector(c *Cluster, s *Scenario, log *timedLog) *faultInjector {
	return &faultInjector{
		Cluster:      c,
		scenario:     s,
		rng:          rand.New(rand.NewPCG(s.Seed, 11)),
		log:          log,
		over:         make(chan struct{}),
		networkRules: map[int]networkRule{},
		injected:     map[string]int{},
	}
}

// wait sleeps for d, or until the scenario ends.
func (i *faultInjector) wait(d time.Duration) {
	select {
	case <-i.over:
	case <-time.After(d):
	}
}

// play injects a fault at its time, counted from the log's start, and returns when it has ended.
func (i *faultInjector) play(f Fault) {
	i.wait(f.At - time.Since(i.log.began))
	select {
	case <-i.over:
		return
	default:
	}
	i.mu.Lock()
	i.injected[f.Kind]++
	i.mu.Unlock()
	i.log.printf("%s%s", f.Kind, f.describe(i.scenario))
	injectors[f.Kind].inject(i, f)
	i.log.printf("%s: over", f.Kind)
}

// addNetworkRule puts a rule in force and returns the function that removes it.
func (i *faultInjector) addNetworkRule(rule networkRule) (remove func()) {
	i.mu.Lock()
	i.lastRule++
	number := i.lastRule
	i.networkRules[number] = rule
	i.mu.Unlock()
	i.applyNetworkRules()
	return func() {
		i.mu.Lock()
		delete(i.networkRules, number)
		i.mu.Unlock()
		i.applyNetworkRules()
	}
}

// applyNetworkRules gives the proxies the combination of all rules in force: for each connection the worst of each.
func (i *faultInjector) applyNetworkRules() {
	i.mu.Lock()
	var rules []networkRule
	for _, rule := range i.networkRules {
		rules = append(rules, rule)
	}
	i.mu.Unlock()
	i.Net.SetFaults(func(scheduler string, peerRole protocol.Role, peer string) (combined faultproxy.Fault) {
		for _, rule := range rules {
			fault := rule(scheduler, peerRole, peer)
			combined.Partitioned = combined.Partitioned || fault.Partitioned
			combined.LoseAccepts = max(combined.LoseAccepts, fault.LoseAccepts)
			combined.Delay = max(combined.Delay, fault.Delay)
		}
		return combined
	})
}

// fractionOf is a rounded fraction of n, one at least.
func fractionOf(fraction float64, n int) int { return max(1, int(fraction*float64(n)+0.5)) }

// pick draws a fraction of n indexes, one at least.
func (i *faultInjector) pick(fraction float64, n int) []int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.Perm(n)[:min(fractionOf(fraction, n), n)]
}

// pickMachines draws a fraction of the machines, one at least.
func (i *faultInjector) pickMachines(fraction float64) []*emulator.Machine {
	var machines []*emulator.Machine
	for _, index := range i.pick(fraction, len(i.Machines)) {
		machines = append(machines, i.Machines[index])
	}
	return machines
}

func (c *Cluster) zoneMachines(zone int) (machines []*emulator.Machine) {
	for _, m := range c.Machines {
		if m.ZoneIndex == zone {
			machines = append(machines, m)
		}
	}
	return machines
}

// restartMachines takes machines down and starts them again, in slow start, after a while.
func (i *faultInjector) restartMachines(machines []*emulator.Machine, down time.Duration) {
	for _, m := range machines {
		m.Crash()
	}
	i.wait(down)
	for _, m := range machines {
		if err := m.Start(false); err != nil {
			i.log.printf("machine %s did not come back: %v", m.Name, err)
		}
	}
}

func machineNames(machines []*emulator.Machine) map[string]bool {
	names := map[string]bool{}
	for _, m := range machines {
		names[m.Name] = true
	}
	return names
}

// timedLog prints lines that begin with the seconds since the scenario began.
type timedLog struct {
	began time.Time
	mu    sync.Mutex
	out   io.Writer
}

func (l *timedLog) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report.Printf(l.out, "%6.1f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}
