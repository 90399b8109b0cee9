package eventloop

// loopState is what the loop does after the current iteration.
type loopState uint8

// The states, from that which every iteration begins with to that which overrides all others.
const (
	loopWaiting      loopState = iota // it waits for an event
	loopSkippingWait                  // it begins the next iteration at once
	loopDraining                      // it ends if no event has arrived by then
	loopStopping                      // it ends
)

// request asks for a state. A request does not undo one that goes further; the next iteration begins in loopWaiting.
func (l *Loop) request(state loopState) { l.state = max(l.state, state) }
