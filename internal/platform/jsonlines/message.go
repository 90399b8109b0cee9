// Package jsonlines encodes and decodes the messages of the platform's protocol, which are one JSON object per line. It
// limits the size of its input and performs no I/O. Its callers use Go names for the members of a message, not the
// names on the wire ("call", "with", "why", "desc").
package jsonlines

import (
	"encoding/json"
	"fmt"
)

// MaxLineBytes is the maximum length of a message's line, including the line end.
const MaxLineBytes = 16 << 10

// Op is the type of a message.
type Op string

// Types of messages. A scheduler handles OpOffer, OpEnd, OpEnded and OpTest from clients, and OpAccept, OpEnd, OpInfo
// and OpTested from machines. All others are valid and have no effect.
const (
	OpOffer    Op = "offer"  // requests a placement, or, from a client, claims a running container
	OpAccept   Op = "accept" // the container is placed
	OpEnd      Op = "end"    // ends a request or a container, or reports its end; see the causes
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

// Causes of OpTested: the result of the health check. In OpTest, CauseTestPassed requests a load report.
const (
	CauseTestFailed = 0
	CauseTestPassed = 1
)

// Causes of OpEnd.
const (
	CauseNormal           = 16  // before the answer: the request is cancelled; after it: the container has finished
	CauseCancelled        = 31  // the container was moved, or ended by its owner
	CauseNoCapacity       = 34  // the container never ran; a client may safely retry
	CauseTemporaryFailure = 41  // failed, lost in transit or interrupted; the container may have run
	CauseError            = 47  // the machine failed to run the container
	CauseInvalidContents  = 100 // the request cannot be served
	CauseNotSent          = 102 // the request never reached a machine
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

// Fields are the named values of a message. A number is kept in its original notation.
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
