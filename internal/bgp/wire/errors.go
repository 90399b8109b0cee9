package wire

import (
	"errors"
	"fmt"
	"slices"
)

// Code is the error code of a NOTIFICATION (RFC 4271, section 4.5).
type Code uint8

// The error codes.
const (
	CodeHeader           Code = 1
	CodeOpen             Code = 2
	CodeUpdate           Code = 3
	CodeHoldTimerExpired Code = 4
	CodeFSM              Code = 5
	CodeCease            Code = 6
)

// Subcode is the error subcode of a NOTIFICATION; its meaning depends on the code.
type Subcode uint8

// SubcodeUnspecific is the subcode for errors of any code that have no subcode of their own.
const SubcodeUnspecific Subcode = 0

// Subcodes of CodeHeader (RFC 4271, section 6.1).
const (
	SubcodeNotSynchronized  Subcode = 1
	SubcodeBadMessageLength Subcode = 2
	SubcodeBadMessageType   Subcode = 3
)

// Subcodes of CodeOpen (RFC 4271, section 6.2; RFC 5492, section 5).
const (
	SubcodeUnsupportedVersion    Subcode = 1
	SubcodeBadPeerAS             Subcode = 2
	SubcodeBadIdentifier         Subcode = 3
	SubcodeUnsupportedParameter  Subcode = 4
	SubcodeUnacceptableHoldTime  Subcode = 6
	SubcodeUnsupportedCapability Subcode = 7
)

// Subcodes of CodeUpdate (RFC 4271, section 6.3).
const (
	SubcodeMalformedAttributes    Subcode = 1
	SubcodeOptionalAttributeError Subcode = 9
	SubcodeInvalidNetworkField    Subcode = 10
)

// Subcodes of CodeFSM: a message that the state does not allow (RFC 6608).
const (
	SubcodeUnexpectedInOpenSent    Subcode = 1
	SubcodeUnexpectedInOpenConfirm Subcode = 2
	SubcodeUnexpectedInEstablished Subcode = 3
)

// Subcodes of CodeCease (RFC 4486).
const (
	SubcodeAdministrativeShutdown Subcode = 2
	SubcodeAdministrativeReset    Subcode = 4
	SubcodeConnectionRejected     Subcode = 5
	SubcodeCollisionResolution    Subcode = 7
)

// MessageError is the error for an invalid or unexpected message. It embeds the NOTIFICATION to send to the peer.
type MessageError struct {
	Notification
	Reason string // for operators
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("%s (notification %d/%d)", e.Reason, e.Code, e.Subcode)
}

// newMessageError returns a *MessageError with a copy of data.
func newMessageError(code Code, subcode Subcode, data []byte, format string, arguments ...any) error {
	return &MessageError{
		Notification: Notification{Code: code, Subcode: subcode, Data: slices.Clone(data)},
		Reason:       fmt.Sprintf(format, arguments...),
	}
}

// errMalformedAttribute is the error for an attribute whose update is treated as a withdrawal. The prefixes are known,
// so the session need not end (RFC 7606, section 2).
var errMalformedAttribute = errors.New("malformed attribute")
