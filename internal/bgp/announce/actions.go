package announce

import (
	"net/netip"

	"glenport/scheduler"
)

// Action is an output of the decisions, which the process carries out.
type Action interface{ action() }

// Announce announces a prefix to all peers, or replaces its path.
type Announce struct {
	Prefix netip.Prefix
	Path   Path
}

// Withdraw ends the announcement of a prefix at all peers.
type Withdraw struct{ Prefix netip.Prefix }

// SetTimer starts a timer. Earlier ones stay; each is answered by TimerFired.
type SetTimer struct{ After scheduler.Time }

// Log is a constant message about a prefix for the log, with its penalty for flapping or with an error.
type Log struct {
	Message string
	Prefix  netip.Prefix
	Penalty float64
	Err     error // nil: none
}

func (Announce) action() {}
func (Withdraw) action() {}
func (SetTimer) action() {}
func (Log) action()      {}
