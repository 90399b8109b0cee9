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
	settleTime             = 10 * time.Second // after the last event, in which what is owed must happen
	restartDelay           = 100 * time.Millisecond
	quietAfterTerm         = 600 * time.Millisecond // clients send nothing more from then on
	maxTransit             = 10 * time.Millisecond  // of what a client sends
	maxIterationsPerSecond = 12_000                 // of the process in a second
)

// Run is what is played: a list of events on a world made from a seed, with a fault or without.
type Run struct {
	Seed   uint64
	Events []Event
	Fault  Fault
	Trace  io.Writer // if set, what peers hear and say is written here
}

// World is the process with its peers.
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

	incarnations     int
	termAt           time.Duration // 0: the process was not told to end
	killed           bool
	finished         bool          // the process ends for good
	iterations       int           // of the process in this second
	stallTotal       time.Duration // for which the process was not run in all
	stallEnd         time.Duration // when it is run again
	stalls           []stallSpan
	falseClaimReadBy int           // the last incarnation of the process that has read a made-up claim
	unreadEnd        time.Duration // until when a client has left its input unread, at most
}

// Play plays a run and returns what was violated, the earliest first.
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
	for !w.finished && len(w.checker.Violations) == 0 {
		w.runProcess()
		w.network.RunFor(restartDelay)
	}
	w.checkEndReports()
	return w.checker.Violations
}

func (w *World) now() time.Duration { return w.network.Now() }

// schedule has the events happen in their time, and the end after them.
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
	w.network.After(last+time.Millisecond, w.restoreAll)
	w.network.After(last+settleTime, func() {
		w.finished = true
		w.term()
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

// restoreAll ends all faults of peers.
func (w *World) restoreAll() {
	for _, m := range w.machines {
		m.restore()
		m.responses = nil
	}
	w.discovery.restore()
	w.kernel.Limit = w.params.descriptors
}

// runProcess plays one incarnation of the process, until it ends.
func (w *World) runProcess() {
	w.incarnations++
	w.termAt, w.killed, w.iterations = 0, false, 0
	w.kernel = w.network.NewKernel()
	w.kernel.Limit = w.params.descriptors
	w.kernel.OnWait = w.onWait
	known := w.discovery.restart()
	text := configJSON(w.run.Seed+uint64(w.incarnations), w.discovery.address(), w.params, known)
	var err error
	if w.config, err = platform.DecodeConfig([]byte(text)); err != nil {
		w.checker.report(ruleProcess, "the configuration is not read: %v", err)
		w.finished = true
		return
	}
	err = w.serve()
	w.processEnded(err)
}

// serve runs the process itself. A panic is an error.
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

// onWait ends a process as soon as something is violated, as a run has failed then.
func (w *World) onWait() error {
	w.iterations++
	if len(w.checker.Violations) > 0 {
		return simnet.ErrStopped
	}
	return nil
}

// processEnded judges the end of an incarnation.
func (w *World) processEnded(err error) {
	w.tracef("the process ended: %v", err)
	if w.killed {
		w.excuseRequests()
	}
	w.excusePlacements()
	switch {
	case errors.Is(err, simnet.ErrStopped):
		return
	case w.killed:
	case err != nil:
		w.checker.report(ruleProcess, "it ended by %v", err)
	case w.termAt == 0:
		w.checker.report(ruleProcess, "it ended unasked")
	}
	if left := w.kernel.OpenDescriptors(); left > 0 {
		w.checker.report(ruleProcess, "%d descriptors are open at its end", left)
	}
}

// term tells the process to end, and kills it if it does not in time.
func (w *World) term() {
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
		w.network.After(w.stallTotal-stalled, func() { // nothing is asked of a process that is not run
			if w.incarnations == incarnation && w.kernel.OpenDescriptors() > 0 {
				w.checker.report(ruleProcess, "it runs %v after TERM", w.now()-w.termAt)
			}
		})
	})
}

// stall has the process not run for a time.
func (w *World) stall(_ Event, span time.Duration) {
	w.stallTotal += span
	begin := max(w.stallEnd, w.now())
	w.stallEnd = begin + span
	w.stalls = append(w.stalls, stallSpan{begin, w.stallEnd})
	w.kernel.Stall(span)
}

// kill ends the process at once.
func (w *World) kill() {
	w.killed = true
	w.kernel.Kill()
}

// transitLimit is how long a request may have been on its way when its connection ends. A process that ends by itself has
// read what has arrived; one that closes a connection need not have.
func (w *World) transitLimit() time.Duration {
	if w.termAt != 0 {
		return maxTransit
	}
	return wireSlack
}

// clientsQuiet reports whether clients send nothing more.
func (w *World) clientsQuiet() bool {
	return w.termAt != 0 && w.now() > w.termAt+quietAfterTerm || w.killed
}

// newRequestID makes an identifier.
func (w *World) newRequestID() string {
	w.lastRequestID++
	return fmt.Sprintf("%016x", w.lastRequestID)
}

// listedMachines are the machines that are not gone.
func (w *World) listedMachines() []*machine {
	var listed []*machine
	for _, m := range w.machines {
		if m.state != healthGone {
			listed = append(listed, m)
		}
	}
	return listed
}

// knownPlacements are the containers that clients hold for running.
func (w *World) knownPlacements() []*placement {
	var known []*placement
	for _, call := range w.requestIDs {
		if r := w.checker.requests[call]; r != nil && r.placement != nil && !r.placement.endReported && !r.placement.cancelled {
			known = append(known, r.placement)
		}
	}
	return known
}

// tracef writes a line of the transcript.
func (w *World) tracef(format string, args ...any) {
	if w.run.Trace != nil {
		text := fmt.Sprintf(format, args...)
		// A trace that cannot be written shows as it is read.
		_, _ = fmt.Fprintf(w.run.Trace, "%10.3f ms %s\n", float64(w.now())/float64(time.Millisecond), text)
	}
}
