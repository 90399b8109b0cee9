package bgp

import (
	"errors"
	"fmt"
	"time"

	"glenport/internal/testbed/emulator"
)

// runResetAndFailure resets a session at the moment at which the machine of the last container of a service fails. The
// re-established session must not have the service's route.
func (t *Trial) runResetAndFailure() (string, error) {
	const tries = 5
	var crashed []*emulator.Machine // stay down until the end, so that each try has another machine
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
		"%d times, the route was withdrawn at most %d ms after the machine failed",
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

// resetAndFail resets the session of one peer and crashes the machine of a service's last container. It returns the
// crashed machine and the longest delay until a peer had received the withdrawal of the route.
func (t *Trial) resetAndFail() (crashed *emulator.Machine, worst time.Duration, err error) {
	id, machine, err := t.client.place(resetService, time.Hour)
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
	resetPeer, otherPeer := t.peers[0], t.peers[1]
	before := sessionCount(resetPeer)
	go resetPeer.Reset()
	m.Crash()
	if err := t.waitUntil(
		"the session is established again",
		func() bool { return sessionCount(resetPeer) > before && resetPeer.Established() },
	); err != nil {
		return m, 0, err
	}
	for k, p := range t.peers {
		if err := t.waitWithdrawn("the route is withdrawn", p, resetService); err != nil {
			t.Failf("peer %d: %v", k, err)
			continue
		}
		late := time.Since(t.ends.endOf(id))
		worst = max(worst, late)
		if p == otherPeer && late > withdrawalLimit { // the session of this peer was not reset
			t.Failf("peer %d received the withdrawal %v after the machine failed", k, late)
		}
	}
	return m, worst, nil
}
