package connmanager

import (
	"cmp"
	"slices"
)

// Limits of client connections. They follow from what a peer can do to a listener, not from one deployment.
const (
	// the fraction (1/2) of the descriptors beyond the reserve that is for clients; the rest is for machines
	clientDescriptorsDivisor = 2
	minClientConns           = 8

	// a client to which nothing was sent by then, and that awaits nothing, is closed
	firstRequestTimeout   = 2 * Second
	partialMessageTimeout = 2 * Second       // a client whose message is incomplete for so long is closed
	newClientGrace        = Second / 5       // the first request of a client younger than this may be on its way
	clientStaleAfter      = 4 * Second       // owners themselves close connections that were unused for so long
	minReadPause          = 50 * Millisecond // after the first invalid message; it doubles with each further one,
	maxReadPause          = Second           // up to this
)

// maxClientConns is the number of client connections that may be open at once.
func maxClientConns(descriptors int) int {
	return max(minClientConns, (descriptors-reservedDescriptors)/clientDescriptorsDivisor)
}

func (m *Manager) clientConnected(now Time, e ClientConnected) {
	m.clients[e.Client] = &client{id: e.Client, state: unserved, connectedAt: now, lastActiveAt: now}
	m.activeClients++
	if m.activeClients > m.maxClients {
		m.evictClient(now)
	}
}

// messageCompleted ends the time of an incomplete message. A client that sends so fast that each read ends within a
// message is not slow.
func (m *Manager) messageCompleted(e MessageCompleted) {
	if c := m.clients[e.Client]; c != nil {
		c.partialSince = 0
	}
}

func (m *Manager) bytesReceived(now Time, e BytesReceived) {
	c := m.clients[e.Client]
	if c == nil {
		return
	}
	c.lastActiveAt = now
	switch {
	case !e.Partial:
		c.partialSince = 0
	case c.partialSince == 0:
		c.partialSince = now
	}
}

func (m *Manager) placementRequested(e PlacementRequested) {
	if c := m.clients[e.Client]; c != nil {
		c.openRequests++
	}
}

func (m *Manager) messageSent(now Time, e MessageSent) {
	c := m.clients[e.Client]
	if c == nil {
		return
	}
	c.lastActiveAt = now
	c.openRequests -= e.ClosedRequests
	m.transition(c, messageSent)
}

func (m *Manager) requestCancelled(e RequestCancelled) {
	if c := m.clients[e.Client]; c != nil {
		c.openRequests--
	}
}

// invalidMessageReceived slows a client down that sends messages which cannot be served.
func (m *Manager) invalidMessageReceived(e InvalidMessageReceived) {
	c := m.clients[e.Client]
	if c == nil || c.isClosing() {
		return
	}
	c.readPause = min(max(minReadPause, 2*c.readPause), maxReadPause)
	m.emit(PauseReading{Client: c.id, Duration: c.readPause})
}

func (m *Manager) ownershipProven(e OwnershipProven) {
	if c := m.clients[e.Client]; c != nil {
		c.addEvidence(evidenceProven)
	}
}

func (m *Manager) containerReclaimed(e ContainerReclaimed) {
	if c := m.clients[e.Client]; c != nil {
		c.addEvidence(evidenceReclaimed)
	}
}

// clientDisconnected removes a client and notifies others of the terminations that it was notified of last.
func (m *Manager) clientDisconnected(now Time, e ClientDisconnected) {
	if c := m.clients[e.Client]; c != nil {
		delete(m.clients, e.Client)
		if !c.isClosing() {
			m.activeClients--
		}
		m.transition(c, connectionEnded)
	}
	m.renotify(now, e.Client)
}

// closeTimedOutClients closes clients that hold a descriptor for nothing. A client that awaits an answer stays.
func (m *Manager) closeTimedOutClients(now Time) {
	clients := m.sortedClients()
	sufficient := sufficientEvidence(clients)
	for _, c := range clients {
		switch {
		case c.isClosing() || c.openRequests > 0:
		case c.isUnused(now, sufficient):
			m.closeClient(c, CloseNoRequest)
		case c.partialSince > 0 && now-c.partialSince > partialMessageTimeout:
			m.closeClient(c, CloseMessageTimeout)
		}
	}
}

// sufficientEvidence is the evidence of ownership that keeps an unserved client connected. A reclaim is enough only as
// long as no proven owner is connected that could be notified of the container's end instead.
func sufficientEvidence(clients []*client) ownershipEvidence {
	for _, c := range clients {
		if c.evidence >= evidenceProven && !c.isClosing() {
			return evidenceProven
		}
	}
	return evidenceReclaimed
}

// isUnused reports whether a client without an open request has used its connection for nothing so far, although it has
// had time to.
func (c *client) isUnused(now Time, sufficient ownershipEvidence) bool {
	return c.state == unserved && c.evidence < sufficient && now-c.connectedAt > firstRequestTimeout
}

func (m *Manager) closeClient(c *client, reason CloseReason) {
	if !m.transition(c, closeDecided) {
		return
	}
	m.activeClients--
	m.emit(CloseClient{Client: c.id, Reason: reason})
}

// evictionRank orders clients by how little is lost when their connection is closed.
type evictionRank int

const (
	evictSilent     evictionRank = iota // it has had time to send a request, and nothing was sent to it
	evictServed                         // it was served and owns nothing, as far as it has shown
	evictStaleOwner                     // an owner that has left its connection unused
	evictNew                            // its first request may be on its way
	evictActiveOwner
	evictAwaiting // a request awaits its answer, and is cancelled with the connection
)

func (c *client) evictionRank(now Time) evictionRank {
	switch {
	case c.openRequests > 0:
		return evictAwaiting
	case c.isOwner() && now-c.lastActiveAt > clientStaleAfter:
		return evictStaleOwner
	case c.isOwner():
		return evictActiveOwner
	case now-c.connectedAt < newClientGrace:
		return evictNew
	case c.state == served:
		return evictServed
	}
	return evictSilent
}

// evictClient closes the client of the lowest rank. Within evictNew and evictAwaiting that is the newest, elsewhere the
// least recently active. It is called with more active clients than may be open, so that there is one.
func (m *Manager) evictClient(now Time) {
	var victim *client
	for _, c := range m.sortedClients() {
		if !c.isClosing() && (victim == nil || c.evictedBefore(victim, now)) {
			victim = c
		}
	}
	m.closeClient(victim, CloseTooManyClients)
}

// evictedBefore reports whether a client is evicted rather than one that connected earlier.
func (c *client) evictedBefore(earlier *client, now Time) bool {
	rank, earlierRank := c.evictionRank(now), earlier.evictionRank(now)
	switch {
	case rank != earlierRank:
		return rank < earlierRank
	case rank == evictNew || rank == evictAwaiting:
		return true
	}
	return c.lastActiveAt < earlier.lastActiveAt
}

// sortedClients returns the clients in the order in which they connected.
func (m *Manager) sortedClients() []*client {
	clients := make([]*client, 0, len(m.clients))
	for _, c := range m.clients {
		clients = append(clients, c)
	}
	slices.SortFunc(clients, func(a, b *client) int { return cmp.Compare(a.id, b.id) })
	return clients
}
