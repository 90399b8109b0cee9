// Package faultproxy is a proxy on the connections between schedulers and their peers. It forwards frames, records them
// with their times and injects network faults. It is transparent to schedulers.
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

// The current format and its predecessor, in which entries have no lag.
const (
	format         = "glenport record 2"
	formatVersion1 = "glenport record 1"
)

const bufferSize = 1 << 20 // bytes

// EntryKind is the kind of an entry of a recording.
type EntryKind uint8

// The kinds of entries. The values are part of the format.
const (
	Opened        EntryKind = 1 + iota // a connection was opened: hello received, target connected
	Closed                             // the scheduler's end of a connection was closed
	FromScheduler                      // a frame from a scheduler, at the time it was sent
	ToScheduler                        // a frame to a scheduler, just before it is forwarded
	Killed                             // a scheduler's process was killed
	Started                            // a scheduler's process was started
	Lost                               // a frame to a scheduler that a fault dropped
)

// Entry is one entry of a recording. The names in the tags and the order of the fields are part of the format.
type Entry struct {
	_         struct{}      `cbor:",toarray"`
	At        int64         `cbor:"At"` // tenths of a millisecond since the recording began
	Kind      EntryKind     `cbor:"Sort"`
	ConnID    uint32        `cbor:"Link"`
	Scheduler string        `cbor:"Placer"`
	Peer      protocol.Role `cbor:"Far"`   // role of the other end
	PeerName  string        `cbor:"Name"`  // name of the other end
	Frame     []byte        `cbor:"Frame"` // without its length prefix
	Lag       int64         `cbor:"Lag"`   // the event happened between At-Lag and At; in the unit of At
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

// Decoded decodes the frame of an entry.
func (e *Entry) Decoded() (protocol.Frame, error) { return protocol.Decode(e.Frame) }

// Header holds the settings against which a recording is checked.
type Header struct {
	_          struct{}         `cbor:",toarray"`
	Format     string           `cbor:"Format"`
	Config     scheduler.Config `cbor:"Terms"`
	DrainGrace scheduler.Time   `cbor:"DrainGrace"`
	Slack      scheduler.Time   `cbor:"Slack"` // maximum difference between a recorded time and the scheduler's time
}

// FormatError reports that a file is not a recording of a known format.
type FormatError struct {
	Path  string
	Cause error // error of decoding the header; nil if the header names an unknown format
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("%s is neither %s nor %s (%v)", e.Path, formatVersion1, format, e.Cause)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// entryDecoders holds the functions that decode an entry, by the format of the recording.
var entryDecoders = map[string]func(*cbor.Decoder, *Entry) error{
	format: func(decoder *cbor.Decoder, entry *Entry) error { return decoder.Decode(entry) },
	formatVersion1: func(decoder *cbor.Decoder, entry *Entry) error {
		var earlier entryVersion1
		err := decoder.Decode(&earlier)
		*entry = earlier.upgrade()
		return err
	},
}

// Read reads the header of a recording and calls each for every entry until it returns an error. For a file of an
// unknown format it returns a *FormatError.
func Read(path string, header *Header, each func(*Entry) error) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open recording: %w", err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
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
