package emulator

import (
	"sync"
	"time"

	"glenport/internal/statemachine"
)

// loopState is the state of a task loop.
type loopState string

const (
	loopRunning loopState = "running"
	loopFrozen  loopState = "frozen" // posted tasks are queued but not run
	loopClosed  loopState = "closed" // permanently
)

// loopEvent is an event of a task loop.
type loopEvent string

const (
	taskPosted      loopEvent = "task posted"
	loopFreezeEvent loopEvent = "frozen"
	loopThawEvent   loopEvent = "thawed"
	loopCloseEvent  loopEvent = "closed"
)

// A fault may end after its machine was closed, so freezing and thawing stay legal in every state.
var loopTransitions = statemachine.Table[loopState, loopEvent]{
	loopRunning: {
		taskPosted: loopRunning, loopFreezeEvent: loopFrozen, loopThawEvent: loopRunning, loopCloseEvent: loopClosed,
	},
	loopFrozen: {
		taskPosted: loopFrozen, loopFreezeEvent: loopFrozen, loopThawEvent: loopRunning, loopCloseEvent: loopClosed,
	},
	loopClosed: {
		loopFreezeEvent: loopClosed, loopThawEvent: loopClosed, loopCloseEvent: loopClosed,
	},
}

// taskLoop runs posted tasks one after another on one goroutine. A frozen loop runs none, like a suspended process.
type taskLoop struct {
	done chan struct{} // closed when run returns

	mu    sync.Mutex // guards the fields below
	wake  *sync.Cond
	state stateMachine[loopState, loopEvent]
	tasks []func()
}

func newTaskLoop(name string) *taskLoop {
	l := &taskLoop{
		done:  make(chan struct{}),
		state: stateMachine[loopState, loopEvent]{"task loop of " + name, loopTransitions, loopRunning},
	}
	l.wake = sync.NewCond(&l.mu)
	return l
}

// run runs tasks until the loop is closed.
func (l *taskLoop) run() {
	defer close(l.done)
	for {
		task := l.next()
		if task == nil {
			return
		}
		task()
	}
}

// next waits for a task; it returns nil once the loop is closed.
func (l *taskLoop) next() func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.state.state == loopFrozen || l.state.state == loopRunning && len(l.tasks) == 0 {
		l.wake.Wait()
	}
	if l.state.state == loopClosed {
		return nil
	}
	task := l.tasks[0]
	l.tasks = l.tasks[1:]
	return task
}

// post queues a task. On a closed loop it returns a *statemachine.TransitionError.
func (l *taskLoop) post(task func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.state.apply(taskPosted); err != nil {
		return err
	}
	l.tasks = append(l.tasks, task)
	l.wake.Signal()
	return nil
}

// runAndWait queues a task and waits until it has run. It returns a *statemachine.TransitionError if the loop is closed
// first.
func (l *taskLoop) runAndWait(task func()) error {
	done := make(chan struct{})
	err := l.post(func() {
		task()
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-l.done:
		return l.post(task) // always an error: the loop is closed
	}
}

// change applies an event other than taskPosted.
func (l *taskLoop) change(event loopEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.applyOrLog(event)
	l.wake.Broadcast()
}

func (l *taskLoop) isRunning() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.state == loopRunning
}

// query calls read on the goroutine of a loop; ok is false if the loop is not running or the limit has passed.
func query[T any](l *taskLoop, limit time.Duration, read func() T) (value T, ok bool) {
	if !l.isRunning() {
		return value, false
	}
	answer := make(chan T, 1)
	if err := l.post(func() { answer <- read() }); err != nil {
		return value, false
	}
	select {
	case value = <-answer:
		return value, true
	case <-time.After(limit):
		return value, false
	}
}
