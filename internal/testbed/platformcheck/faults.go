package platformcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/platform"
	"glenport/scheduler"

	"golang.org/x/sys/unix"
)

// Fault is a fault that is put between the process and what it stands on: a check that does not find it checks nothing.
// The process itself has none of them.
type Fault string

// The faults.
const (
	NoFault Fault = ""
	// LostAnswer has one in a few requests that fail or are refused get no answer.
	LostAnswer Fault = "answer"
	// ForgottenAttempt has an attempt that timed out or was lost count as one that never ran.
	ForgottenAttempt Fault = "attempt"
	// IgnoredDrain has the process take machines that drain for ready ones.
	IgnoredDrain Fault = "drain"
	// LeakedDescriptor has the descriptors of some connections that ended never closed.
	LeakedDescriptor Fault = "descriptor"
	// RepeatedWrite has a write that was taken in part begin anew.
	RepeatedWrite Fault = "write"
	// LostEnd has the ends of containers that run not reach the process.
	LostEnd Fault = "end"
	// DelayedEnd has the ends of some containers that run reach the process late.
	DelayedEnd Fault = "delay"
	// IgnoredSpread has the decisions know of no spread limits.
	IgnoredSpread Fault = "spread"
	// UncountedClaim has the decisions not hear of containers that clients say to run.
	UncountedClaim Fault = "claim"
	// IgnoredSlowStart has the decisions take machines that have just started for others.
	IgnoredSlowStart Fault = "cold"
	// WholeBudget has the decisions spend the parts of all schedulers in the budgets of slow start.
	WholeBudget Fault = "part"
)

// Faults are all faults.
var Faults = []Fault{
	LostAnswer, ForgottenAttempt, IgnoredDrain, LeakedDescriptor, RepeatedWrite, LostEnd, DelayedEnd,
	IgnoredSpread, UncountedClaim, IgnoredSlowStart, WholeBudget,
}

// UnknownFaultError is returned for the name of a fault that there is not.
type UnknownFaultError struct{ Name string }

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("there is no fault %q, but %s", e.Name, FaultNames())
}

// FaultNames are the names of all faults, with commas between them.
func FaultNames() string {
	names := make([]string, len(Faults))
	for i, fault := range Faults {
		names[i] = string(fault)
	}
	return strings.Join(names, ", ")
}

// ParseFault is the fault of a name. The error is an *UnknownFaultError.
func ParseFault(name string) (Fault, error) {
	if fault := Fault(name); fault == NoFault || slices.Contains(Faults, fault) {
		return fault, nil
	}
	return NoFault, &UnknownFaultError{name}
}

// everyNth is how many times something goes right before it goes wrong once, with a fault that counts.
const everyNth = 3

// endDelay is how much later an end reaches the process with DelayedEnd.
const endDelay = 3 * time.Second

// installedFault is a fault of one world.
type installedFault struct {
	fault Fault
	count int
}

// triggers counts, and reports whether it goes wrong this time.
func (f *installedFault) triggers() bool {
	f.count++
	return f.count%everyNth == 0
}

// wrap puts the fault between the process and its kernel and decisions.
func (f *installedFault) wrap(
	kernel eventloop.Kernel, decisions platform.Scheduler,
) (eventloop.Kernel, platform.Scheduler) {
	switch f.fault {
	case LostAnswer, ForgottenAttempt, UncountedClaim:
		return kernel, &faultyDecisions{decisions, f}
	case LeakedDescriptor:
		return &leakingKernel{kernel, f}, decisions
	case RepeatedWrite:
		return &repeatingKernel{kernel}, decisions
	default:
		return kernel, decisions
	}
}

// settings are what the decisions go by in place of the settings of the process.
func (f *installedFault) settings(config scheduler.Config) scheduler.Config {
	switch f.fault {
	case IgnoredSpread:
		config.WorkloadClasses = slices.Clone(config.WorkloadClasses)
		for i := range config.WorkloadClasses {
			config.WorkloadClasses[i].SpreadScope = scheduler.ScopeNone
		}
	case IgnoredSlowStart:
		config.SlowStartPeriod = 0
	case WholeBudget:
		config.SchedulerIndex, config.SchedulerCount = 0, 1
	default: // they are those of the process
	}
	return config
}

// discoveryLine is what the process reads in place of a line of the discovery service.
func (f *installedFault) discoveryLine(line string) string {
	if f.fault == IgnoredDrain {
		return strings.ReplaceAll(line, `"health":"draining"`, `"health":"ready"`)
	}
	return line
}

// releaseLine is what the process reads in place of a machine's line that a container has ended.
func (f *installedFault) releaseLine(line string) string {
	if (f.fault == LostEnd || f.fault == DelayedEnd) && f.triggers() {
		return strings.Replace(line, `"op":"end"`, `"op":"ringing"`, 1)
	}
	return line
}

// faultyDecisions changes what the decisions hear and say.
type faultyDecisions struct {
	platform.Scheduler
	fault *installedFault
}

// Handle implements platform.Scheduler.
func (d *faultyDecisions) Handle(now scheduler.Time, events []scheduler.Event) []scheduler.Action {
	switch d.fault.fault {
	case ForgottenAttempt:
		for i, event := range events {
			events[i] = forgetAttempt(event)
		}
	case UncountedClaim:
		events = slices.DeleteFunc(events, isClaim)
	default: // the events are heard as they are
	}
	actions := d.Scheduler.Handle(now, events)
	if d.fault.fault == LostAnswer {
		actions = slices.DeleteFunc(actions, d.losesAnswer)
	}
	return actions
}

// forgetAttempt takes an attempt that may run for one that was refused.
func forgetAttempt(event scheduler.Event) scheduler.Event {
	ended, ok := event.(scheduler.AttemptEnded)
	if ok && (ended.Outcome == scheduler.OutcomeTimedOut || ended.Outcome == scheduler.OutcomeLost) {
		ended.Outcome = scheduler.OutcomeFull
		return ended
	}
	return event
}

func isClaim(event scheduler.Event) bool {
	_, ok := event.(scheduler.ContainerAdopted)
	return ok
}

func (d *faultyDecisions) losesAnswer(action scheduler.Action) bool {
	switch action.(type) {
	case scheduler.Reject, scheduler.Fail:
		return d.fault.triggers()
	default:
		return false
	}
}

// leakingKernel does not close some descriptors of connections.
type leakingKernel struct {
	eventloop.Kernel
	fault *installedFault
}

// Close implements eventloop.Kernel.
func (k *leakingKernel) Close(fd int) {
	_, err := k.Read(fd, nil)
	if isConnection := !errors.Is(err, unix.ENOTCONN) && !errors.Is(err, unix.EBADF); isConnection && k.fault.triggers() {
		return
	}
	k.Kernel.Close(fd)
}

// repeatingKernel takes writes in part without saying so.
type repeatingKernel struct{ eventloop.Kernel }

// Write implements eventloop.Kernel.
func (k *repeatingKernel) Write(fd int, p []byte) (int, error) {
	count, err := k.Kernel.Write(fd, p)
	if err == nil && count < len(p) {
		return -1, unix.EAGAIN
	}
	return count, err
}
