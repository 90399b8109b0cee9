package emulator

import (
	"sync"
	"time"

	"glenport/internal/statemachine"
)

// loopState is a state of a task loop.
type loopState string

const (
	loopRunning loopState = "running"
	loopFrozen  loopState = "frozen" // tasks are taken and wait
	loopClosed  loopState = "closed" // for good
)

// loopEvent is an event of a task loop.
type loopEvent string

const (
	taskPosted    loopEvent = "task posted"
	loopWasFrozen loopEvent = "frozen"
	loopWasThawed loopEvent = "thawed"
	loopWasClosed loopEvent = "closed"
)

// A fault may end after the machine that it befell has closed, so freezing and thawing are legal to the end.
var loopTransitions = statemachine.Table[loopState, loopEvent]{
	loopRunning: {
		taskPosted: loopRunning, loopWasFrozen: loopFrozen, loopWasThawed: loopRunning, loopWasClosed: loopClosed,
	},
	loopFrozen: {
		taskPosted: loopFrozen, loopWasFrozen: loopFrozen, loopWasThawed: loopRunning, loopWasClosed: loopClosed,
	},
	loopClosed: {
		loopWasFrozen: loopClosed, loopWasThawed: loopClosed, loopWasClosed: loopClosed,
	},
}

// taskLoop runs posted tasks one after another on one goroutine. A frozen loop runs none, as a stopped process would.
type taskLoop struct {
	ended chan struct{} // closed once no task runs any more

	mu    sync.Mutex // guards what follows
	wake  *sync.Cond
	state stateful[loopState, loopEvent]
	tasks []func()
}

func newTaskLoop(name string) *taskLoop {
	l := &taskLoop{
		ended: make(chan struct{}),
		state: stateful[loopState, loopEvent]{"task loop of " + name, loopTransitions, loopRunning},
	}
	l.wake = sync.NewCond(&l.mu)
	return l
}

// run runs tasks until the loop is closed.
func (l *taskLoop) run() {
	defer close(l.ended)
	for {
		task := l.next()
		if task == nil {
			return
		}
		task()
	}
}

// next waits for a task; nil once the loop is closed.
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

// post adds a task. A closed loop takes none and returns a *statemachine.TransitionError.
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

// runAndWait adds a task and returns when it has run. Where the loop is closed before that, it returns a
// *statemachine.TransitionError.
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
	case <-l.ended:
		return l.post(task) // which the closed loop refuses
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

// query has a loop's goroutine read something; ok is false where the loop does not run or does not answer in time.
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
