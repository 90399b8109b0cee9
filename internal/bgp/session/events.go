package session

import (
	"glenport/internal/bgp/wire"
)

// ConnID identifies a connection. The session numbers the connections that it dials from 1 on. The caller numbers the
// inbound ones from a separate range.
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

// Start makes the session connect to the peer, or wait for a connection if it is passive.
type Start struct{}

// Stop ends the session until the next Start. The peer receives the reason in a shutdown message.
type Stop struct{ Reason string }

// ConnOpened reports an open connection: an inbound one, or one opened by Dial.
type ConnOpened struct {
	Conn    ConnID
	Inbound bool
}

// ConnClosed reports a failed Dial, or the end of a connection that the session did not close.
type ConnClosed struct{ Conn ConnID }

// MessageReceived reports a decoded message.
type MessageReceived struct {
	Conn    ConnID
	Message wire.Message
}

// MessageInvalid reports a message that cannot be decoded.
type MessageInvalid struct {
	Conn ConnID
	Err  *wire.MessageError
}

// TimerExpired reports the expiry of a timer that SetTimer started.
type TimerExpired struct{ Timer Timer }

func (Start) event()           {}
func (Stop) event()            {}
func (ConnOpened) event()      {}
func (ConnClosed) event()      {}
func (MessageReceived) event() {}
func (MessageInvalid) event()  {}
func (TimerExpired) event()    {}
