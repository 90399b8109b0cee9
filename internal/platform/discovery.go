package platform

import (
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

const (
	maxEventBytes       = 4 << 20
	watchSilenceTimeout = 2 * eventloop.Second // twice the span in which a line is due
	watchReconnectDelay = eventloop.Second / 5
)

// discoveryWatch follows the event bus, one connection at a time.
type discoveryWatch struct {
	server        *Server
	addr          string
	conn          *eventloop.Conn
	lines         jsonlines.LineSplitter
	lastOffset    int64 // number of the last event that was taken in
	lastReadAt    eventloop.Tick
	interrupted   bool
	receivedEvent bool // an event came on this connection: the next has the next number
}

func (w *discoveryWatch) connect() {
	w.lines, w.receivedEvent = jsonlines.LineSplitter{MaxBytes: maxEventBytes}, false
	w.lastReadAt = w.server.loop.Now()
	w.conn = w.server.loop.Dial(w.addr, w, 1<<10, eventloop.Second)
}

// moveTo goes on at another address.
func (w *discoveryWatch) moveTo(addr string) {
	if addr == w.addr {
		return
	}
	w.server.log.Info("event bus moves", "to", addr, "last", w.lastOffset)
	w.addr = addr
	if conn := w.conn; conn != nil {
		w.conn = nil
		conn.Reset()
	}
	w.connect()
}

func (w *discoveryWatch) Opened(conn *eventloop.Conn) {
	if conn == w.conn {
		conn.Write(fmt.Appendf(nil, "from %d\n", w.lastOffset))
	}
}

func (w *discoveryWatch) Read(conn *eventloop.Conn, b []byte) {
	if conn != w.conn {
		return
	}
	w.lastReadAt = w.server.loop.Now()
	if err := w.lines.Feed(b, w.handleLine); err != nil {
		w.server.log.Warn("event bus left", "why", err, "last", w.lastOffset)
		conn.Reset()
	}
}

func (w *discoveryWatch) Closed(conn *eventloop.Conn, err error) {
	if conn != w.conn {
		return
	}
	w.conn = nil
	if !w.interrupted {
		w.interrupted = true
		w.server.log.Warn("event bus broken off", "why", err, "last", w.lastOffset)
	}
	w.server.loop.After(watchReconnectDelay, func() {
		if w.conn == nil {
			w.connect()
		}
	})
}

func (w *discoveryWatch) resetIfSilent(now eventloop.Tick) {
	if w.conn != nil && now-w.lastReadAt > watchSilenceTimeout {
		w.conn.Reset()
	}
}

// handleLine takes in an event or the number of the last one. Events known already come again after a break.
func (w *discoveryWatch) handleLine(line []byte) error {
	if w.interrupted {
		w.interrupted = false
		w.server.log.Info("event bus followed", "last", w.lastOffset)
	}
	e, err := w.server.config.decodeWatchEvent(line)
	if err != nil {
		return err
	}
	if e.offset <= w.lastOffset {
		return nil
	}
	// What is missing is asked for again. The first event on a connection may have any number: a bus that has dropped what
	// is old cannot tell it.
	if e.offsetOnly || w.receivedEvent && e.offset > w.lastOffset+1 {
		return fmt.Errorf("event %d is missing", w.lastOffset+1)
	}
	w.lastOffset, w.receivedEvent = e.offset, true
	for _, fault := range e.invalidEntries {
		w.server.log.Warn("machine left out of an event", "event", e.offset, "why", fault)
	}
	w.server.applyUpdate(scheduler.DeltaUpdate, e)
	return nil
}
