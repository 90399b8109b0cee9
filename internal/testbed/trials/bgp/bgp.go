// Package bgp is the trial of the service addresses that schedulers announce by BGP while containers run.
package bgp

import (
	"time"

	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/trials"
)

// Trial starts a cluster whose scheduler announces service addresses to two emulated peers, and checks the updates that
// the peers receive.
type Trial struct {
	Rounds int // in which the last containers of services end

	*trials.Runner
	cluster *cluster.Cluster
	client  *client
	peers   []*emulator.BGPPeer
	ends    containerEnds
}

// Verdict implements [trials.Trial].
func (t *Trial) Verdict() (name, failure string) {
	return "bgp", "a peer was told too late, too often or what was not so"
}

const (
	withdrawalLimit = 2 * time.Second
	bgpTimeout      = 20 * time.Second // of every condition that is awaited
)

// The services of the steps.
const (
	flapService = firstReservedService + iota
	drainService
	resetService
	protocolErrorService
	survivingService
	endWhileDownService
	partitionService
)

// Run implements [trials.Trial].
func (t *Trial) Run(runner *trials.Runner, setup trials.Setup) (err error) {
	t.Runner = runner
	defer t.closePeers()
	spec := setup.Scenario.Spec
	spec.Schedulers = 1
	if spec.BGP, err = t.startPeers(); err != nil {
		return err
	}
	if t.cluster, err = cluster.Start(spec, setup.Dir, setup.Program); err != nil {
		return err
	}
	defer t.cluster.Shutdown()
	for _, m := range t.cluster.Machines {
		m.OnEnd = t.ends.record
	}
	if err := t.waitUntil("both sessions are established", func() bool {
		return t.peers[0].Established() && t.peers[1].Established()
	}); err != nil {
		return err
	}
	if t.client, err = connect(t.cluster.Schedulers[0].Address); err != nil {
		return err
	}
	defer t.client.close()
	return t.RunSteps(
		trials.Step{Name: "ends", Run: t.runEnds},
		trials.Step{Name: "service that flaps 50 times a second", Run: t.runFlaps},
		trials.Step{Name: "route becomes the last choice before its withdrawal", Run: t.runDrain},
		trials.Step{Name: "reset while the last container fails", Run: t.runResetAndFailure},
		trials.Step{Name: "garbage, partial message, silence, wrong AS", Run: t.runProtocolErrors},
		trials.Step{Name: "zone partitioned and reconnected", Run: t.runPartition},
		trials.Step{Name: "scheduler killed by SIGKILL and restarted", Run: t.runSchedulerKill},
	)
}

// waitUntil polls a condition at short intervals until it holds.
func (t *Trial) waitUntil(what string, holds func() bool) error {
	return process.Poll(2*time.Millisecond, bgpTimeout, what, holds)
}
