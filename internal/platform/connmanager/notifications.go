package connmanager

import "slices"

// Time limits of notifications. An owner has to be notified of the end of its container within one second.
const (
	notificationRetryInterval = Second / 4  // without an acknowledgement, another client is notified after this time
	notificationTTL           = 10 * Second // without an acknowledgement, a termination is dropped after this time
	fallbackDelay             = Second / 2  // after this time, clients that are not owners are notified too
	fallbackDelayWithOwner    = Second      // fallbackDelay while an owner is connected
)

// termination is the end of a container that no client has acknowledged yet.
type termination struct {
	requestID          string
	cause              int
	endedAt            Time
	lastNotifiedClient ClientID // the client that was notified last; 0 if none was
	lastNotifiedAt     Time
	notifiedClients    []ClientID // all clients that were notified
}

// Unacknowledged returns the number of terminations that no client has acknowledged.
func (m *Manager) Unacknowledged() int { return len(m.terminations) }

// containerTerminated notifies the client that requested the container or, if that has disconnected, the likeliest
// owner.
func (m *Manager) containerTerminated(now Time, e ContainerTerminated) {
	t := &termination{requestID: e.RequestID, cause: e.Cause, endedAt: now}
	m.terminations = append(m.terminations, t)
	if c := m.clients[e.Client]; c != nil && !c.isClosing() {
		m.notifyClient(now, t, c)
		return
	}
	m.notify(now, t)
}

// terminationAcknowledged stops the notifications about a container. The acknowledgement is evidence of ownership only
// if the client was notified of this termination, since any client can acknowledge one that it was not notified of.
func (m *Manager) terminationAcknowledged(e TerminationAcknowledged) {
	notified := func(t *termination) bool {
		return t.requestID == e.RequestID && slices.Contains(t.notifiedClients, e.Client)
	}
	if c := m.clients[e.Client]; c != nil && slices.ContainsFunc(m.terminations, notified) {
		c.addEvidence(evidenceAcknowledged)
	}
	m.terminations = slices.DeleteFunc(m.terminations, func(t *termination) bool { return t.requestID == e.RequestID })
}

// retryNotifications notifies further clients of terminations that were not acknowledged in time, and drops expired
// ones.
func (m *Manager) retryNotifications(now Time) {
	m.terminations = slices.DeleteFunc(
		m.terminations,
		func(t *termination) bool { return now-t.endedAt > notificationTTL },
	)
	for _, t := range m.terminations {
		if t.lastNotifiedClient == 0 || now-t.lastNotifiedAt >= notificationRetryInterval {
			m.notify(now, t)
		}
	}
}

// renotify notifies other clients of the terminations whose latest notification went to a client that has disconnected.
func (m *Manager) renotify(now Time, disconnected ClientID) {
	for _, t := range m.terminations {
		if t.lastNotifiedClient == disconnected {
			m.notify(now, t)
		}
	}
}

// notify notifies the next client of a termination. If none is left, a client that was already notified may still
// acknowledge it.
func (m *Manager) notify(now Time, t *termination) {
	if c := m.nextRecipient(now, t); c != nil {
		m.notifyClient(now, t, c)
	}
}

func (m *Manager) notifyClient(now Time, t *termination, c *client) {
	t.lastNotifiedClient = c.id
	t.lastNotifiedAt = now
	t.notifiedClients = append(t.notifiedClients, c.id)
	m.emit(NotifyTermination{RequestID: t.requestID, Cause: t.cause, Client: c.id})
}

// nextRecipient returns the likeliest owner that was not notified of a termination yet, or nil. After a delay, any
// client that was served or has an open request is eligible: while placements take seconds, an owner that has
// reconnected may not have shown evidence of ownership yet.
func (m *Manager) nextRecipient(now Time, t *termination) *client {
	clients := m.sortedClients()
	delay := fallbackDelay
	if slices.ContainsFunc(clients, func(c *client) bool { return c.isOwner() && !c.isClosing() }) {
		delay = fallbackDelayWithOwner
	}
	fallback := now-t.endedAt >= delay
	var best *client
	for _, c := range clients {
		if c.isClosing() || slices.Contains(t.notifiedClients, c.id) {
			continue
		}
		eligible := c.isOwner() || fallback && (c.state == clientServed || c.openRequests > 0)
		if eligible && (best == nil || c.isLikelierOwner(best)) {
			best = c
		}
	}
	return best
}

// isLikelierOwner reports whether c is likelier to own a container than a client that connected earlier. It compares
// the evidence of ownership, then the latest activity.
func (c *client) isLikelierOwner(earlier *client) bool {
	if c.evidence != earlier.evidence {
		return c.evidence > earlier.evidence
	}
	return c.lastActiveAt >= earlier.lastActiveAt
}
