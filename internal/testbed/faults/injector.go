package faults

import (
	"math/rand/v2"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
)

// networkRule returns the fault of the connection between a scheduler and its peer.
type networkRule func(scheduler string, peerRole protocol.Role, peer string) faultproxy.Fault

// Injector injects the faults of a scenario into a cluster.
type Injector struct {
	*cluster.Cluster
	spec cluster.Spec
	rate float64 // of submissions, while no burst is played
	rng  *rand.Rand
	log  *Log
	over chan struct{} // closed when the scenario ends

	mu           sync.Mutex // guards rng and what follows
	networkRules map[int]networkRule
	lastRule     int
	injected     map[Kind]int // by kind of fault
}

// NewInjector returns an injector for a cluster, whose clients submit at a rate.
func NewInjector(c *cluster.Cluster, spec cluster.Spec, rate float64, log *Log) *Injector {
	return &Injector{
		Cluster:      c,
		spec:         spec,
		rate:         rate,
		rng:          rand.New(rand.NewPCG(spec.Seed, 11)),
		log:          log,
		over:         make(chan struct{}),
		networkRules: map[int]networkRule{},
		injected:     map[Kind]int{},
	}
}

// wait sleeps for d, or until the scenario ends.
func (i *Injector) wait(d time.Duration) {
	select {
	case <-i.over:
	case <-time.After(d):
	}
}

// Play injects a fault at its time, counted from the log's start, and returns when it has ended.
func (i *Injector) Play(f Fault) {
	i.wait(f.At - i.log.Elapsed())
	select {
	case <-i.over:
		return
	default:
	}
	i.mu.Lock()
	i.injected[f.Kind]++
	i.mu.Unlock()
	i.log.Printf("%s%s", f.Kind, f.Describe(i.spec.Zones))
	injectors[f.Kind].inject(i, f)
	i.log.Printf("%s: over", f.Kind)
}

// End ends the faults that are being played.
func (i *Injector) End() { close(i.over) }

// Injected returns how often each kind of fault was injected, once all have ended.
func (i *Injector) Injected() map[Kind]int { return i.injected }

// addNetworkRule puts a rule in force and returns the function that removes it.
func (i *Injector) addNetworkRule(rule networkRule) (remove func()) {
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
func (i *Injector) applyNetworkRules() {
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
			combined.AcceptLoss = max(combined.AcceptLoss, fault.AcceptLoss)
			combined.Delay = max(combined.Delay, fault.Delay)
		}
		return combined
	})
}

// fractionOf is a rounded fraction of n, one at least.
func fractionOf(fraction float64, n int) int { return max(1, int(fraction*float64(n)+0.5)) }

// pick draws a fraction of n indexes, one at least.
func (i *Injector) pick(fraction float64, n int) []int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.Perm(n)[:min(fractionOf(fraction, n), n)]
}

// pickMachines draws a fraction of the machines, one at least.
func (i *Injector) pickMachines(fraction float64) []*emulator.Machine {
	var machines []*emulator.Machine
	for _, index := range i.pick(fraction, len(i.Machines)) {
		machines = append(machines, i.Machines[index])
	}
	return machines
}

// restartMachines takes machines down and starts them again, in slow start, after a while.
func (i *Injector) restartMachines(machines []*emulator.Machine, down time.Duration) {
	for _, m := range machines {
		m.Crash()
	}
	i.wait(down)
	for _, m := range machines {
		if err := m.Start(false); err != nil {
			i.log.Printf("machine %s did not start again: %v", m.Name, err)
		}
	}
}
