// Package failuredetector decides when what stands at a machine that has fallen silent is held to be lost. A machine that dies may
// say nothing at all, and the owners of what stood there are owed a word in time. It does no I/O and has no clock.
package failuredetector

import (
	"cmp"
	"slices"
)

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

const Second Time = 10_000

// Tuned values. A word to owners is owed 8 s after the end at the latest; a machine that is only cut off for less than
// lostAfterSilence keeps what it runs.
const (
	suspectAfter     = 2 * Second          // silence after which a machine is looked at
	connectInterval  = Second              // and how often
	lostAfterSilence = 6*Second + Second/2 // silence after which, with every look failed, what stood there is lost
	unclaimedTTL     = 10 * Second         // how long an end that nobody here knows of is kept, for who names its container yet,
	maxUnclaimed     = 4096                // and how many
)

// Event is something that happened to a machine.
type Event interface{ event() }

type (
	// RunningCountChanged is how many containers stand at a machine now.
	RunningCountChanged struct {
		Machine string
		Count   int
	}
	// ActivityObserved is any sign of life: bytes, or a connection that came up.
	ActivityObserved struct{ Machine string }
	// ConnectionRefused is a connection that was turned down: nobody is there.
	ConnectionRefused struct{ Machine string }
	// UnclaimedTermination is an end of something that nobody here knows of. After a start machines tell what ended meanwhile on the first
	// link, and owners may name it as standing only then.
	UnclaimedTermination struct {
		Machine, RequestID string
		Cause              int
	}
	// ContainerReclaimed is a container that an owner has named as standing at a machine.
	ContainerReclaimed struct{ Machine, RequestID string }
	// Tick tells that some time has passed.
	Tick struct{}
)

func (RunningCountChanged) event()  {}
func (ActivityObserved) event()     {}
func (ConnectionRefused) event()    {}
func (UnclaimedTermination) event() {}
func (ContainerReclaimed) event()   {}
func (Tick) event()                 {}

// Action is something that the host is to do.
type Action interface{ action() }

type (
	// Connect opens a connection to a machine and asks nothing.
	Connect struct{ Machine string }
	// DeclareLost ends all that stands at a machine.
	DeclareLost struct {
		Machine   string
		SilentFor Time // 0: it turned a connection down
	}
	// ReportTermination ends a container that was named as standing after its machine had said that it is over.
	ReportTermination struct {
		Machine, RequestID string
		Cause              int
	}
)

func (Connect) action()           {}
func (DeclareLost) action()       {}
func (ReportTermination) action() {}

// Detector watches machines at which something stands, until nothing stands there any more, and keeps ends that nobody knows
// of, the earliest first, for unclaimedTTL.
type Detector struct {
	machines  map[string]*monitoredMachine
	unclaimed []heldTermination
}

type heldTermination struct {
	UnclaimedTermination
	receivedAt Time
}

type monitoredMachine struct {
	id             string
	lastActivityAt Time
	lastConnectAt  Time // 0: not since it was heard
}

func New() *Detector { return &Detector{machines: map[string]*monitoredMachine{}} }

// Handle takes what happened by now and returns what is to be done.
func (v *Detector) Handle(now Time, events []Event) []Action {
	var out []Action
	for _, e := range events {
		switch e := e.(type) {
		case RunningCountChanged:
			if w := v.machines[e.Machine]; e.Count == 0 {
				delete(v.machines, e.Machine)
			} else if w == nil {
				v.machines[e.Machine] = &monitoredMachine{id: e.Machine, lastActivityAt: now}
			}
		case ActivityObserved:
			if w := v.machines[e.Machine]; w != nil {
				w.lastActivityAt, w.lastConnectAt = now, 0
			}
		case ConnectionRefused:
			if v.machines[e.Machine] != nil {
				out = append(out, DeclareLost{Machine: e.Machine})
			}
		case UnclaimedTermination:
			v.unclaimed = append(v.unclaimed[max(0, len(v.unclaimed)+1-maxUnclaimed):], heldTermination{e, now})
		case ContainerReclaimed:
			for i, s := range v.unclaimed {
				if s.Machine == e.Machine && s.RequestID == e.RequestID {
					v.unclaimed = slices.Delete(v.unclaimed, i, i+1)
					out = append(out, ReportTermination(s.UnclaimedTermination))
					break
				}
			}
		case Tick:
			v.unclaimed = slices.DeleteFunc(v.unclaimed, func(s heldTermination) bool { return now-s.receivedAt > unclaimedTTL })
			for _, w := range v.sortedMachines() {
				silent := now - w.lastActivityAt
				switch {
				case silent >= lostAfterSilence:
					out = append(out, DeclareLost{w.id, silent})
				case silent >= suspectAfter && now-w.lastConnectAt >= connectInterval:
					w.lastConnectAt = now
					out = append(out, Connect{w.id})
				}
			}
		}
	}
	return out
}

func (v *Detector) sortedMachines() []*monitoredMachine {
	out := make([]*monitoredMachine, 0, len(v.machines))
	for _, w := range v.machines {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *monitoredMachine) int { return cmp.Compare(a.id, b.id) })
	return out
}
