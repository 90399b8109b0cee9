// Package faultproxy sits on the sockets between placers and what they talk to: it passes frames on, writes down what
// passed and when, and plays faults of the network. It is no part of a placer.
package faultproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// EntryKind tells what an entry of a record is.
type EntryKind uint8

const (
	Opened EntryKind = 1 + iota // a link, once both sides have greeted or the caller has
	Closed
	FromScheduler // a frame that a placer sent, when it was sent
	ToScheduler   // a frame that a placer got, just before it was passed on
	Killed        // a placer was killed, or came up, by Placer's name
	Started
	Lost // a frame to a placer that the network lost
)

// Entry is one line of a record; times are tenths of a millisecond since its start.
type Entry struct {
	_         struct{}      `cbor:",toarray"`
	At        int64         `cbor:"At"`
	Kind      EntryKind     `cbor:"Sort"`
	ConnID    uint32        `cbor:"Link"`
	Scheduler string        `cbor:"Placer"`
	Peer      protocol.Role `cbor:"Far"`   // what is at the other end
	PeerName  string        `cbor:"Name"`  // and its name
	Frame     []byte        `cbor:"Frame"` // without its length
}

// Decoded is the frame of an entry.
func (e *Entry) Decoded() (protocol.Frame, error) { return protocol.Decode(e.Frame) }

// Header says what a record must be judged by.
type Header struct {
	_          struct{}         `cbor:",toarray"`
	Format     string           `cbor:"Format"`
	Config     scheduler.Config `cbor:"Terms"`
	DrainGrace scheduler.Time   `cbor:"DrainGrace"`
	Slack      scheduler.Time   `cbor:"Slack"` // by which a time on the sockets may differ from a placer's own
}

const format = "glenport record 1"

// Writer writes a record; any goroutine may use it. Entries are stamped and put in order at once, and encoded and
// written by a goroutine of their own: a slow disk must not hold up what passes.
type Writer struct {
	startedAt time.Time
	mu        sync.Mutex
	pending   []Entry
	wake      *sync.Cond
	ended     bool
	result    chan error
}

// Create begins a record in a file.
func Create(path string, h Header) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	w := &Writer{startedAt: time.Now(), result: make(chan error, 1)}
	w.wake = sync.NewCond(&w.mu)
	h.Format = format
	go func() { w.result <- w.write(f, h) }()
	return w, nil
}

// write encodes what is due until the end; it goes on past a fault, so that nobody waits, and tells the first.
func (w *Writer) write(f *os.File, h Header) error {
	out := bufio.NewWriterSize(f, 1<<20)
	enc := cbor.NewEncoder(out)
	first := enc.Encode(h)
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && !w.ended {
			w.wake.Wait()
		}
		due, ended := w.pending, w.ended
		w.pending = nil
		w.mu.Unlock()
		for i := range due {
			if err := enc.Encode(due[i]); err != nil && first == nil {
				first = err
			}
		}
		if ended && len(due) == 0 {
			return errors.Join(first, out.Flush(), f.Close())
		}
	}
}

func (w *Writer) add(e Entry) {
	w.mu.Lock()
	e.At = time.Since(w.startedAt).Microseconds() / 100
	w.pending = append(w.pending, e)
	w.wake.Signal()
	w.mu.Unlock()
}

// RecordLifecycle writes down that a placer was killed or started.
func (w *Writer) RecordLifecycle(s EntryKind, placer string) {
	w.add(Entry{Kind: s, Scheduler: placer})
}

// Close ends the record and tells the first fault met in writing it.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.ended = true
	w.wake.Signal()
	w.mu.Unlock()
	return <-w.result
}

// Read reads a record's header, then hands each entry to each.
func Read(path string, h *Header, each func(*Entry) error) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	d := cbor.NewDecoder(bufio.NewReaderSize(f, 1<<20))
	if err := d.Decode(h); err != nil || h.Format != format {
		return fmt.Errorf("%s is no %s (%v)", path, format, err)
	}
	for n := 1; ; n++ {
		var e Entry
		if err := d.Decode(&e); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: entry %d: %w", path, n, err)
		}
		if err := each(&e); err != nil {
			return err
		}
	}
}
