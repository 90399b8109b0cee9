package connmanager

import (
	"cmp"
	"slices"
)

// Limits of client connections. They protect the listener from any peer and do not depend on the deployment.
const (
	// clients get half of the descriptors beyond the reserve; the rest is for machines
	clientDescriptorsDivisor = 2
	minClientConns           = 8

	// a client that was sent nothing and has no open request is closed after this time
	firstRequestTimeout   = 2 * Second
	partialMessageTimeout = 2 * Second       // a client whose message stays incomplete for longer is closed
	newClientGrace        = Second / 5       // the first request of a newer client may still be in transit
	clientStaleAfter      = 4 * Second       // owners close their own connections after this idle time
	minReadPause          = 50 * Millisecond // after the first invalid message; doubles with each further one
	maxReadPause          = Second           // upper limit of the doubling
)

// maxClientConns returns the maximum number of open client connections.
func maxClientConns(descriptors int) int {
	return max(minClientConns, (descriptors-reservedDescriptors)/clientDescriptorsDivisor)
}

func (m *Manager) clientConnected(now Time, e ClientConnected) {
	m.clients[e.Client] = &client{id: e.Client, state: clientUnserved, connectedAt: now, lastActiveAt: now}
	m.activeClients++
	if m.activeClients > m.maxClients {
		m.evictClient(now)
	}
}

// messageCompleted restarts the timer of the incomplete message. Every read from a fast client may end within a
// message; without the restart, such a client would be closed as slow.
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

// invalidMessageReceived pauses reading from a client that sends messages with invalid contents.
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

// clientDisconnected removes a client. Terminations whose latest notification went to it are sent to other clients.
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

// closeTimedOutClients closes clients that occupy a descriptor without using it. A client with an open request stays.
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

// sufficientEvidence returns the level of ownership evidence that keeps an unserved client connected. A reclaim
// suffices only while no proven owner is connected that could be notified of the container's end instead.
func sufficientEvidence(clients []*client) ownershipEvidence {
	for _, c := range clients {
		if c.evidence >= evidenceProven && !c.isClosing() {
			return evidenceProven
		}
	}
	return evidenceReclaimed
}

// isUnused reports whether a client without an open request has exceeded firstRequestTimeout without being served and
// without sufficient evidence of ownership.
func (c *client) isUnused(now Time, sufficient ownershipEvidence) bool {
	return c.state == clientUnserved && c.evidence < sufficient && now-c.connectedAt > firstRequestTimeout
}

func (m *Manager) closeClient(c *client, reason CloseReason) {
	if !m.transition(c, closeDecided) {
		return
	}
	m.activeClients--
	m.emit(CloseClient{Client: c.id, Reason: reason})
}

// evictionRank orders clients by the cost of closing their connection. The client of the lowest rank is closed first.
type evictionRank int

const (
	evictUnserved   evictionRank = iota // was sent nothing, although it had time to send a request
	evictServed                         // was served, and shows no evidence of ownership
	evictStaleOwner                     // an owner whose connection is idle
	evictNew                            // its first request may still be in transit
	evictActiveOwner
	evictOpenRequest // has an open request, which closing the connection would cancel
)

func (c *client) evictionRank(now Time) evictionRank {
	switch {
	case c.openRequests > 0:
		return evictOpenRequest
	case c.isOwner() && now-c.lastActiveAt > clientStaleAfter:
		return evictStaleOwner
	case c.isOwner():
		return evictActiveOwner
	case now-c.connectedAt < newClientGrace:
		return evictNew
	case c.state == clientServed:
		return evictServed
	}
	return evictUnserved
}

// evictClient closes the client of the lowest rank. Among clients of rank evictNew or evictOpenRequest it closes the
// newest, among clients of any other rank the least recently active. It is called only when there are more than
// maxClients active clients, so a victim always exists.
func (m *Manager) evictClient(now Time) {
	var victim *client
	for _, c := range m.sortedClients() {
		if !c.isClosing() && (victim == nil || c.evictedBefore(victim, now)) {
			victim = c
		}
	}
	m.closeClient(victim, CloseTooManyClients)
}

// evictedBefore reports whether c is evicted in preference to a client that connected earlier.
func (c *client) evictedBefore(earlier *client, now Time) bool {
	rank, earlierRank := c.evictionRank(now), earlier.evictionRank(now)
	switch {
	case rank != earlierRank:
		return rank < earlierRank
	case rank == evictNew || rank == evictOpenRequest:
		return true
	}
	return c.lastActiveAt < earlier.lastActiveAt
}

// sortedClients returns the clients in the order of their connection.
func (m *Manager) sortedClients() []*client {
	clients := make([]*client, 0, len(m.clients))
	for _, c := range m.clients {
		clients = append(clients, c)
	}
	slices.SortFunc(clients, func(a, b *client) int { return cmp.Compare(a.id, b.id) })
	return clients
}
