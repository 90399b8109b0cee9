package schedulerd

import (
	"sync"

	"glenport/internal/statemachine"
)

// writerState is the state of a snapshot writer.
type writerState string

// States of a snapshot writer.
const (
	writerSaved    writerState = "saved"
	writerSaving   writerState = "saving"
	writerFailed   writerState = "failed"
	writerRetrying writerState = "retrying" // saving after a failure
)

// writerEvent is an event of a snapshot writer.
type writerEvent string

// Events of a snapshot writer.
const (
	writeStarted   writerEvent = "started"
	writeSucceeded writerEvent = "succeeded"
	writeFailed    writerEvent = "failed"
)

// writerTransitions is the table in the package comment.
var writerTransitions = statemachine.Table[writerState, writerEvent]{
	writerSaved:    {writeStarted: writerSaving},
	writerSaving:   {writeSucceeded: writerSaved, writeFailed: writerFailed},
	writerFailed:   {writeStarted: writerRetrying},
	writerRetrying: {writeSucceeded: writerSaved, writeFailed: writerFailed},
}

// snapshotWriter writes one snapshot at a time on a separate goroutine, as file operations must not block the loop.
type snapshotWriter struct {
	*process
	dir           stateDir
	state         writerState
	pendingWrites sync.WaitGroup
}

// transition applies an event. It is the only function that changes the state of a snapshot writer.
func (w *snapshotWriter) transition(event writerEvent) bool {
	return w.checkTransition(writerTransitions.Apply("snapshot writer", &w.state, event))
}

func (w *snapshotWriter) busy() bool { return w.state == writerSaving || w.state == writerRetrying }

// start takes a snapshot and begins to write it, unless another one is being written.
func (w *snapshotWriter) start(takeSnapshot func() *WarmStartSnapshot) {
	if w.busy() {
		return
	}
	w.transition(writeStarted)
	snapshot := takeSnapshot()
	w.pendingWrites.Go(func() {
		err := snapshot.write(w.dir)
		w.loop.Post(func() { w.handleResult(err) })
	})
}

// handleResult logs the first of consecutive failures, and the success after them.
func (w *snapshotWriter) handleResult(err error) {
	before := w.state
	if err != nil {
		w.transition(writeFailed)
		if before == writerSaving {
			w.log.Warn("snapshot not saved", "error", err)
		}
		return
	}
	w.transition(writeSucceeded)
	if before == writerRetrying {
		w.log.Info("snapshot saved after earlier failures")
	}
}

// wait returns when no snapshot is being written.
func (w *snapshotWriter) wait() { w.pendingWrites.Wait() }
