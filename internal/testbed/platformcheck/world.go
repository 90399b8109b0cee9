package platformcheck

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/platform"
	"glenport/internal/testbed/simnet"
	"glenport/scheduler"
)

const (
	persistentClients      = 2
	settleTime             = 10 * time.Second // after the last event, for pending answers and reports
	restartDelay           = 100 * time.Millisecond
	quietAfterTerm         = 600 * time.Millisecond // from TERM until clients stop sending
	maxTransit             = 10 * time.Millisecond  // longest transit of data that a client sends
	maxIterationsPerSecond = 12_000                 // of the event loop
)

// Run describes a run: a seed, a list of events and possibly an injected fault.
type Run struct {
	Seed   uint64
	Events []Event
	Fault  Fault
	Trace  io.Writer // if set, receives a transcript of the messages of all peers
}

// World is the state of a run: the process and its peers.
type World struct {
	run           Run
	network       *simnet.Network
	kernel        *simnet.Kernel
	server        *platform.Server
	config        *platform.Config
	fault         installedFault
	checker       *checker
	discovery     *discovery
	machines      []*machine
	clients       []*client
	requestIDs    []string // of all requests, in order
	lastRequestID uint64
	params        worldParams

	incarnations      int
	termAt            time.Duration // when the process got TERM; 0: it has not got TERM
	processKilled     bool          // the current incarnation was killed
	runEnded          bool          // the process is not restarted any more
	iterations        int           // of the event loop in the current second
	descriptorsFreeAt time.Duration // when the process last had its descriptors back
	stallTotal        time.Duration // total time for which the process was stalled
	stallEnd          time.Duration // end of the last stall
	stalls            []stallSpan
	falseClaimReadBy  int           // last incarnation of the process that has read a false claim
	unreadUntil       time.Duration // latest time until which a client may have left its input unread
}

// Play plays a run and returns the violations, the earliest first.
func Play(run Run) []Violation {
	w := &World{run: run, network: simnet.New(run.Seed), params: paramsOf(run.Seed)}
	w.fault.fault = run.Fault
	w.checker = &checker{
		now: w.now, after: w.network.After,
		requests: map[string]*request{},
		offersOf: map[string][]*offer{},
	}
	w.discovery = w.newDiscovery()
	for i := range w.params.machines {
		w.machines = append(w.machines, w.newMachine(fmt.Sprintf("m%02d", i), i))
	}
	w.schedule()
	for !w.runEnded && len(w.checker.Violations) == 0 {
		w.runProcess()
		w.network.RunFor(restartDelay)
	}
	w.checkEndReports()
	return w.checker.Violations
}

func (w *World) now() time.Duration { return w.network.Now() }

// schedule sets timers for the events and for the end of the run.
func (w *World) schedule() {
	var last time.Duration
	for _, event := range w.run.Events {
		last = max(last, event.At)
		w.network.After(event.At, func() {
			w.tracef("event: %v", event)
			event.play(w)
		})
	}
	for range persistentClients {
		w.network.After(time.Millisecond, w.connectPersistent)
	}
	w.network.After(last+time.Millisecond, w.endAllFaults)
	w.network.After(last+settleTime, func() {
		w.runEnded = true
		w.terminate()
	})
	w.checkIterationRate()
}

// checkIterationRate checks that the process does not spin.
func (w *World) checkIterationRate() {
	if w.iterations > maxIterationsPerSecond {
		w.checker.report(ruleProcess, "%d iterations in a second", w.iterations)
	}
	w.iterations = 0
	w.network.After(time.Second, w.checkIterationRate)
}

// endAllFaults ends the faults of all peers.
func (w *World) endAllFaults() {
	for _, m := range w.machines {
		m.restore()
		m.responses, m.resetsNext = nil, false
	}
	w.discovery.restore()
	w.kernel.Limit = w.params.descriptors
}

// runProcess runs one incarnation of the process until it ends.
func (w *World) runProcess() {
	w.incarnations++
	w.termAt, w.processKilled, w.iterations = 0, false, 0
	w.kernel = w.network.NewKernel()
	w.kernel.Limit = w.params.descriptors
	w.kernel.OnWait = w.onWait
	known := w.discovery.restart()
	text := configJSON(w.run.Seed+uint64(w.incarnations), w.discovery.address(), w.params, known)
	var err error
	if w.config, err = platform.DecodeConfig([]byte(text)); err != nil {
		w.checker.report(ruleProcess, "the process cannot read its configuration: %v", err)
		w.runEnded = true
		return
	}
	err = w.serve()
	w.checkProcessEnd(err)
}

