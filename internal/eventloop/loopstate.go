package eventloop

// loopState determines what the loop does after the current iteration.
type loopState uint8

// The states. Every iteration begins in loopWaiting. Of several requested states, the one listed last takes effect.
const (
	loopWaiting      loopState = iota // wait for an event
	loopSkippingWait                  // begin the next iteration at once
	loopDraining                      // end the loop, unless an event has arrived that must be handled first
	loopStopping                      // end the loop
)

// requestState requests a state for the end of this iteration. It has no effect if a state that is listed later was
// requested already.
func (l *Loop) requestState(state loopState) { l.state = max(l.state, state) }
