package faultproxy

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const recordingTick = 100 * time.Microsecond // the unit of Entry.At

// Writer writes a recording. It may be used from any goroutine. Entries are timestamped and ordered at once, but
// encoded and written by a separate goroutine: a slow disk must not delay the frames.
type Writer struct {
	startedAt time.Time
	mu        sync.Mutex
	pending   []Entry
	wake      *sync.Cond
	closed    bool
	result    chan error
}

// Create creates the file of a recording and sets the format of its header.
func Create(path string, header Header) (*Writer, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create recording: %w", err)
	}
	w := &Writer{startedAt: time.Now(), result: make(chan error, 1)}
	w.wake = sync.NewCond(&w.mu)
	header.Format = format
	go func() { w.result <- w.writeAll(file, header) }()
	return w, nil
}

// writeAll encodes pending entries until the recording ends. After an error it continues, so that the entries do not
// pile up, and returns the first error.
func (w *Writer) writeAll(file *os.File, header Header) error {
	out := bufio.NewWriterSize(file, bufferSize)
	encoder := cbor.NewEncoder(out)
	firstErr := encoder.Encode(header)
	for {
		entries := w.takePending()
		if len(entries) == 0 {
			return errors.Join(firstErr, out.Flush(), file.Close())
		}
		for i := range entries {
			if err := encoder.Encode(entries[i]); err != nil && firstErr == nil {
				firstErr = err
			}
		}
	}
}

// takePending waits for entries and returns them; it returns none once the recording has ended.
func (w *Writer) takePending() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) == 0 && !w.closed {
		w.wake.Wait()
	}
	entries := w.pending
	w.pending = nil
	return entries
}

// add adds an entry for an event that takes effect only after it has been recorded.
func (w *Writer) add(entry Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.append(entry, time.Now())
}

// addSince adds an entry for an event that happened at some time between since and now.
func (w *Writer) addSince(entry Entry, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	entry.Lag = int64(now.Sub(since) / recordingTick)
	w.append(entry, now)
}

// append timestamps and queues an entry. The lock is held.
func (w *Writer) append(entry Entry, now time.Time) {
	entry.At = int64(now.Sub(w.startedAt) / recordingTick)
	w.pending = append(w.pending, entry)
	w.wake.Signal()
}

// RecordStart records the start of a scheduler's process, just before it is started.
func (w *Writer) RecordStart(scheduler string) { w.add(Entry{Kind: Started, Scheduler: scheduler}) }

// RecordKill records that a scheduler's process was killed at some time between since and now.
func (w *Writer) RecordKill(scheduler string, since time.Time) {
	w.addSince(Entry{Kind: Killed, Scheduler: scheduler}, since)
}

// Close ends the recording and returns the first write error.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
	return <-w.result
}
