// Package jsonlines reads and writes the platform's messages: one JSON object a line. It is a codec with bounds and no
// I/O: a line of over MostBytes, or one that is no message, ends its reader for good.
package jsonlines

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// MostBytes is the longest line of a message, its end included.
const MostBytes = 16 << 10

// Op is the type of a message.
type Op string

const (
	Offer    Op = "offer"
	Ringing  Op = "ringing"
	Accept   Op = "accept"
	End      Op = "end"
	Ended    Op = "ended"
	Test     Op = "test"
	Tested   Op = "tested"
	Info     Op = "info"
	Redirect Op = "redirect"
)

var ops = map[Op]bool{Offer: true, Ringing: true, Accept: true, End: true, Ended: true, Test: true, Tested: true,
	Info: true, Redirect: true}

// Causes that an End or a test carries.
const (
	Failed     = 0   // of Tested
	Passed     = 1   // of Tested; of Test: a report is wanted
	GivenUp    = 16  // before an answer the set-up is taken back, after it the task has come to its end
	Cancelled  = 31  // moved, or ended by its owner
	NoRoom     = 34  // never ran; to an owner: trying again is harmless
	Temporary  = 41  // failed: broken on its way, or cut
	Faulty     = 47  // an error
	Unreadable = 100 // contents that nothing can be done with
	Moot       = 102 // never left
)

// Message is one line. Desc is carried byte for byte.
type Message struct {
	Op   Op              `json:"op"`
	Call string          `json:"call"`
	With Fields          `json:"with"`
	Why  *int            `json:"why,omitempty"`
	Desc json.RawMessage `json:"desc,omitempty"`
}

// Cause is Why, -1 where there is none.
func (m *Message) Cause() int {
	if m.Why == nil {
		return -1
	}
	return *m.Why
}

// Because gives a cause its place in a message.
func Because(cause int) *int { return &cause }

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
	if !ops[m.Op] {
		return nil, fmt.Errorf("op %q is not known", clip(string(m.Op)))
	}
	if !isCall(m.Call) {
		return nil, fmt.Errorf("call %q is not 16 hex digits", clip(m.Call))
	}
	if len(m.Desc) > 0 && m.Desc[0] != '"' {
		return nil, errors.New("desc is no text")
	}
	return m, nil
}

func isCall(s string) bool {
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

func clip(s string) string { return s[:min(len(s), 32)] }

// Append writes a message as a line. A message that is longer than a line may be is an error.
func Append(out []byte, m *Message) ([]byte, error) {
	from := len(out)
	out = append(out, `{"op":"`...)
	out = append(out, m.Op...)
	out = append(out, `","call":"`...)
	out = append(out, m.Call...)
	out = append(out, `","with":`...)
	with := m.With
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
	if m.Why != nil {
		out = strconv.AppendInt(append(out, `,"why":`...), int64(*m.Why), 10)
	}
	if len(m.Desc) > 0 {
		out = append(append(out, `,"desc":`...), m.Desc...)
	}
	out = append(out, "}\n"...)
	if n := len(out) - from; n > MostBytes {
		return out[:from], fmt.Errorf("a message of %d bytes is over the limit of %d", n, MostBytes)
	}
	return out, nil
}

// Lines takes a stream apart into lines of at most Most bytes. Its one table, the unfinished line, is emptied by
// the line's end.
type Lines struct {
	Most  int
	part  []byte
	fault error
}

// Half is the number of bytes of an unfinished line.
func (l *Lines) Half() int { return len(l.part) }

// Feed hands each whole line to each, until that returns an error. A fault stays.
func (l *Lines) Feed(p []byte, each func(line []byte) error) error {
	for len(p) > 0 && l.fault == nil {
		n := bytes.IndexByte(p, '\n')
		if rest := len(l.part) + len(p); n < 0 && rest >= l.Most || n >= 0 && len(l.part)+n >= l.Most {
			l.part, l.fault = nil, fmt.Errorf("a line of over %d bytes", l.Most)
			break
		}
		if n < 0 {
			l.part = append(l.part, p...)
			break
		}
		line := p[:n]
		if len(l.part) > 0 {
			l.part = append(l.part, line...)
			line = l.part
		}
		l.fault = each(bytes.TrimSuffix(line, []byte("\r")))
		if l.part, p = l.part[:0], p[n+1:]; cap(l.part) > 1<<10 {
			l.part = nil
		}
	}
	return l.fault
}
