// Package session is the state machine of a BGP peer (RFC 4271, section 8), with collision resolution (6.8),
// capabilities (RFC 5492), hold and keepalive timers, graceful restart of the side that restarts (RFC 4724) and an
// idle hold time that doubles. It is pure: Handle takes an event of a connection or timer and returns what to send,
// open, close and report.
//
// A [Session] owns the state and decides on events, one method for each. Its components are the connections (the dial
// under way and what is open), the timers, and the negotiation of what both sides' Open messages say.
//
// By state and event, with the state that follows; an event that is not listed for a state is ignored in it:
//
//	state        event                  next         what is done
//	any          Stop                   Idle         all connections are closed with a shutdown message
//	Idle         Start                  Connect      the peer is dialed
//	Idle         Start, passive         Active       the peer is waited for
//	Idle         IdleHoldTimer          Connect      the peer is dialed again
//	Idle         ConnOpened             Idle         the connection is rejected
//	Connect      ConnectRetryTimer      Connect      the dial is abandoned, the next begins
//	Connect      ConnOpened             OpenSent     our Open is sent
//	Connect      ConnClosed             Idle         the dial failed; the idle hold time begins
//	Active       ConnectRetryTimer      Active       the peer is waited for anew
//	Active       ConnOpened             OpenSent     our Open is sent
//	OpenSent     ConnOpened             OpenSent     our Open is sent on the colliding connection
//	OpenSent     ConnClosed             Idle         the idle hold time begins
//	OpenSent     HoldTimer              Idle         the peer sent no Open
//	OpenSent     Open                   OpenConfirm  a Keepalive confirms it; a collision is resolved
//	OpenSent     Open, unacceptable     Idle         a notification says why
//	OpenSent     Notification           Idle         the connection is closed
//	OpenSent     another message        Idle         the message is unexpected
//	OpenConfirm  ConnOpened             OpenConfirm  our Open is sent on the colliding connection
//	OpenConfirm  ConnClosed             Idle         the idle hold time begins
//	OpenConfirm  HoldTimer              Idle         the peer was silent
//	OpenConfirm  KeepaliveTimer         OpenConfirm  a Keepalive is sent
//	OpenConfirm  Keepalive              Established  Up is reported
//	OpenConfirm  Notification           Idle         the connection is closed
//	OpenConfirm  another message        Idle         the message is unexpected
//	Established  ConnOpened             Established  the connection is rejected
//	Established  ConnClosed             Idle         Down is reported
//	Established  HoldTimer              Idle         the peer was silent; Down is reported
//	Established  KeepaliveTimer         Established  a Keepalive is sent
//	Established  Keepalive              Established  the hold time begins anew
//	Established  Update                 Established  its routes are not imported (RFC 8212)
//	Established  RouteRefresh           Established  the family's routes are sent again
//	Established  Notification           Idle         the connection is closed; Down is reported
//	Established  another message        Idle         the message is unexpected; Down is reported
//
// An invalid message closes its connection as an unexpected one does (another message). Where two connections are open,
// what ends one of them leaves the session in its state. As each connection has a state machine of its own in the RFC,
// a message on a connection whose peer has sent no Open is handled as in OpenSent, also if a colliding connection has
// taken the session to OpenConfirm.
package session
