package jsonlines

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"
)

const requestIDDigits = 16

// Decode decodes and validates a line, which is passed without its line end.
func Decode(line []byte) (*Message, error) {
	if !utf8.Valid(line) {
		return nil, ErrInvalidUTF8
	}
	m := &Message{}
	if err := json.Unmarshal(line, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := m.validate(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Message) validate() error {
	switch {
	case !m.Op.valid():
		return &UnknownOpError{Op: m.Op}
	case !isRequestID(m.RequestID):
		return &RequestIDError{RequestID: m.RequestID}
	case len(m.Description) > 0 && m.Description[0] != '"':
		return ErrInvalidDescription
	}
	return nil
}

func isRequestID(s string) bool {
	if len(s) != requestIDDigits {
		return false
	}
	for _, c := range []byte(s) {
		if !isHexDigit(c) {
			return false
		}
	}
	return true
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// Append appends a message to dst as a line. The message must be valid. After an error, the result is dst unchanged.
func Append(dst []byte, m *Message) ([]byte, error) {
	fields, err := encodeFields(m.Fields)
	if err != nil {
		return dst, err
	}
	start := len(dst)
	dst = append(dst, `{"op":"`...)
	dst = append(dst, m.Op...)
	dst = append(dst, `","call":"`...)
	dst = append(dst, m.RequestID...)
	dst = append(dst, `","with":`...)
	dst = append(dst, fields...)
	if m.Cause != nil {
		dst = append(dst, `,"why":`...)
		dst = strconv.AppendInt(dst, int64(*m.Cause), 10)
	}
	if len(m.Description) > 0 {
		dst = append(dst, `,"desc":`...)
		dst = append(dst, m.Description...)
	}
	dst = append(dst, "}\n"...)
	if n := len(dst) - start; n > MaxLineBytes {
		return dst[:start], &MessageSizeError{Bytes: n}
	}
	return dst, nil
}

// encodeFields encodes fields as a JSON object, sorted by name and without HTML escaping.
func encodeFields(fields Fields) ([]byte, error) {
	if fields == nil {
		fields = Fields{}
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(map[string]string(fields)); err != nil {
		return nil, fmt.Errorf("with: %w", err)
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}
