package connmanager

import "slices"

// An owner is to be notified of the end of its container within a second.
const (
	notificationRetryInterval = Second / 4  // a notification that is not acknowledged by then goes to another client
	notificationTTL           = 10 * Second // a termination that is not acknowledged by then is dropped
	fallbackDelay             = Second / 2  // from then on clients that are no owners are notified too,
	fallbackDelayWithOwner    = Second      // or, where an owner is connected, from then on
)

// termination is the end of a container that no client has acknowledged yet.
type termination struct {
	requestID        string
	cause            int
	endedAt          Time
	notifiedClient   ClientID // that was notified last; 0 if none was
	notifiedAt       Time
	attemptedClients []ClientID // that were notified
}

// containerTerminated notifies the client that requested the container, or the likeliest owner where that has gone.
func (m *Manager) containerTerminated(now Time, e ContainerTerminated) {
	t := &termination{requestID: e.RequestID, cause: e.Cause, endedAt: now}
	m.terminations = append(m.terminations, t)
	if c := m.clients[e.Client]; c != nil && !c.isClosing() {
		m.notifyClient(now, t, c)
		return
	}
	m.notify(now, t)
}

// terminationAcknowledged ends the notifications of a container. The acknowledgement proves ownership only where the
// client was notified of that very end: anybody can acknowledge another.
func (m *Manager) terminationAcknowledged(e TerminationAcknowledged) {
	notified := func(t *termination) bool {
		return t.requestID == e.RequestID && slices.Contains(t.attemptedClients, e.Client)
	}
	if c := m.clients[e.Client]; c != nil && slices.ContainsFunc(m.terminations, notified) {
		c.addEvidence(evidenceAcknowledged)
	}
	m.terminations = slices.DeleteFunc(m.terminations, func(t *termination) bool { return t.requestID == e.RequestID })
}

// retryNotifications notifies further clients of what was not acknowledged in time, and drops what is too old.
func (m *Manager) retryNotifications(now Time) {
	m.terminations = slices.DeleteFunc(
		m.terminations,
		func(t *termination) bool { return now-t.endedAt > notificationTTL },
	)
	for _, t := range m.terminations {
		if t.notifiedClient == 0 || now-t.notifiedAt >= notificationRetryInterval {
			m.notify(now, t)
		}
	}
}

// renotify notifies others of the terminations of which a client that has gone was notified last.
func (m *Manager) renotify(now Time, gone ClientID) {
	for _, t := range m.terminations {
		if t.notifiedClient == gone {
			m.notify(now, t)
		}
	}
}

// notify notifies the next client of a termination. With none left, a client that was notified may yet acknowledge it.
func (m *Manager) notify(now Time, t *termination) {
	if c := m.nextRecipient(now, t); c != nil {
		m.notifyClient(now, t, c)
	}
}

func (m *Manager) notifyClient(now Time, t *termination, c *client) {
	t.notifiedClient = c.id
	t.notifiedAt = now
	t.attemptedClients = append(t.attemptedClients, c.id)
	m.emit(NotifyTermination{RequestID: t.requestID, Cause: t.cause, Client: c.id})
}

// nextRecipient returns the likeliest owner that was not notified of a termination yet, nil if there is none. After a
// delay any client counts that has an open request or was served: where placements take seconds, the new connections of
// an owner may all be such.
func (m *Manager) nextRecipient(now Time, t *termination) *client {
	clients := m.sortedClients()
	delay := fallbackDelay
	if slices.ContainsFunc(clients, func(c *client) bool { return c.isOwner() && !c.isClosing() }) {
		delay = fallbackDelayWithOwner
	}
	fallback := now-t.endedAt >= delay
	var best *client
	for _, c := range clients {
		if c.isClosing() || slices.Contains(t.attemptedClients, c.id) {
			continue
		}
		eligible := c.isOwner() || fallback && (c.state == served || c.openRequests > 0)
		if eligible && (best == nil || c.likelierOwner(best)) {
			best = c
		}
	}
	return best
}

// likelierOwner reports whether a client is likelier to own a container than one that connected earlier: by evidence,
// then by the latest activity.
func (c *client) likelierOwner(earlier *client) bool {
	if c.evidence != earlier.evidence {
		return c.evidence > earlier.evidence
	}
	return c.lastActiveAt >= earlier.lastActiveAt
}
