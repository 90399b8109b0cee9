// Package eventloop is a single-threaded event loop on epoll: TCP connections, listeners, timers and callbacks posted
// by other goroutines, all served by the goroutine that calls Loop.Run. It makes no scheduling decisions.
//
// # Order within an iteration
//
// An iteration waits for events, reads the clock once, and then runs, in this order: the posted callbacks, the handlers
// of ready sockets, the expired timers, the iteration callback given to New, the writes of connections with output, and
// the callback set by Loop.OnFlushed. For fairness, an iteration reads each connection at most once and writes it at
// most once, however much data is pending. The exception is a peer that has hung up, whose input is read to the end.
//
// # Threads
//
// Loop.Post and Loop.Stop may be called from any goroutine. Everything else, including every method of Conn and
// Listener, may be called only on the loop's goroutine: from a callback, or before Run is called.
//
// # Kernel
//
// A loop makes all system calls through a Kernel. New uses that of Linux. NewOn accepts another one: package simnet
// implements a simulated network and clock in this way.
//
// # States
//
// A connection, with the state that follows each event:
//
//	state        event                        next         what is done
//	dialing      handshake succeeds           open         Handler.Opened
//	dialing      handshake fails, Close       closed       Handler.Closed
//	open         the peer closes its side     ending       Handler.Closed with io.EOF
//	open         Close, output is pending     closing      the output is written first, for two seconds at most
//	open         Close, Reset, a failure      closed       Handler.Closed
//	ending       output is pending            half-closed  the output is written first, for two seconds at most
//	ending       no output is pending         closed
//	half-closed  output written, a failure    closed
//	closing      output written, a failure    closed       Handler.Closed
//
// An accepted connection starts in the state open. The flush of the iteration in which a connection closes releases its
// descriptor. A transition that is not listed ends the connection with a *statemachine.TransitionError.
//
// The loop itself is waiting, skipping the wait, draining or stopping. Each iteration begins as waiting; SkipWait,
// StopWhenIdle and Stop request the other states. Of several requests, the one latest in this order takes effect.
//
// # Units
//
// Times and durations are in Tick, tenths of a millisecond. Sizes are in bytes. The loop's clock is monotonic and does
// not advance during an iteration.
package eventloop
