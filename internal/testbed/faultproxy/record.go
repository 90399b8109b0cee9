// Package faultproxy sits on the connections between schedulers and what they talk to. It forwards frames, records what
// passed and when, and injects faults of the network. A scheduler does not know of it.
package faultproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"glenport/internal/protocol"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// The formats: that which is written, and that before it, in which entries have no lag.
const (
	format         = "glenport record 2"
	formatVersion1 = "glenport record 1"
)

const bufferSize = 1 << 20 // bytes

// EntryKind says what an entry of a recording is about.
type EntryKind uint8

// The kinds of entries. Their values are part of the format.
const (
	Opened        EntryKind = 1 + iota // a connection, once the caller has sent its hello and the target is reached
	Closed                             // the scheduler's end of a connection
	FromScheduler                      // a frame that a scheduler sent, when it was sent
	ToScheduler                        // a frame to a scheduler, just before it was forwarded
	Killed                             // a scheduler's process
	Started                            // a scheduler's process
	Lost                               // a frame to a scheduler that the network lost
)

// Entry is one entry of a recording. The names in the tags, and the order of the fields, are those of the format.
type Entry struct {
	_         struct{}      `cbor:",toarray"`
	At        int64         `cbor:"At"` // tenths of a millisecond since the recording began
	Kind      EntryKind     `cbor:"Sort"`
	ConnID    uint32        `cbor:"Link"`
	Scheduler string        `cbor:"Placer"`
	Peer      protocol.Role `cbor:"Far"`   // what is at the other end
	PeerName  string        `cbor:"Name"`  // of that
	Frame     []byte        `cbor:"Frame"` // without its length prefix
	Lag       int64         `cbor:"Lag"`   // measured time before At since when it may have been so, in the unit of At
}

// entryVersion1 is an entry of version 1 of the format.
type entryVersion1 struct {
	_         struct{}      `cbor:",toarray"`
	At        int64         `cbor:"At"`
	Kind      EntryKind     `cbor:"Sort"`
	ConnID    uint32        `cbor:"Link"`
	Scheduler string        `cbor:"Placer"`
	Peer      protocol.Role `cbor:"Far"`
	PeerName  string        `cbor:"Name"`
	Frame     []byte        `cbor:"Frame"`
}

func (e *entryVersion1) upgrade() Entry {
	return Entry{
		At: e.At, Kind: e.Kind, ConnID: e.ConnID, Scheduler: e.Scheduler, Peer: e.Peer, PeerName: e.PeerName,
		Frame: e.Frame,
	}
}

// Decoded is the frame of an entry.
func (e *Entry) Decoded() (protocol.Frame, error) { return protocol.Decode(e.Frame) }

// Header says against what a recording is to be checked.
type Header struct {
	_          struct{}         `cbor:",toarray"`
	Format     string           `cbor:"Format"`
	Config     scheduler.Config `cbor:"Terms"`
	DrainGrace scheduler.Time   `cbor:"DrainGrace"`
	Slack      scheduler.Time   `cbor:"Slack"` // by which a recorded time may differ from a scheduler's own
}

// FormatError says that a file is no recording of a known format.
type FormatError struct {
	Path  string
	Cause error // of decoding the header; nil where it names another format
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("%s is neither %s nor %s (%v)", e.Path, formatVersion1, format, e.Cause)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// entryDecoders decode an entry, by the format of the recording.
var entryDecoders = map[string]func(*cbor.Decoder, *Entry) error{
	format: func(decoder *cbor.Decoder, entry *Entry) error { return decoder.Decode(entry) },
	formatVersion1: func(decoder *cbor.Decoder, entry *Entry) error {
		var earlier entryVersion1
		err := decoder.Decode(&earlier)
		*entry = earlier.upgrade()
		return err
	},
}

// Read reads a recording's header, then calls each for every entry. It stops at the first error of each. A file of
// another format is a *FormatError.
func Read(path string, header *Header, each func(*Entry) error) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read a recording: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	decoder := cbor.NewDecoder(bufio.NewReaderSize(file, bufferSize))
	if err := decoder.Decode(header); err != nil {
		return &FormatError{Path: path, Cause: err}
	}
	decode, known := entryDecoders[header.Format]
	if !known {
		return &FormatError{Path: path}
	}
	for n := 1; ; n++ {
		var entry Entry
		if err := decode(decoder, &entry); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: entry %d: %w", path, n, err)
		}
		if err := each(&entry); err != nil {
			return err
		}
	}
}
