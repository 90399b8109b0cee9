package platform

import (
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

const (
	maxEventBytes       = 4 << 20
	watchSilenceTimeout = 2 * eventloop.Second // twice the interval at which the service sends a line
	watchConnectTimeout = eventloop.Second
	watchReconnectDelay = eventloop.Second / 5
	watchOutputLimit    = 1 << 10 // bytes of output that may be pending
)

// discoveryWatch follows the events of the discovery service, over one connection at a time. Each event is applied
// once: after a reconnect, the watch requests the events after the last one applied.
type discoveryWatch struct {
	env           *environment
	machines      *machineRegistry
	addr          string
	conn          *eventloop.Conn // nil while disconnected
	lines         jsonlines.LineSplitter
	lastOffset    int64 // offset of the last event applied
	lastReadAt    eventloop.Tick
	interrupted   bool // the last connection has ended, and nothing was read since
	receivedEvent bool // an event was received on this connection, so the next one has the next offset
}

// missingEventError reports a gap in the offsets of events.
type missingEventError struct{ offset int64 }

func (e *missingEventError) Error() string { return fmt.Sprintf("event %d is missing", e.offset) }

func newDiscoveryWatch(env *environment, machines *machineRegistry) *discoveryWatch {
	return &discoveryWatch{
		env:        env,
		machines:   machines,
		addr:       env.config.DiscoveryAddr,
		lastOffset: env.config.LastOffset,
	}
}

// connect opens a connection to the discovery service.
func (w *discoveryWatch) connect() {
	w.lines, w.receivedEvent = jsonlines.LineSplitter{MaxBytes: maxEventBytes}, false
	w.lastReadAt = w.env.loop.Now()
	w.conn = w.env.loop.Dial(w.addr, w, watchOutputLimit, watchConnectTimeout)
}

// changeAddr continues the watch at another address.
func (w *discoveryWatch) changeAddr(addr string) {
	if addr == w.addr {
		return
	}
	w.env.log.Info("discovery address changed", "address", addr, "last_offset", w.lastOffset)
	w.addr = addr
	if conn := w.conn; conn != nil {
		w.conn = nil
		conn.Reset()
	}
	w.connect()
}

// Opened implements eventloop.Handler: it requests the events after the last one applied.
func (w *discoveryWatch) Opened(conn *eventloop.Conn) {
	if conn == w.conn {
		// A new connection has no pending output. resetIfSilent handles any failure.
		_ = conn.Write(watchRequest(w.lastOffset))
	}
}

// Read implements eventloop.Handler.
func (w *discoveryWatch) Read(conn *eventloop.Conn, data []byte) {
	if conn != w.conn {
		return
	}
	w.lastReadAt = w.env.loop.Now()
	if err := w.lines.Feed(data, w.handleLine); err != nil {
		w.env.log.Warn("discovery watch reset", "error", err, "last_offset", w.lastOffset)
		conn.Reset()
	}
}

// Closed implements eventloop.Handler: it reconnects after watchReconnectDelay. Connections that changeAddr has
// replaced are ignored.
func (w *discoveryWatch) Closed(conn *eventloop.Conn, err error) {
	if conn != w.conn {
		return
	}
	w.conn = nil
	if !w.interrupted {
		w.interrupted = true
		w.env.log.Warn("discovery watch interrupted", "error", err, "last_offset", w.lastOffset)
	}
	w.env.loop.After(watchReconnectDelay, func() {
		if w.conn == nil {
			w.connect()
		}
	})
}

// resetIfSilent ends a connection on which nothing was read for watchSilenceTimeout.
func (w *discoveryWatch) resetIfSilent(now eventloop.Tick) {
	if w.conn != nil && now-w.lastReadAt > watchSilenceTimeout {
		w.conn.Reset()
	}
}

// handleLine handles an event, or the offset of the last event. After a reconnect the service may repeat events that
// were applied already; they are ignored. After a repeated event no event may be missing, because the service has all
// events that follow an event that it sends.
func (w *discoveryWatch) handleLine(line []byte) error {
	log := w.env.log
	if w.interrupted {
		w.interrupted = false
		log.Info("discovery watch resumed", "last_offset", w.lastOffset)
	}
	event, err := w.env.config.decodeWatchEvent(line)
	if err != nil {
		return err
	}
	if event.offset <= w.lastOffset {
		w.receivedEvent = w.receivedEvent || !event.offsetOnly
		return nil
	}
	// A gap is an error: the reconnect requests the missing events. The first event on a connection may have any
	// offset, since the service may have dropped older events.
	if event.offsetOnly || w.receivedEvent && event.offset > w.lastOffset+1 {
		return &missingEventError{w.lastOffset + 1}
	}
	w.lastOffset, w.receivedEvent = event.offset, true
	for _, err := range event.invalidEntries {
		log.Warn("invalid machine entry skipped", "offset", event.offset, "error", err)
	}
	w.machines.applyUpdate(scheduler.DeltaUpdate, event)
	return nil
}
