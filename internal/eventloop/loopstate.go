package eventloop

// loopState determines what the loop does after the current iteration.
type loopState uint8

// The states. Every iteration begins in the first one, and a later one overrides those before it.
const (
	loopWaiting      loopState = iota // wait for an event
	loopSkippingWait                  // begin the next iteration at once
	loopDraining                      // end unless an event has arrived by then
	loopStopping                      // end
)

// requestState requests a state for the end of this iteration. It does not override a later state; the next iteration
// begins in loopWaiting.
func (l *Loop) requestState(state loopState) { l.state = max(l.state, state) }