// serve runs the process. It returns a panic as an error.
func (w *World) serve() (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v\n%s", cause, debug.Stack())
		}
	}()
	var kernel eventloop.Kernel = w.kernel
	var decisions platform.Scheduler = scheduler.New(w.fault.settings(w.config.Scheduler))
	kernel, decisions = w.fault.wrap(kernel, decisions)
	w.server, err = platform.NewSimulated(kernel, w.config, decisions, slog.New(&logChecker{w}))
	if err != nil {
		return err
	}
	return w.server.Run()
}

// onWait stops the process after the first violation, because the run has failed.
func (w *World) onWait() error {
	w.iterations++
	if len(w.checker.Violations) > 0 {
		return simnet.ErrStopped
	}
	return nil
}

// checkProcessEnd checks how an incarnation of the process ended.
func (w *World) checkProcessEnd(err error) {
	w.tracef("the process ended: %v", err)
	if w.processKilled {
		w.excuseRequests()
	}
	w.excusePlacements()
	switch {
	case errors.Is(err, simnet.ErrStopped):
		return
	case w.processKilled:
	case err != nil:
		w.checker.report(ruleProcess, "the process ended with an error: %v", err)
	case w.termAt == 0:
		w.checker.report(ruleProcess, "the process ended without TERM")
	}
	if left := w.kernel.OpenDescriptors(); left > 0 {
		w.checker.report(ruleProcess, "the process left %d descriptors open at its end", left)
	}
}

// terminate sends TERM to the process and checks that it ends in time.
func (w *World) terminate() {
	if w.server == nil {
		return
	}
	w.server.Shutdown()
	if w.termAt != 0 {
		return
	}
	w.termAt = w.now()
	incarnation, stalled := w.incarnations, w.stallTotal-max(0, w.stallEnd-w.now())
	w.network.After(min(w.params.deadline, longestDrain)+killGrace, func() {
		w.network.After(w.stallTotal-stalled, func() { // extend the limit by the time for which the process was stalled
			if w.incarnations == incarnation && w.kernel.OpenDescriptors() > 0 {
				w.checker.report(ruleProcess, "the process still runs %v after TERM", w.now()-w.termAt)
			}
		})
	})
}

// stall suspends the process for a time.
func (w *World) stall(_ Event, span time.Duration) {
	w.stallTotal += span
	begin := max(w.stallEnd, w.now())
	w.stallEnd = begin + span
	w.stalls = append(w.stalls, stallSpan{begin, w.stallEnd})
	w.kernel.Stall(span)
}

// kill kills the process.
func (w *World) kill() {
	w.processKilled = true
	w.kernel.Kill()
}

// transitLimit returns the longest time for which a request may have been left unread when its connection ends.
// A terminating process has read everything that has arrived. A process that closes a connection may have left data
// unread.
func (w *World) transitLimit() time.Duration {
	if w.termAt != 0 {
		return maxTransit
	}
	return wireSlack
}

// clientsQuiet reports whether clients have stopped sending.
func (w *World) clientsQuiet() bool {
	return w.termAt != 0 && w.now() > w.termAt+quietAfterTerm || w.processKilled
}

// newRequestID returns a new identifier.
func (w *World) newRequestID() string {
	w.lastRequestID++
	return fmt.Sprintf("%016x", w.lastRequestID)
}

// listedMachines returns the machines that are not gone.
func (w *World) listedMachines() []*machine {
	var listed []*machine
	for _, m := range w.machines {
		if m.state != healthGone {
			listed = append(listed, m)
		}
	}
	return listed
}

// knownPlacements returns the containers that clients believe to run.
func (w *World) knownPlacements() []*placement {
	var known []*placement
	for _, id := range w.requestIDs {
		if r := w.checker.requests[id]; r != nil && r.placement != nil &&
			!r.placement.endReported && !r.placement.cancelled {
			known = append(known, r.placement)
		}
	}
	return known
}

// tracef writes a line to the transcript.
func (w *World) tracef(format string, args ...any) {
	if w.run.Trace != nil {
		text := fmt.Sprintf(format, args...)
		// A failed write needs no handling: the reader of the transcript notices it.
		_, _ = fmt.Fprintf(w.run.Trace, "%10.3f ms %s\n", float64(w.now())/float64(time.Millisecond), text)
	}
}
