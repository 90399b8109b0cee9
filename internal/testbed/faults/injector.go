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
	spec          cluster.Spec
	rate          float64 // submissions per second outside of bursts
	rng           *rand.Rand
	log           *Log
	scenarioEnded chan struct{} // closed when the scenario ends

	mu           sync.Mutex // guards rng and the fields below
	networkRules map[int]networkRule
	lastRule     int
	injections   map[Kind]int // number of injections by kind
}

// NewInjector returns an injector for a cluster whose clients submit at a rate in submissions per second.
func NewInjector(c *cluster.Cluster, spec cluster.Spec, rate float64, log *Log) *Injector {
	return &Injector{
		Cluster:       c,
		spec:          spec,
		rate:          rate,
		rng:           rand.New(rand.NewPCG(spec.Seed, 11)),
		log:           log,
		scenarioEnded: make(chan struct{}),
		networkRules:  map[int]networkRule{},
		injections:    map[Kind]int{},
	}
}

// wait sleeps for d, or until the scenario ends.
func (i *Injector) wait(d time.Duration) {
	select {
	case <-i.scenarioEnded:
	case <-time.After(d):
	}
}

// Inject injects a fault at its time, relative to the start of the log, and returns when the fault has ended.
func (i *Injector) Inject(f Fault) {
	i.wait(f.At - i.log.Elapsed())
	select {
	case <-i.scenarioEnded:
		return
	default:
	}
	i.mu.Lock()
	i.injections[f.Kind]++
	i.mu.Unlock()
	i.log.Printf("%s%s", f.Kind, f.Describe(i.spec.Zones))
	injectors[f.Kind].inject(i, f)
	i.log.Printf("%s: ended", f.Kind)
}

// End ends all active faults.
func (i *Injector) End() { close(i.scenarioEnded) }

// Injected returns the number of injections by kind of fault. It must be called after all faults have ended.
func (i *Injector) Injected() map[Kind]int { return i.injections }

// addNetworkRule applies a rule and returns the function that removes it.
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

// applyNetworkRules combines all current rules and applies them to the proxy. Each connection gets the worst fault of
// all rules.
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

// fractionOf returns a fraction of n, rounded, at least 1.
func fractionOf(fraction float64, n int) int { return max(1, int(fraction*float64(n)+0.5)) }

// pick draws a fraction of the indexes below n, at least one.
func (i *Injector) pick(fraction float64, n int) []int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.Perm(n)[:min(fractionOf(fraction, n), n)]
}

// pickMachines draws a fraction of the machines, at least one.
func (i *Injector) pickMachines(fraction float64) []*emulator.Machine {
	var machines []*emulator.Machine
	for _, index := range i.pick(fraction, len(i.Machines)) {
		machines = append(machines, i.Machines[index])
	}
	return machines
}

// restartMachines crashes machines and starts them again after the given time, with slow start.
func (i *Injector) restartMachines(machines []*emulator.Machine, down time.Duration) {
	for _, m := range machines {
		m.Crash()
	}
	i.wait(down)
	for _, m := range machines {
		if err := m.Start(false); err != nil {
			i.log.Printf("restart of machine %s failed: %v", m.Name, err)
		}
	}
}
