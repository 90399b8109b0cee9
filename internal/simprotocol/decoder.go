// Package simprotocol is the codec of the simulator's wire protocol. It decodes lines into the events of a scheduler
// and encodes the scheduler's actions as lines. It translates the names in messages and settings of the protocol to the
// names of package scheduler, and back.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"glenport/scheduler"
)

const (
	readBufferBytes = 1 << 16
	maxMachineLists = 16
)

// Names of the lines that are not decoded by eventDecoders.
const (
	frameLine        = "FRAME"     // begins a frame
	commitLine       = "COMMIT"    // ends a frame
	machineListLine  = "SHEET"     // begins a machine list
	machineEntryLine = "ITEM"      // an entry of a machine list
	configureLine    = "CONFIGURE" // starts an instance
	killedLine       = "KILLED"    // stops an instance
	updateLine       = "UPDATE"    // an update of the machine list
	noteLine         = "NOTE_FROM" // a note from another scheduler; ignored, as schedulers send none
)

// Delivery is one message for one scheduler instance: an event, or the start or stop of the instance.
type Delivery struct {
	Line     int // line number in the input, from 1
	Instance int
	Event    scheduler.Event
	Start    *scheduler.Config // starts a new instance
	Stop     bool              // stops the instance
}

// Frame is a batch of messages.
type Frame struct {
	Now        scheduler.Time // time by which the events of the frame have happened
	Seq        string         // sent back in the reply
	Deliveries []Delivery
}

// machineList is a machine list that updates refer to by number.
type machineList struct {
	entries []scheduler.MachineEntry
	defined bool // false: no list of this number was received
}

// Decoder decodes frames. It keeps the numbered machine lists. A new list replaces the previous one of its number.
type Decoder struct {
	reader       *bufio.Reader
	lineNumber   int
	machineLists [maxMachineLists]machineList
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next decodes a frame. It returns io.EOF if the input ends between frames. Every other error names a line number.
func (d *Decoder) Next() (*Frame, error) {
	line, err := d.readLine()
	if err != nil {
		return nil, err
	}
	frame, err := decodeFrameHeader(line)
	if err != nil {
		return nil, d.lineError(line, err)
	}
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", d.lineNumber, &TruncatedError{Inside: "frame"})
		}
		if err != nil {
			return nil, err
		}
		if line == commitLine {
			return frame, nil
		}
		if err := d.decodeLine(frame, line); err != nil {
			return nil, d.lineError(line, err)
		}
	}
}

func decodeFrameHeader(line string) (*Frame, error) {
	f := newFieldReader(line)
	if f.text() != frameLine {
		return nil, ErrFrameExpected
	}
	frame := &Frame{Now: f.time(), Seq: f.text()}
	return frame, f.finish()
}

// readLine returns the next line without its line ending. It returns io.EOF, not wrapped, if the input ends after a
// complete line.
func (d *Decoder) readLine() (string, error) {
	line, err := d.reader.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		return "", fmt.Errorf("line %d: %w", d.lineNumber+1, &TruncatedError{Inside: "line"})
	}
	if err != nil {
		return "", err
	}
	d.lineNumber++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

func (d *Decoder) lineError(line string, err error) error {
	return &LineError{Number: d.lineNumber, Line: line, Err: err}
}

// decodeLine decodes a line inside a frame: a machine list that updates refer to, or a message for an instance.
func (d *Decoder) decodeLine(frame *Frame, line string) error {
	f := newFieldReader(line)
	name := f.text()
	if name == machineListLine {
		return d.decodeMachineList(f)
	}
	delivery := Delivery{Line: d.lineNumber, Instance: f.wholeNumber()}
	switch name {
	case noteLine:
		return nil
	case configureLine:
		config, err := decodeConfigure(f)
		if err != nil {
			return err
		}
		delivery.Start = config
	case killedLine:
		delivery.Stop = true
	case updateLine:
		update, err := d.decodeUpdate(f)
		if err != nil {
			return err
		}
		delivery.Event = update
	default:
		decode := eventDecoders[name]
		if decode == nil {
			return ErrUnknownMessage
		}
		delivery.Event = decode(f)
	}
	frame.Deliveries = append(frame.Deliveries, delivery)
	return f.finish()
}
