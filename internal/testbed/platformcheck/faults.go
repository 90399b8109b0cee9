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

// Fault is an injected fault between the process and its kernel, its scheduler or its peers. Each fault must be
// detected by a check, which shows that the check works. The code of the process itself is not changed.
type Fault string

// The faults.
const (
	NoFault Fault = ""
	// LostAnswer drops the answers of some requests that fail or are rejected.
	LostAnswer Fault = "answer"
	// ForgottenAttempt makes an attempt that timed out or was lost count as one that never ran.
	ForgottenAttempt Fault = "attempt"
	// IgnoredDrain makes the process consider draining machines ready.
	IgnoredDrain Fault = "drain"
	// LeakedDescriptor leaves the descriptors of some ended connections open.
	LeakedDescriptor Fault = "descriptor"
	// RepeatedWrite makes a partial write start again from the beginning.
	RepeatedWrite Fault = "write"
	// LostEnd loses the ends of some running containers on their way to the process.
	LostEnd Fault = "end"
	// DelayedEnd delays the ends of some running containers on their way to the process.
	DelayedEnd Fault = "delay"
	// IgnoredSpread removes the spread limits from the settings of the scheduler.
	IgnoredSpread Fault = "spread"
	// UncountedClaim hides the claims of clients from the scheduler.
	UncountedClaim Fault = "claim"
	// IgnoredSlowStart removes the slow-start period from the settings of the scheduler.
	IgnoredSlowStart Fault = "cold"
	// WholeBudget makes the scheduler spend the slow-start budgets alone, as if there were no other schedulers.
	WholeBudget Fault = "part"
	// LostTermination loses the orders to end some running containers on their way to the machines.
	LostTermination Fault = "termination"
)

// Faults lists all faults.
var Faults = []Fault{
	LostAnswer, ForgottenAttempt, IgnoredDrain, LeakedDescriptor, RepeatedWrite, LostEnd, DelayedEnd,
	IgnoredSpread, UncountedClaim, IgnoredSlowStart, WholeBudget, LostTermination,
}

// UnknownFaultError is returned for an unknown fault name.
type UnknownFaultError struct{ Name string }

func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("there is no fault %q; the faults are %s", e.Name, FaultNames())
}

// FaultNames returns the names of all faults, separated by commas.
func FaultNames() string {
	names := make([]string, len(Faults))
	for i, fault := range Faults {
		names[i] = string(fault)
	}
	return strings.Join(names, ", ")
}

// ParseFault returns the fault with a name. The error is an *UnknownFaultError.
func ParseFault(name string) (Fault, error) {
	if fault := Fault(name); fault == NoFault || slices.Contains(Faults, fault) {
		return fault, nil
	}
	return NoFault, &UnknownFaultError{name}
}

// everyNth is the number of calls of installedFault.occurs for each occurrence of the fault.
const everyNth = 3

// endDelay is the delay of an end with DelayedEnd.
const endDelay = 3 * time.Second

// installedFault is the fault of a run.
type installedFault struct {
	fault Fault
	count int
}

// occurs counts its calls and reports whether the fault occurs this time.
func (f *installedFault) occurs() bool {
	f.count++
	return f.count%everyNth == 0
}

// wrap puts the fault between the process and its kernel or its scheduler.
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

// settings returns the settings that the scheduler gets instead of the configured ones.
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
	default: // unchanged
	}
	return config
}

// discoveryLine returns the line that the process reads in place of a line of the discovery service.
func (f *installedFault) discoveryLine(line string) string {
	if f.fault == IgnoredDrain {
		return strings.ReplaceAll(line, `"health":"draining"`, `"health":"ready"`)
	}
	return line
}

// containerEndLine returns the line that the process reads in place of a machine's line that a container has ended.
func (f *installedFault) containerEndLine(line string) string {
	if (f.fault == LostEnd || f.fault == DelayedEnd) && f.occurs() {
		return strings.Replace(line, `"op":"end"`, `"op":"ringing"`, 1)
	}
	return line
}

// losesTermination reports whether the orders to end a running container are lost. All orders for the container are
// lost, so that repeats do not help.
func (f *installedFault) losesTermination(r *request) bool {
	return f.fault == LostTermination && r.lifetimeMillis()%everyNth == 0
}

// faultyDecisions changes the events and actions of the scheduler.
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
	default: // events unchanged
	}
	actions := d.Scheduler.Handle(now, events)
	if d.fault.fault == LostAnswer {
		actions = slices.DeleteFunc(actions, d.losesAnswer)
	}
	return actions
}

// forgetAttempt turns the end of an attempt that may run into a rejection.
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
		return d.fault.occurs()
	default:
		return false
	}
}

// leakingKernel leaves the descriptors of some connections open.
type leakingKernel struct {
	eventloop.Kernel
	fault *installedFault
}

// Close implements eventloop.Kernel.
func (k *leakingKernel) Close(fd int) {
	_, err := k.Read(fd, nil)
	if isConnection := !errors.Is(err, unix.ENOTCONN) && !errors.Is(err, unix.EBADF); isConnection && k.fault.occurs() {
		return
	}
	k.Kernel.Close(fd)
}

// repeatingKernel reports a partial write as if nothing had been written.
type repeatingKernel struct{ eventloop.Kernel }

// Write implements eventloop.Kernel.
func (k *repeatingKernel) Write(fd int, p []byte) (int, error) {
	count, err := k.Kernel.Write(fd, p)
	if err == nil && count < len(p) {
		return -1, unix.EAGAIN
	}
	return count, err
}
