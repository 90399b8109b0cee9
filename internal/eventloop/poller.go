package eventloop

// eventSource is the owner of a descriptor that epoll watches.
//
// A connection's descriptor is closed only by the flush at the end of an iteration. Otherwise an event of the same
// iteration could be dispatched to a new owner of the same descriptor number.
type eventSource interface {
	// handleEvents reacts to epoll events of the descriptor.
	handleEvents(events uint32)
	// shutdown closes the source when the loop ends.
	shutdown()
}

// register starts to watch a descriptor on behalf of its owner.
func (l *Loop) register(fd int, events uint32, source eventSource) error {
	if err := l.kernel.Watch(fd, events); err != nil {
		return err
	}
	l.sources[fd] = source
	return nil
}

// unregister removes a descriptor from the sources and closes it, which also removes it from epoll.
func (l *Loop) unregister(fd int) {
	delete(l.sources, fd)
	l.kernel.Close(fd)
}

// setEvents replaces the events for which a registered descriptor is watched.
func (l *Loop) setEvents(fd int, events uint32) {
	// ChangeWatch fails only if the descriptor is not registered. Connections call setEvents only while their
	// descriptor is registered. A listener that its own callback closed may call setEvents once more, without effect.
	_ = l.kernel.ChangeWatch(fd, events)
}

// dispatch passes the first ready entries of events to the owners of their descriptors. The wakeup descriptor has no
// owner: postQueue.run clears it.
func (l *Loop) dispatch(ready int) {
	for i := range ready {
		if source := l.sources[int(l.events[i].Fd)]; source != nil {
			source.handleEvents(l.events[i].Events)
		}
	}
}

func (l *Loop) closeDescriptors() {
	if l.spareFD >= 0 {
		l.kernel.Close(l.spareFD)
	}
	l.kernel.ClosePoller()
}
