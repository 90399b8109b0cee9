// Package failuredetector decides when a machine that has stopped sending is lost, and with it its containers. A
// machine that crashes may not send anything, but the owners of its containers have to be notified in time. The package
// also holds terminations that machines report before an owner has reclaimed the container.
//
// The package performs no I/O and reads no clock: the process passes in events with the current time and carries out
// the returned actions.
package failuredetector

import (
	"cmp"
	"slices"
)

// Time is a clock reading or a duration, in tenths of a millisecond.
type Time int64

// Second is one second in units of Time.
const Second Time = 10_000

// Time limits of silent machines. An owner has to be notified within 8 s of the end of its container. The containers on
// a machine that is partitioned for less than lostAfterSilence are not lost.
const (
	suspectAfter     = 2 * Second          // silence after which the detector tries to connect to a machine
	connectInterval  = Second              // between two connection attempts
	lostAfterSilence = 6*Second + Second/2 // silence after which a machine is declared lost
)

// Detector monitors the machines on which containers run, and owns the terminations that no client has claimed yet.
type Detector struct {
	machines              map[string]*monitoredMachine
	unclaimedTerminations []heldTermination // oldest first, at most maxUnclaimed
}

// monitoredMachine is a machine on which containers run.
type monitoredMachine struct {
	id             string
	lastActivityAt Time
	lastConnectAt  Time // when a connection was last tried; 0: none was tried since the last activity
}

// New returns a detector that monitors no machine yet.
func New() *Detector { return &Detector{machines: map[string]*monitoredMachine{}} }

// Handle processes a batch of events that occurred at or before now. It returns the actions to carry out, in order.
func (d *Detector) Handle(now Time, events []Event) []Action {
	var actions []Action
	for _, event := range events {
		actions = append(actions, d.handleEvent(now, event)...)
	}
	return actions
}

func (d *Detector) handleEvent(now Time, event Event) []Action {
	switch e := event.(type) {
	case RunningCountChanged:
		d.runningCountChanged(now, e)
	case ActivityObserved:
		d.activityObserved(now, e)
	case ConnectionRefused:
		return d.connectionRefused(e)
	case UnclaimedTermination:
		d.holdTermination(now, e)
	case ContainerReclaimed:
		return d.containerReclaimed(e)
	case Tick:
		d.dropExpired(now)
		return d.checkMachines(now)
	}
	return nil
}

func (d *Detector) runningCountChanged(now Time, e RunningCountChanged) {
	switch {
	case e.Count == 0:
		delete(d.machines, e.Machine)
	case d.machines[e.Machine] == nil:
		d.machines[e.Machine] = &monitoredMachine{id: e.Machine, lastActivityAt: now}
	}
}

func (d *Detector) activityObserved(now Time, e ActivityObserved) {
	if m := d.machines[e.Machine]; m != nil {
		m.lastActivityAt = now
		m.lastConnectAt = 0
	}
}

func (d *Detector) connectionRefused(e ConnectionRefused) []Action {
	if d.machines[e.Machine] == nil {
		return nil
	}
	return []Action{DeclareLost{Machine: e.Machine}}
}

// checkMachines tries to connect to silent machines, and declares machines lost that remain silent.
func (d *Detector) checkMachines(now Time) []Action {
	var actions []Action
	for _, m := range d.sortedMachines() {
		silentFor := now - m.lastActivityAt
		switch {
		case silentFor >= lostAfterSilence:
			actions = append(actions, DeclareLost{Machine: m.id, SilentFor: silentFor})
		case silentFor >= suspectAfter && now-m.lastConnectAt >= connectInterval:
			m.lastConnectAt = now
			actions = append(actions, Connect{Machine: m.id})
		}
	}
	return actions
}

func (d *Detector) sortedMachines() []*monitoredMachine {
	machines := make([]*monitoredMachine, 0, len(d.machines))
	for _, m := range d.machines {
		machines = append(machines, m)
	}
	slices.SortFunc(machines, func(a, b *monitoredMachine) int { return cmp.Compare(a.id, b.id) })
	return machines
}
