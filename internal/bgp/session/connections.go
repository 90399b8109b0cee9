package session

import (
	"maps"
	"slices"

	"glenport/internal/bgp/wire"
)

// maxConnections is the number of open connections during a collision.
const maxConnections = 2

// connections holds the dial in progress and the open connections.
type connections struct {
	actions *actionQueue
	// open has entries only in OpenSent, OpenConfirm and Established, and two only during a collision.
	open       map[ConnID]*connection
	lastDialed ConnID
	dialing    ConnID // the dial in progress, or 0
}

// connection is an open connection. It is in state OpenSent until the peer's Open is received, even if the session is
// in a later state.
type connection struct {
	id       ConnID
	inbound  bool
	peerOpen *wire.Open // nil: not yet received
}

func newConnections(actions *actionQueue) *connections {
	return &connections{actions: actions, open: map[ConnID]*connection{}}
}

func (cs *connections) dial() {
	cs.lastDialed++
	cs.dialing = cs.lastDialed
	cs.actions.emit(Dial{cs.dialing})
}

// abandonDial abandons the dial in progress, if any.
func (cs *connections) abandonDial() {
	if cs.dialing != 0 {
		cs.actions.emit(CloseConn{cs.dialing})
		cs.dialing = 0
	}
}

// isAbandoned reports whether an opened connection belongs to a dial that has been abandoned.
func (cs *connections) isAbandoned(opened ConnOpened) bool {
	return !opened.Inbound && opened.Conn != cs.dialing
}

// endDial ends the dial in progress if it resulted in the opened connection.
func (cs *connections) endDial(opened ConnOpened) {
	if !opened.Inbound {
		cs.dialing = 0
	}
}

// add adds an open connection and ends the dial that opened it, if any.
func (cs *connections) add(opened ConnOpened) {
	cs.endDial(opened)
	cs.open[opened.Conn] = &connection{id: opened.Conn, inbound: opened.Inbound}
}

// reject closes a connection that the session does not expect in its state.
func (cs *connections) reject(opened ConnOpened) {
	cs.endDial(opened)
	cs.send(opened.Conn, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeConnectionRejected})
	cs.actions.emit(CloseConn{opened.Conn})
}

func (cs *connections) send(id ConnID, m wire.Message) {
	cs.actions.emit(SendMessage{id, m})
}

// close sends a notification on a connection and closes it.
func (cs *connections) close(c *connection, notification *wire.Notification) {
	cs.send(c.id, notification)
	cs.closeWithoutNotification(c)
}

func (cs *connections) closeWithoutNotification(c *connection) {
	cs.actions.emit(CloseConn{c.id})
	cs.remove(c)
}

func (cs *connections) remove(c *connection) { delete(cs.open, c.id) }

// closeAll closes all connections and abandons the dial in progress.
func (cs *connections) closeAll(notification *wire.Notification) {
	for _, c := range cs.sorted() {
		cs.close(c, notification)
	}
	cs.abandonDial()
}

// sorted returns the open connections in order of their IDs.
func (cs *connections) sorted() []*connection {
	ordered := make([]*connection, 0, len(cs.open))
	for _, id := range slices.Sorted(maps.Keys(cs.open)) {
		ordered = append(ordered, cs.open[id])
	}
	return ordered
}

// except returns the open connections without the excluded one.
func (cs *connections) except(excluded *connection) []*connection {
	return slices.DeleteFunc(cs.sorted(), func(c *connection) bool { return c == excluded })
}

func (cs *connections) closeColliding(c *connection) {
	cs.close(c, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeCollisionResolution})
}
