// Package eventloop is a single-threaded event loop on epoll: TCP connections, listeners, timers and callbacks posted
// by other goroutines, all served by the goroutine that calls Loop.Run. It moves bytes and keeps time; it decides
// nothing.
//
// # Order within an iteration
//
// An iteration waits for events, reads the clock once, and then runs, in this order: the callbacks that were posted,
// the sockets that are ready, the timers that have expired, the iteration callback given to New, the writes of
// connections with output, and the callback set by Loop.OnFlushed. Fairness: in one iteration a connection is read at
// most once and written at most once, whatever it has waiting; only a peer that has hung up is read to its end.
//
// # Threads
//
// Loop.Post and Loop.Stop may be called from any goroutine. All else, including every method of Conn and Listener, may
// be called only on the loop's goroutine: from a callback, or before Run begins.
//
// # Kernel
//
// All that a loop asks of the operating system passes through a Kernel. New takes that of Linux; NewOn takes another
// one, by which package simnet plays a network and a clock of its own.
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
// A connection that was accepted begins as open. The descriptor of a closed one is released by the flush of the same
// iteration. A transition that is not listed is a *statemachine.TransitionError, with which the connection ends.
//
// The loop is waiting, skipping the wait, draining or stopping: SkipWait, StopWhenIdle and Stop ask for the later ones,
// the last of which counts, and each iteration begins as waiting.
//
// # Units
//
// Moments and spans are in Tick, tenths of a millisecond; sizes are in bytes. The loop's clock is monotonic and stands
// still during an iteration.
package eventloop
