// Package bgp is the trial of the addresses that schedulers announce while containers run.
package bgp

import (
	"time"

	"glenport/internal/testbed/cluster"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/process"
	"glenport/internal/testbed/trials"
)

// Trial starts a cluster whose scheduler announces addresses to two emulated peers, and checks what they receive.
type Trial struct {
	Rounds int

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
	bgpTimeout      = 20 * time.Second // of all that is waited for
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
	return t.Play(
		trials.Step{Name: "ends", Play: t.playEnds},
		trials.Step{Name: "a container that flaps 50 times a second", Play: t.playFlaps},
		trials.Step{Name: "drained route is the last choice first", Play: t.playDrain},
		trials.Step{Name: "reset while the last container fails", Play: t.playResetAndFailure},
		trials.Step{Name: "garbage, a partial message, silence, a wrong AS", Play: t.playProtocolErrors},
		trials.Step{Name: "zone partitioned and back", Play: t.playPartition},
		trials.Step{Name: "scheduler killed by SIGKILL and back", Play: t.playSchedulerKill},
	)
}

// waitUntil waits, in short steps, until a condition holds.
func (t *Trial) waitUntil(what string, holds func() bool) error {
	return process.Poll(2*time.Millisecond, bgpTimeout, what, holds)
}
