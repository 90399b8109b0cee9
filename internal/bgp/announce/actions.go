package announce

import (
	"net/netip"

	"glenport/scheduler"
)

// Action is an output of an Announcer, to be executed by the caller.
type Action interface{ action() }

// Announce announces a prefix to all peers, or replaces its path.
type Announce struct {
	Prefix netip.Prefix
	Path   Path
}

// Withdraw withdraws a prefix from all peers.
type Withdraw struct{ Prefix netip.Prefix }

// SetTimer starts a timer, whose expiry is reported as TimerFired. Timers that were started earlier keep running.
type SetTimer struct{ After scheduler.Time }

// Log is a log message about a prefix, with the flap damping penalty or an error. The message is constant.
type Log struct {
	Message string
	Prefix  netip.Prefix
	Penalty float64
	Err     error // nil: the message is not about an error
}

func (Announce) action() {}
func (Withdraw) action() {}
func (SetTimer) action() {}
func (Log) action()      {}
