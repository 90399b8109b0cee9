// Package wire encodes and decodes BGP-4 messages, as far as a speaker needs that announces service addresses: RFC
// 4271 with capabilities (5492), four-octet AS numbers (6793), IPv4 and IPv6 unicast (4760), route refresh (2918),
// graceful restart (4724), communities (1997), revised error handling (7606) and shutdown messages (8203). It never
// reads past a message and keeps no reference to its input.
//
// Each message and each path attribute has a file of its own. A message that cannot be decoded yields a MessageError,
// which holds the NOTIFICATION that answers it.
package wire

import (
	"encoding/binary"
	"fmt"
)

// The header of each message (RFC 4271, section 4.1): marker, length, type.
const (
	markerLength = 16
	lengthOffset = markerLength
	typeOffset   = 18
	headerLength = 19
)

// MaxMessageLength is the limit of a message with its header, in bytes.
const MaxMessageLength = 4096

type messageType byte

const (
	typeOpen messageType = 1 + iota
	typeUpdate
	typeNotification
	typeKeepalive
	typeRouteRefresh
)

// lengthBounds are the lengths, header included, that a message of each type may have.
var lengthBounds = map[messageType]struct{ min, max int }{
	typeOpen:         {29, MaxMessageLength},
	typeUpdate:       {23, MaxMessageLength},
	typeNotification: {21, MaxMessageLength},
	typeKeepalive:    {headerLength, headerLength},
	typeRouteRefresh: {23, 23},
}

// Message is one of *Open, *Update, *Notification, *Keepalive and *RouteRefresh.
type Message interface {
	messageType() messageType
	// appendBody appends what follows the header.
	appendBody(b []byte) []byte
}

// MessageLength returns the length of the message at the start of p, header included, or 0 if p holds less than a
// header. Its error is a *MessageError.
func MessageLength(p []byte) (int, error) {
	for i := range min(len(p), markerLength) {
		if p[i] != 0xFF {
			return 0, newMessageError(CodeHeader, SubcodeNotSynchronized, nil, "no marker")
		}
	}
	if len(p) < headerLength {
		return 0, nil
	}
	length, kind := int(binary.BigEndian.Uint16(p[lengthOffset:])), messageType(p[typeOffset])
	bounds, known := lengthBounds[kind]
	if !known {
		return 0, unknownType(p)
	}
	if length < bounds.min || length > bounds.max {
		const reason = "length %d of a message of type %d"
		return 0, newMessageError(CodeHeader, SubcodeBadMessageLength, p[lengthOffset:typeOffset], reason, length, kind)
	}
	return length, nil
}

func unknownType(p []byte) error {
	field := p[typeOffset:headerLength]
	return newMessageError(CodeHeader, SubcodeBadMessageType, field, "unknown message type %d", field[0])
}

// Decode decodes p, which holds exactly one message. Its error is a *MessageError.
func Decode(p []byte) (Message, error) {
	length, err := MessageLength(p)
	if err != nil {
		return nil, err
	}
	if length == 0 || length != len(p) {
		return nil, newMessageError(CodeHeader, SubcodeBadMessageLength, nil, "%d bytes are not one message", len(p))
	}
	body := p[headerLength:]
	switch messageType(p[typeOffset]) {
	case typeOpen:
		return decodeOpen(body)
	case typeUpdate:
		return decodeUpdate(body)
	case typeNotification:
		return decodeNotification(body), nil
	case typeKeepalive:
		return &Keepalive{}, nil
	case typeRouteRefresh:
		return decodeRouteRefresh(body), nil
	default: // MessageLength knows no other type
		return nil, unknownType(p)
	}
}

// Append appends the encoded message to b. It returns b unchanged and an error if the message exceeds
// MaxMessageLength; Pack makes updates that do not.
func Append(b []byte, m Message) ([]byte, error) {
	start := len(b)
	for range markerLength {
		b = append(b, 0xFF)
	}
	b = append(b, 0, 0, byte(m.messageType()))
	b = m.appendBody(b)
	length := len(b) - start
	if length > MaxMessageLength {
		return b[:start], fmt.Errorf("a message of %d bytes, %d are allowed", length, MaxMessageLength)
	}
	binary.BigEndian.PutUint16(b[start+lengthOffset:], uint16(length))
	return b, nil
}
