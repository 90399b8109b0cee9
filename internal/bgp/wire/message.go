// Package wire encodes and decodes the BGP-4 messages of a speaker that announces service addresses. It covers RFC 4271
// with capabilities (RFC 5492), four-octet AS numbers (RFC 6793), IPv4 and IPv6 unicast (RFC 4760), route refresh (RFC
// 2918), graceful restart (RFC 4724), communities (RFC 1997), revised error handling (RFC 7606) and shutdown messages
// (RFC 8203). It never reads past a message and keeps no reference to its input.
//
// Each message and each path attribute has its own file. The error for a message that cannot be decoded is a
// MessageError, which holds the NOTIFICATION to send.
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

// MaxMessageLength is the maximum length of a message in bytes, including the header.
const MaxMessageLength = 4096

type messageType byte

const (
	typeOpen messageType = 1 + iota
	typeUpdate
	typeNotification
	typeKeepalive
	typeRouteRefresh
)

// lengthBounds are the minimum and maximum lengths of the messages of each type, including the header.
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
	// appendBody appends the message without its header to b.
	appendBody(b []byte) []byte
}

// MessageLength returns the length of the message at the start of p, including the header, or 0 if p is shorter than a
// header. The error is a *MessageError.
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
		return 0, newUnknownTypeError(p)
	}
	if length < bounds.min || length > bounds.max {
		const reason = "length %d of a message of type %d"
		return 0, newMessageError(CodeHeader, SubcodeBadMessageLength, p[lengthOffset:typeOffset], reason, length, kind)
	}
	return length, nil
}

func newUnknownTypeError(p []byte) error {
	field := p[typeOffset:headerLength]
	return newMessageError(CodeHeader, SubcodeBadMessageType, field, "unknown message type %d", field[0])
}

// Decode decodes p, which must hold exactly one message. The error is a *MessageError.
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
	default: // MessageLength rejects other types
		return nil, newUnknownTypeError(p)
	}
}

// Append appends the encoded message to b. If the message exceeds MaxMessageLength, Append returns b unchanged and an
// error. Updates returned by Pack never exceed it.
func Append(b []byte, m Message) ([]byte, error) {
	start := len(b)
	for range markerLength {
		b = append(b, 0xFF)
	}
	b = append(b, 0, 0, byte(m.messageType()))
	b = m.appendBody(b)
	length := len(b) - start
	if length > MaxMessageLength {
		return b[:start], fmt.Errorf("BGP message of %d bytes exceeds the limit of %d bytes", length, MaxMessageLength)
	}
	binary.BigEndian.PutUint16(b[start+lengthOffset:], uint16(length))
	return b, nil
}
