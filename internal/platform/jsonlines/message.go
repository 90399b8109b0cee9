// Package jsonlines encodes and decodes the messages of the platform's protocol, one JSON object a line. It bounds
// what it reads and does no I/O. The names of a message's members on the wire ("call", "with", "why", "desc") end here.
package jsonlines

import (
	"encoding/json"
	"fmt"
)

// MaxLineBytes is the length of the longest line of a message, its end included.
const MaxLineBytes = 16 << 10

// Op is the type of a message.
type Op string

// The types of messages. A scheduler acts on OpOffer, OpEnd, OpEnded and OpTest of clients, and on OpAccept, OpEnd,
// OpInfo and OpTested of machines. The others are valid and have no effect.
const (
	OpOffer    Op = "offer"  // a container to be placed; from a client also one that runs already
	OpAccept   Op = "accept" // the container is placed
	OpEnd      Op = "end"    // the request or the container is over, or is to be ended; see the causes
	OpEnded    Op = "ended"  // acknowledges OpEnd
	OpTest     Op = "test"   // health check
	OpTested   Op = "tested" // result of a health check
	OpInfo     Op = "info"   // resource usage of a container
	OpRinging  Op = "ringing"
	OpRedirect Op = "redirect"
)

func (op Op) valid() bool {
	switch op {
	case OpOffer, OpRinging, OpAccept, OpEnd, OpEnded, OpTest, OpTested, OpInfo, OpRedirect:
		return true
	}
	return false
}

// Results in the cause of OpTested. In OpTest, CauseTestPassed asks for a load report.
const (
	CauseTestFailed = 0
	CauseTestPassed = 1
)

// Causes of OpEnd.
const (
	CauseNormal           = 16  // before the answer the request is cancelled, after it the container has finished
	CauseCancelled        = 31  // moved, or ended by its owner
	CauseNoCapacity       = 34  // never ran; a client may safely retry
	CauseTemporaryFailure = 41  // failed, lost on its way or cut short; it may have run
	CauseError            = 47  // the machine failed to run it
	CauseInvalidContents  = 100 // the request cannot be served
	CauseNotSent          = 102 // never reached a machine
)

// CauseNone stands for a message without a cause.
const CauseNone = -1

// Message is one line of the protocol.
type Message struct {
	Op          Op              `json:"op"`
	RequestID   string          `json:"call"` // 16 hexadecimal digits
	Fields      Fields          `json:"with"`
	Cause       *int            `json:"why,omitempty"`
	Description json.RawMessage `json:"desc,omitempty"` // a JSON string, forwarded byte for byte
}

// CauseOrNone returns the cause of a message, or CauseNone.
func (m *Message) CauseOrNone() int {
	if m.Cause == nil {
		return CauseNone
	}
	return *m.Cause
}

// Fields are the named values of a message. Numbers are kept as they were written.
type Fields map[string]string

// UnmarshalJSON decodes an object of strings and numbers.
func (f *Fields) UnmarshalJSON(p []byte) error {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(p, &raw); err != nil {
		return fmt.Errorf("with: %w", err)
	}
	*f = make(Fields, len(raw))
	for name, value := range raw {
		text, err := decodeField(name, value)
		if err != nil {
			return err
		}
		(*f)[name] = text
	}
	return nil
}

func decodeField(name string, value json.RawMessage) (string, error) {
	switch first := value[0]; {
	case first == '"':
		var text string
		if err := json.Unmarshal(value, &text); err != nil {
			return "", fmt.Errorf("with.%s: %w", name, err)
		}
		return text, nil
	case first == '-' || first >= '0' && first <= '9':
		return string(value), nil
	}
	return "", &FieldTypeError{Field: name}
}
