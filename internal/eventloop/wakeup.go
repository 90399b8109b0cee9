package eventloop

import "golang.org/x/sys/unix"

// Post queues a callback to run on the loop's goroutine at the start of the next iteration, in the order of the calls.
// It reports whether the callback was queued: false once Run has ended; what is queued then is dropped. Any goroutine
// may call it.
func (l *Loop) Post(callback func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false
	}
	l.posted = append(l.posted, callback)
	if !l.wakeupPending {
		l.wakeupPending = true
		one := [8]byte{1}
		// The counter is zero here, and a write to an eventfd fails only where the counter would overflow.
		_, _ = unix.Write(l.wakeupFD, one[:])
	}
	return true
}

// Stop ends Run after the iteration that handles the call; what was written until then is flushed once more. Any
// goroutine may call it.
func (l *Loop) Stop() {
	l.Post(func() { l.onIteration = nil })
}

// runPosted runs the callbacks posted so far; those that they post run in the next iteration.
func (l *Loop) runPosted() {
	for _, callback := range l.takePosted() {
		callback()
	}
}

// takePosted empties the queue and the wakeup counter under one lock, so that no wakeup is lost between the two.
func (l *Loop) takePosted() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wakeupPending {
		var counter [8]byte
		// The counter is not zero here, so the read succeeds; were it to fail, epoll would report the descriptor again.
		_, _ = unix.Read(l.wakeupFD, counter[:])
	}
	posted := l.posted
	l.posted, l.wakeupPending = nil, false
	return posted
}

// refusePosts drops what is queued and has Post refuse more. After it the wakeup descriptor is no longer written and
// may be closed.
func (l *Loop) refusePosts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped, l.posted = true, nil
}
