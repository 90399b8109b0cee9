package eventloop

import "sync"

// Post queues a callback to run on the loop's goroutine at the start of the next iteration, in the order of the calls.
// It reports whether the callback was queued: false once Run has ended; what is queued then is dropped. Any goroutine
// may call it.
func (l *Loop) Post(callback func()) bool { return l.posts.add(callback) }

// postState is the state of a postQueue.
type postState uint8

const (
	postsTaken     postState = iota // the queue was empty when it was taken last, or nothing was posted since
	postsSignalled                  // Wake was called: the loop wakes up and takes the queue
	postsClosed                     // Run has ended
)

// postQueue holds callbacks that other goroutines post, and wakes the loop up for them.
type postQueue struct {
	kernel Kernel

	mu        sync.Mutex // guards what follows
	state     postState
	callbacks []func()
}

// add queues a callback, unless the queue is closed.
func (q *postQueue) add(callback func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.state == postsClosed {
		return false
	}
	q.callbacks = append(q.callbacks, callback)
	if q.state == postsTaken {
		q.state = postsSignalled
		q.kernel.Wake()
	}
	return true
}

// run runs the callbacks posted so far; those that they post run in the next iteration.
func (q *postQueue) run() {
	for _, callback := range q.take() {
		callback()
	}
}

// take empties the queue and the wakeup counter under one lock, so that no wakeup is lost between the two.
func (q *postQueue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.state == postsSignalled {
		q.kernel.ClearWake()
		q.state = postsTaken
	}
	taken := q.callbacks
	q.callbacks = nil
	return taken
}

// close drops what is queued and has add refuse more. After it the loop is no longer woken up, and its poller
// may be closed.
func (q *postQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state, q.callbacks = postsClosed, nil
}
