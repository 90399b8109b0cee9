package scheduler

import (
	"log/slog"
	"strings"
)

// Action is an instruction of the scheduler to the process that hosts it.
type Action interface{ action() }

// StartAttempt offers a container to a machine. An AttemptEnded follows, possibly after an AttemptAccepted.
type StartAttempt struct {
	ID      ContainerID
	Machine MachineID
	Timeout Time // 0: until the deadline
}

// CancelAttempt cancels an attempt that no machine has accepted yet.
type CancelAttempt struct {
	ID      ContainerID
	Attempt int
}

// Reject is the final answer to a client that may safely retry the request.
type Reject struct {
	ID         ContainerID
	RetryAfter Time // 0: the client chooses when to retry
}

// Fail is the final answer to a client if a retry of the request is not safe.
type Fail struct{ ID ContainerID }

// Probe checks whether a machine responds. A ProbeCompleted follows.
type Probe struct{ Machine MachineID }

// Disconnect closes idle connections to a machine.
type Disconnect struct{ Machine MachineID }

// SetTimer asks for a TimerFired with the same name.
type SetTimer struct {
	After Time
	Name  string
}

// WatchMachineList polls the machine list and watches its changes. A MachineListUpdate follows.
type WatchMachineList struct{ Enabled bool } // false: end the watch

// FetchMachineList polls the machine list without a watch.
type FetchMachineList struct{}

// Log is a log line: a constant message and its attributes.
type Log struct {
	Message    string
	Attributes []slog.Attr
}

// String returns the log line as text, for hosts without structured logs.
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
