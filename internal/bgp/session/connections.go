package session

import (
	"maps"
	"slices"

	"glenport/internal/bgp/wire"
)

// maxConnections is how many connections a session has while a collision is unresolved.
const maxConnections = 2

// connections owns the dial that is under way and the connections that are open.
type connections struct {
	actions *actionQueue
	// open has entries exactly in OpenSent and the states after it; two while a collision is unresolved.
	open       map[ConnID]*connection
	lastDialed ConnID
	dialing    ConnID // the dial that is under way, or 0
}

// connection is a connection that is open. Until the peer's Open has come it is in OpenSent, whatever the state of
// the session is.
type connection struct {
	id       ConnID
	inbound  bool
	peerOpen *wire.Open // nil: not received
}

func newConnections(actions *actionQueue) *connections {
	return &connections{actions: actions, open: map[ConnID]*connection{}}
}

func (cs *connections) dial() {
	cs.lastDialed++
	cs.dialing = cs.lastDialed
	cs.actions.emit(Dial{cs.dialing})
}

// abandonDial gives up the dial that is under way, if any.
func (cs *connections) abandonDial() {
	if cs.dialing != 0 {
		cs.actions.emit(CloseConn{cs.dialing})
		cs.dialing = 0
	}
}

// isAbandoned reports whether a connection has opened whose dial was given up meanwhile.
func (cs *connections) isAbandoned(opened ConnOpened) bool {
	return !opened.Inbound && opened.Conn != cs.dialing
}

// endDial ends the dial under way where it has led to an open connection.
func (cs *connections) endDial(opened ConnOpened) {
	if !opened.Inbound {
		cs.dialing = 0
	}
}

// add adds an open connection.
func (cs *connections) add(opened ConnOpened) {
	cs.endDial(opened)
	cs.open[opened.Conn] = &connection{id: opened.Conn, inbound: opened.Inbound}
}

// reject turns a connection away that no state is waiting for.
func (cs *connections) reject(opened ConnOpened) {
	cs.endDial(opened)
	cs.send(opened.Conn, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeConnectionRejected})
	cs.actions.emit(CloseConn{opened.Conn})
}

func (cs *connections) send(id ConnID, m wire.Message) {
	cs.actions.emit(SendMessage{id, m})
}

// close closes a connection and says why.
func (cs *connections) close(c *connection, notification *wire.Notification) {
	cs.send(c.id, notification)
	cs.closeSilently(c)
}

func (cs *connections) closeSilently(c *connection) {
	cs.actions.emit(CloseConn{c.id})
	cs.remove(c)
}

func (cs *connections) remove(c *connection) { delete(cs.open, c.id) }

// closeAll closes all connections and abandons the dial under way.
func (cs *connections) closeAll(notification *wire.Notification) {
	for _, c := range cs.ordered() {
		cs.close(c, notification)
	}
	cs.abandonDial()
}

// ordered returns the open connections in order of their identifiers.
func (cs *connections) ordered() []*connection {
	ordered := make([]*connection, 0, len(cs.open))
	for _, id := range slices.Sorted(maps.Keys(cs.open)) {
		ordered = append(ordered, cs.open[id])
	}
	return ordered
}

// others returns the open connections but one.
func (cs *connections) others(than *connection) []*connection {
	return slices.DeleteFunc(cs.ordered(), func(c *connection) bool { return c == than })
}

func (cs *connections) closeColliding(c *connection) {
	cs.close(c, &wire.Notification{Code: wire.CodeCease, Subcode: wire.SubcodeCollisionResolution})
}
