package scheduler

import (
	"log/slog"
	"strings"
)

// Action is something to be done.
type Action interface{ action() }

// StartAttempt offers a container to a machine. An AttemptEnded follows, after an AttemptAccepted or without.
type StartAttempt struct {
	ID      ContainerID
	Machine MachineID
	Timeout Time // 0: until the deadline
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      ContainerID
	Attempt int
}

// Reject is the final answer to a client for which a retry does no harm.
type Reject struct {
	ID         ContainerID
	RetryAfter Time // 0: left to the client
}

// Fail is the final answer to a client where a retry may do harm.
type Fail struct{ ID ContainerID }

// Probe asks a machine for a sign of life. A ProbeCompleted follows.
type Probe struct{ Machine MachineID }

// Disconnect closes idle connections to a machine.
type Disconnect struct{ Machine MachineID }

// SetTimer asks for a TimerFired of that name.
type SetTimer struct {
	After Time
	Name  string
}

// WatchMachineList asks for the machine list and then for its changes. A MachineListUpdate follows.
type WatchMachineList struct{ Enabled bool }

// FetchMachineList asks for the machine list once.
type FetchMachineList struct{}

// Log is a message with constant text.
type Log struct {
	Message    string
	Attributes []slog.Attr
}

// String is for places that have no structured log.
func (l Log) String() string {
	var text strings.Builder
	text.WriteString(l.Message)
	for _, a := range l.Attributes {
		text.WriteString(" " + a.String())
	}
	return text.String()
}

func (StartAttempt) action()     {}
func (CancelAttempt) action()    {}
func (Reject) action()           {}
func (Fail) action()             {}
func (Probe) action()            {}
func (Disconnect) action()       {}
func (SetTimer) action()         {}
func (WatchMachineList) action() {}
func (FetchMachineList) action() {}
func (Log) action()              {}
