// Package session implements the state machine of a BGP session with one peer (RFC 4271, section 8): collision
// resolution (section 6.8), capabilities (RFC 5492), hold and keepalive timers, graceful restart as the restarting
// speaker (RFC 4724), and an idle hold time that doubles with each failure. The package does no I/O: Handle takes an
// event of a connection or a timer and returns actions.
//
// A [Session] holds the state and handles each event with a method of its own. Its components are the connections (the
// dial in progress and the open connections), the timers, and the negotiation of the parameters in both Open messages.
//
// The transitions by state and event; an event that is not listed for a state is ignored in that state:
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
// An invalid message closes its connection like an unexpected one (another message). While two connections are open,
// the end of one of them does not change the state of the session. In the RFC, each connection has a state machine of
// its own. Therefore a message on a connection on which the peer has sent no Open is handled as in OpenSent, even if a
// colliding connection has moved the session to OpenConfirm.
package session
