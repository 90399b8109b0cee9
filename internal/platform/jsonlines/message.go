// Package jsonlines reads and writes the platform's messages: one JSON object a line. It is a codec with bounds and no
// I/O: a line of over MaxLineBytes, or one that is no message, ends its reader for good.
package jsonlines

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// MaxLineBytes is the longest line of a message, its end included.
const MaxLineBytes = 16 << 10

// Op is the type of a message.
type Op string

const (
	OpOffer    Op = "offer"
	OpRinging  Op = "ringing"
	OpAccept   Op = "accept"
	OpEnd      Op = "end"
	OpEnded    Op = "ended"
	OpTest     Op = "test"
	OpTested   Op = "tested"
	OpInfo     Op = "info"
	OpRedirect Op = "redirect"
)

var knownOps = map[Op]bool{OpOffer: true, OpRinging: true, OpAccept: true, OpEnd: true, OpEnded: true, OpTest: true, OpTested: true,
	OpInfo: true, OpRedirect: true}

// Causes that an End or a test carries.
const (
	CauseTestFailed       = 0   // of Tested
	CauseTestPassed       = 1   // of Tested; of Test: a report is wanted
	CauseNormal           = 16  // before an answer the set-up is taken back, after it the task has come to its end
	CauseCancelled        = 31  // moved, or ended by its owner
	CauseNoCapacity       = 34  // never ran; to an owner: trying again is harmless
	CauseTemporaryFailure = 41  // failed: broken on its way, or cut
	CauseError            = 47  // an error
	CauseInvalidContents  = 100 // contents that nothing can be done with
	CauseNotSent          = 102 // never left
)

// Message is one line. Desc is carried byte for byte.
type Message struct {
	Op          Op              `json:"op"`
	RequestID   string          `json:"call"`
	Fields      Fields          `json:"with"`
	Cause       *int            `json:"why,omitempty"`
	Description json.RawMessage `json:"desc,omitempty"`
}

// CauseOrNone is Why, -1 where there is none.
func (m *Message) CauseOrNone() int {
	if m.Cause == nil {
		return -1
	}
	return *m.Cause
}

// CausePtr gives a cause its place in a message.
func CausePtr(cause int) *int { return &cause }

// Fields are a message's fields; numbers stand as they were written.
type Fields map[string]string

func (f *Fields) UnmarshalJSON(p []byte) error {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(p, &raw); err != nil {
		return fmt.Errorf("with: %w", err)
	}
	*f = make(Fields, len(raw))
	for k, v := range raw {
		switch c := v[0]; {
		case c == '"':
			var s string
			if err := json.Unmarshal(v, &s); err != nil {
				return fmt.Errorf("with.%s: %w", k, err)
			}
			(*f)[k] = s
		case c == '-' || c >= '0' && c <= '9':
			(*f)[k] = string(v)
		default:
			return fmt.Errorf("with.%s is neither text nor a number", k)
		}
	}
	return nil
}

// Decode reads one line without its end.
func Decode(line []byte) (*Message, error) {
	if !utf8.Valid(line) {
		return nil, errors.New("the line is not UTF-8")
	}
	m := &Message{}
	if err := json.Unmarshal(line, m); err != nil {
		return nil, fmt.Errorf("no message: %w", err)
	}
	if !knownOps[m.Op] {
		return nil, fmt.Errorf("op %q is not known", truncate(string(m.Op)))
	}
	if !isRequestID(m.RequestID) {
		return nil, fmt.Errorf("call %q is not 16 hex digits", truncate(m.RequestID))
	}
	if len(m.Description) > 0 && m.Description[0] != '"' {
		return nil, errors.New("desc is no text")
	}
	return m, nil
}

func isRequestID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

func truncate(s string) string { return s[:min(len(s), 32)] }

// Append writes a message as a line. A message that is longer than a line may be is an error.
func Append(out []byte, m *Message) ([]byte, error) {
	from := len(out)
	out = append(out, `{"op":"`...)
	out = append(out, m.Op...)
	out = append(out, `","call":"`...)
	out = append(out, m.RequestID...)
	out = append(out, `","with":`...)
	with := m.Fields
	if with == nil {
		with = Fields{}
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b) // writes its map in the order of the keys
	e.SetEscapeHTML(false)
	if err := e.Encode(map[string]string(with)); err != nil {
		return out[:from], err
	}
	out = append(out, bytes.TrimRight(b.Bytes(), "\n")...)
	if m.Cause != nil {
		out = strconv.AppendInt(append(out, `,"why":`...), int64(*m.Cause), 10)
	}
	if len(m.Description) > 0 {
		out = append(append(out, `,"desc":`...), m.Description...)
	}
	out = append(out, "}\n"...)
	if n := len(out) - from; n > MaxLineBytes {
		return out[:from], fmt.Errorf("a message of %d bytes is over the limit of %d", n, MaxLineBytes)
	}
	return out, nil
}

// LineSplitter takes a stream apart into lines of at most Most bytes. Its one table, the unfinished line, is emptied by
// the line's end.
type LineSplitter struct {
	MaxBytes int
	partial  []byte
	err      error
}

// Buffered is the number of bytes of an unfinished line.
func (l *LineSplitter) Buffered() int { return len(l.partial) }

// Feed hands each whole line to each, until that returns an error. A fault stays.
func (l *LineSplitter) Feed(p []byte, each func(line []byte) error) error {
	for len(p) > 0 && l.err == nil {
		n := bytes.IndexByte(p, '\n')
		if rest := len(l.partial) + len(p); n < 0 && rest >= l.MaxBytes || n >= 0 && len(l.partial)+n >= l.MaxBytes {
			l.partial, l.err = nil, fmt.Errorf("a line of over %d bytes", l.MaxBytes)
			break
		}
		if n < 0 {
			l.partial = append(l.partial, p...)
			break
		}
		line := p[:n]
		if len(l.partial) > 0 {
			l.partial = append(l.partial, line...)
			line = l.partial
		}
		l.err = each(bytes.TrimSuffix(line, []byte("\r")))
		if l.partial, p = l.partial[:0], p[n+1:]; cap(l.partial) > 1<<10 {
			l.partial = nil
		}
	}
	return l.err
}
