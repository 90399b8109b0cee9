package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// eventSource is the owner of a descriptor that epoll watches.
//
// A connection's descriptor is closed only by the flush at the end of an iteration, so that events of this iteration
// that are yet to be dispatched never reach another owner of the same descriptor number.
type eventSource interface {
	// handleEvents reacts to epoll events of the descriptor.
	handleEvents(events uint32)
	// shutdown ends the source as the loop ends.
	shutdown()
}

// register has epoll watch a descriptor on behalf of its owner.
func (l *Loop) register(fd int, events uint32, source eventSource) error {
	if err := l.addToPoller(fd, events); err != nil {
		return err
	}
	l.sources[fd] = source
	return nil
}

// unregister forgets a descriptor and closes it; closing also removes it from epoll.
func (l *Loop) unregister(fd int) {
	delete(l.sources, fd)
	closeFD(fd)
}

func (l *Loop) addToPoller(fd int, events uint32) error {
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, epollEvent(fd, events)); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// setEvents replaces the events for which a registered descriptor is watched.
func (l *Loop) setEvents(fd int, events uint32) {
	// Modifying an entry fails only where the descriptor is not registered. Connections call this only while it is; a
	// listener that was closed by its own callback may call it once more, to no effect.
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, epollEvent(fd, events))
}

func epollEvent(fd int, events uint32) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(fd)}
}

// dispatch hands the first ready entries of events to the owners of their descriptors. The wakeup descriptor has no
// owner: postQueue.run empties it.
func (l *Loop) dispatch(ready int) {
	for i := range ready {
		if source := l.sources[int(l.events[i].Fd)]; source != nil {
			source.handleEvents(l.events[i].Events)
		}
	}
}

func (l *Loop) closeDescriptors() {
	closeFD(l.epollFD)
	closeFD(l.posts.wakeupFD)
	if l.spareFD >= 0 {
		closeFD(l.spareFD)
	}
}

// closeFD closes a descriptor. Linux releases it even where close reports an error, and no retry is allowed, so there
// is nothing to do about one.
func closeFD(fd int) { _ = unix.Close(fd) }
