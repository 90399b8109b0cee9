package eventloop

import (
	"testing"

	"glenport/internal/testutil"

	"golang.org/x/sys/unix"
)

// callbackOrder is the expected record of the scripted exchange, with one paragraph per iteration of the loop. Within
// an iteration the order is: posted callbacks in the order of posting, sockets in the order in which they became ready,
// timers by expiry, onIteration, connections that close during the flush in the order in which they were queued,
// onFlushed. Reset notifies its handler before it returns.
const callbackOrder = `
posted before Run
iteration
flushed

opened 0
opened 1
opened 2
opened 3
opened 4
opened 5
opened 6
opened 7
iteration
flushed

opened 8
iteration
flushed

posted first
posted second
read 2: 1 bytes
read 0: 1 bytes
read 1: 1 bytes
timer of 1 tick, scheduled first
timer of 1 tick, scheduled second
timer of 3 ticks
iteration
flushed

closed 4: EOF
closed 5: reset
iteration
closed 3: closed here
flushed

read 6: 65536 bytes
read 6: 10 bytes
closed 6: EOF
iteration
flushed

iteration
flushed

read 7: 1 bytes
iteration
closed 0: closed here
closed 1: closed here
flushed

opened dialed
closed without address: connect failed
iteration
flushed

posted that resets a connection
closed dialed: closed here
closed 2: EOF
iteration
closed 8: closed here
flushed

read 7: 2 bytes
iteration
flushed

closed 7: closed here
`

// The script: each step runs in the onIteration callback of one iteration and prepares the next iteration.

// readSteps open connections and make the loop read them, together with timers, posted callbacks and hang-ups of peers.
func (e *exchange) readSteps() []func() {
	return []func(){
		func() {
			for range maxAcceptsPerIteration + 1 {
				e.connect()
			}
		},
		func() {}, // the loop accepts the last connection of the accept queue
		func() {
			e.send(2, []byte("a"))
			e.send(0, []byte("b"))
			e.send(1, []byte("c"))
			e.loop.Post(func() { e.note("posted first") })
			e.loop.Post(func() { e.note("posted second") })
			e.loop.After(3, func() { e.note("timer of 3 ticks") })
			e.loop.After(1, func() { e.note("timer of 1 tick, scheduled first") })
			e.loop.Cancel(e.loop.After(2, func() { e.note("cancelled timer") }))
			e.loop.After(1, func() { e.note("timer of 1 tick, scheduled second") })
			e.waitForClock(3)
		},
		func() {
			e.send(3, []byte("bye"))
			e.must(unix.Shutdown(e.peers[4], unix.SHUT_WR))
			e.waitForEvents(e.accepted[4], unix.POLLRDHUP)
			e.must(unix.SetsockoptLinger(e.peers[5], unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}))
			e.must(unix.Close(e.peers[5]))
			e.peers[5] = -1
			e.waitForEvents(e.accepted[5], unix.POLLERR|unix.POLLHUP)
		},
		func() {
			e.send(6, make([]byte, readBufferSize+10))
			e.must(unix.Shutdown(e.peers[6], unix.SHUT_WR))
			e.waitForEvents(e.accepted[6], unix.POLLRDHUP)
		},
		func() {
			e.accepted[7].PauseReading()
			e.send(7, []byte("z"))
		},
		func() {
			e.accepted[7].ResumeReading()
			e.waitForEvents(e.accepted[7], unix.POLLIN)
		},
	}
}

// closeSteps dial, close connections on this side, and stop the loop.
func (e *exchange) closeSteps(otherListener string) []func() {
	return []func(){
		func() {
			for _, c := range e.accepted[:2] {
				e.must(c.Write([]byte("last")))
				c.Close()
			}
			e.dialed = e.loop.Dial(otherListener, &recorder{e, "dialed"}, 100, Second)
			e.waitForEvents(e.dialed, unix.POLLOUT)
			e.loop.Dial("nowhere", &recorder{e, "without address"}, 100, Second)
			e.waitForClock(1) // a timer reports the dial that fails
		},
		func() {
			e.loop.Post(func() {
				e.note("posted that resets a connection")
				e.dialed.Reset()
			})
			e.accepted[2].CloseWrite()
			e.must(unix.Shutdown(e.peers[2], unix.SHUT_WR))
			e.waitForEvents(e.accepted[2], unix.POLLRDHUP)
		},
		func() {
			e.accepted[8].Reset()
			e.send(7, []byte("zz"))
			e.loop.StopWhenIdle()
		},
		func() { e.loop.StopWhenIdle() },
	}
}

func TestCallbacksRunInPhaseOrder(t *testing.T) {
	e := &exchange{t: t}
	var steps []func()
	loop, err := New(func() {
		e.note("iteration")
		e.loop.SkipWait()
		steps[0]()
		steps = steps[1:]
	})
	e.must(err)
	e.loop = loop
	loop.OnFlushed(func() { e.note("flushed\n") })
	e.listener, err = loop.Listen("127.0.0.1:0", e.accept, func(err error) { e.note("accept state: %v", err) })
	e.must(err)

	other, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	e.must(err)
	e.must(unix.Bind(other, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	e.must(unix.Listen(other, 1))
	bound, err := unix.Getsockname(other)
	e.must(err)
	steps = append(e.readSteps(), e.closeSteps(addrPort(bound).String())...)
	t.Cleanup(func() {
		for _, fd := range append(e.peers, other) {
			if fd >= 0 {
				e.must(unix.Close(fd))
			}
		}
	})

	loop.Post(func() { e.note("posted before Run") })
	e.must(loop.Run())
	got := "\n" + e.record.String()
	testutil.Expect(t, got == callbackOrder, "callbacks ran in this order:\n%s\nwant:\n%s", got, callbackOrder)
	if len(steps) != 0 || loop.ConnCount() != 0 {
		t.Errorf("%d steps not run, %d connections left", len(steps), loop.ConnCount())
	}
}
