package eventloop

import "sync"

// Post queues a callback to run on the loop's goroutine at the start of the next iteration, in the order of the calls.
// It reports whether the callback was queued, which is false once Run has ended. Callbacks that are still queued when
// Run ends are dropped. Any goroutine may call it.
func (l *Loop) Post(callback func()) bool { return l.posts.add(callback) }

// postState is the state of a postQueue.
type postState uint8

const (
	postQueueIdle      postState = iota // no callback is queued
	postQueueSignalled                  // Wake was called; the loop will take the queue
	postQueueClosed                     // Run has ended
)

// postQueue holds callbacks that other goroutines post, and wakes the loop up for them.
type postQueue struct {
	kernel Kernel

	mu        sync.Mutex // guards the fields below
	state     postState
	callbacks []func()
}

// add queues a callback, unless the queue is closed.
func (q *postQueue) add(callback func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.state == postQueueClosed {
		return false
	}
	q.callbacks = append(q.callbacks, callback)
	if q.state == postQueueIdle {
		q.state = postQueueSignalled
		q.kernel.Wake()
	}
	return true
}

// run runs the callbacks posted so far. Callbacks that they post run in the next iteration.
func (q *postQueue) run() {
	for _, callback := range q.take() {
		callback()
	}
}

// take empties the queue and clears the wakeup under one lock, so that no wakeup is lost in between.
func (q *postQueue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.state == postQueueSignalled {
		q.kernel.ClearWake()
		q.state = postQueueIdle
	}
	taken := q.callbacks
	q.callbacks = nil
	return taken
}

// close drops the queued callbacks and makes add refuse new ones. After close, no call of add wakes up the loop, so the
// poller may be closed.
func (q *postQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state, q.callbacks = postQueueClosed, nil
}
