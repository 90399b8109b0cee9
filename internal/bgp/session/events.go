package session

import (
	"glenport/internal/bgp/wire"
)

// ConnID identifies a connection. The session numbers those that it dials from 1 on; the process numbers inbound ones,
// apart from these.
type ConnID int

// Timer is one of the session's timers.
type Timer uint8

// The timers (RFC 4271, section 8).
const (
	ConnectRetryTimer Timer = iota
	HoldTimer
	KeepaliveTimer
	IdleHoldTimer
	timerCount
)

// Event is an input of the state machine.
type Event interface{ event() }

// Start begins to connect to the peer, or to wait for it.
type Start struct{}

// Stop ends the session until the next Start. The peer receives the reason in a shutdown message.
type Stop struct{ Reason string }

// ConnOpened is an open connection: inbound, or one that Dial asked for.
type ConnOpened struct {
	Conn    ConnID
	Inbound bool
}

// ConnClosed is the end of a connection that the session did not close, or a failed Dial.
type ConnClosed struct{ Conn ConnID }

// MessageReceived is a decoded message.
type MessageReceived struct {
	Conn    ConnID
	Message wire.Message
}

// MessageInvalid is a message that cannot be decoded.
type MessageInvalid struct {
	Conn ConnID
	Err  *wire.MessageError
}

// TimerExpired is the expiry of a timer that SetTimer started.
type TimerExpired struct{ Timer Timer }

func (Start) event()           {}
func (Stop) event()            {}
func (ConnOpened) event()      {}
func (ConnClosed) event()      {}
func (MessageReceived) event() {}
func (MessageInvalid) event()  {}
func (TimerExpired) event()    {}
