// Package connmanager decides on the connections of a placer: which callers at its door are let go or left waiting while
// descriptors are few, which of them is told that a container which stood is over, and how many links a machine may
// have and for how long. It does no I/O and has no clock.
package connmanager

import (
	"cmp"
	"slices"
)

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

const (
	Millisecond Time = 10
	Second      Time = 10_000
)

// Tuned values. What a peer can do to a door, not one deployment, sets them.
const (
	clientDescriptorsDivisor  = 2                // one part in so many of the descriptors beyond the reserve is for callers, the rest for links;
	machineConnsDivisor       = 3                // as long as there are enough, one part in so many of all is shared among the machines' links
	firstRequestTimeout       = 2 * Second       // a caller that has been sent nothing by then, and awaits nothing, is let go
	partialMessageTimeout     = 2 * Second       // likewise one whose message is not whole by then
	newClientGrace            = Second / 5       // a caller younger than this may have a set-up on the way
	minReadPause              = 50 * Millisecond // after a message that was turned away; it doubles with each more
	maxReadPause              = Second
	clientStaleAfter          = 4 * Second      // owners close a connection of their own that was unused for so long
	notificationRetryInterval = Second / 4      // after this, who was told of an end has not heard it
	fallbackDelayWithOwner    = Second          // until then only an owner who has shown that work of his stands is told,
	fallbackDelay             = Second / 2      // where there is one: the word is owed within a second
	notificationTTL           = 10 * Second     // then an end that nobody hears is dropped
	maxDrainTime              = 3 * Second      // a placer told to leave is killed a while after the longest hard stop, or after this
	killGracePeriod           = 7 * Second / 10 // where that is shorter, and so long after;
	forceAnswersMargin        = 3 * Second / 10 // shortly before it owes nothing any more
	extraConnIdleTimeout      = 5 * Second      // a link beyond a machine's first that carries nothing is closed after it
	reservedDescriptors       = 32              // for event queues, runtime, log, listener, a file, the bus (two while it moves), and bursts
	minEvictionIdle           = Second / 2      // where links are short, one that carries nothing makes way after so long
)

// ClientID numbers the callers in the order in which they came.
type ClientID uint64

// Event is something that happened at the door.
type Event interface{ event() }

type (
	ClientConnected struct{ Client ClientID }
	BytesReceived   struct {
		Client  ClientID
		Partial bool // a message is not whole yet
	}
	PlacementRequested struct{ Client ClientID } // a set-up was taken in
	MessageSent        struct {                  // something was sent to it
		Client         ClientID
		ClosedRequests int // set-ups that this closed
	}
	RequestCancelled       struct{ Client ClientID } // its owner gave a set-up up
	InvalidMessageReceived struct{ Client ClientID } // a message that nothing can be done with was answered
	// OwnershipProven tells that a caller speaks for owners: it was given a yes.
	OwnershipProven struct{ Client ClientID }
	// ContainerReclaimed tells that a caller named what stands. Anybody can do that, but after a start owners do nothing else at first.
	ContainerReclaimed struct{ Client ClientID }
	ClientDisconnected struct{ Client ClientID }
	// ContainerTerminated is a container that stood and has ended; Caller is who asked for it, 0 where that has left.
	ContainerTerminated struct {
		RequestID string
		Cause     int
		Client    ClientID
	}
	TerminationAcknowledged struct { // a caller says that it has heard of that end
		RequestID string
		Client    ClientID
	}
	Tick struct{} // some time has passed
)

func (ClientConnected) event()         {}
func (BytesReceived) event()           {}
func (PlacementRequested) event()      {}
func (MessageSent) event()             {}
func (RequestCancelled) event()        {}
func (InvalidMessageReceived) event()  {}
func (OwnershipProven) event()         {}
func (ContainerReclaimed) event()      {}
func (ClientDisconnected) event()      {}
func (ContainerTerminated) event()     {}
func (TerminationAcknowledged) event() {}
func (Tick) event()                    {}

// Action is something that the host is to do.
type Action interface{ action() }

type (
	// CloseClient closes a caller's connection.
	CloseClient struct {
		Client ClientID
		Reason string
	}
	// NotifyTermination tells a caller that a container is over.
	NotifyTermination struct {
		RequestID string
		Cause     int
		Client    ClientID
	}
	// PauseReading leaves what a caller sends unread for a while.
	PauseReading struct {
		Client   ClientID
		Duration Time
	}
)

func (CloseClient) action()       {}
func (NotifyTermination) action() {}
func (PauseReading) action()      {}

// Manager knows the callers at one door, until they have left, and the ends that nobody has heard of yet, for
// notificationTTL at most.
type Manager struct {
	maxClients    int
	clients       map[ClientID]*client
	activeClients int // callers that were not told to go
	terminations  []*termination
}

type termination struct {
	requestID        string
	cause            int
	endedAt          Time
	notifiedClient   ClientID // who was told last; 0: nobody
	notifiedAt       Time
	attemptedClients []ClientID
}

type client struct {
	id              ClientID
	connectedAt     Time
	lastActiveAt    Time
	partialSince    Time // since when a message is not whole; 0: none is under way
	openRequests    int  // set-ups without an answer
	messageSent     bool
	ownershipProven bool
	acknowledged    bool // of an end
	reclaimed       bool
	readPause       Time
	closing         bool
}

// isOwner tells whether a caller speaks for owners, by what it has shown or says.
func (c *client) isOwner() bool { return c.ownershipProven || c.reclaimed }

// ownershipEvidence is how sure it is that a caller speaks for owners.
func (c *client) ownershipEvidence() int {
	switch {
	case c.acknowledged:
		return 3
	case c.ownershipProven:
		return 2
	case c.reclaimed:
		return 1
	}
	return 0
}

// New makes the porter of a placer that may hold so many descriptors.
func New(descriptors int) *Manager {
	return &Manager{maxClients: maxClientConns(descriptors), clients: map[ClientID]*client{}}
}

// Handle takes what happened by now and returns what is to be done.
func (p *Manager) Handle(now Time, events []Event) []Action {
	var out []Action
	for _, e := range events {
		switch e := e.(type) {
		case ClientConnected:
			p.clients[e.Client] = &client{id: e.Client, connectedAt: now, lastActiveAt: now}
			p.activeClients++
			if p.activeClients > p.maxClients {
				out = p.evictClient(now, out)
			}
		case BytesReceived:
			if c := p.clients[e.Client]; c != nil {
				if c.lastActiveAt = now; !e.Partial {
					c.partialSince = 0
				} else if c.partialSince == 0 {
					c.partialSince = now
				}
			}
		case PlacementRequested:
			if c := p.clients[e.Client]; c != nil {
				c.openRequests++
			}
		case MessageSent:
			if c := p.clients[e.Client]; c != nil {
				c.lastActiveAt, c.messageSent = now, true
				c.openRequests -= e.ClosedRequests
			}
		case RequestCancelled:
			if c := p.clients[e.Client]; c != nil {
				c.openRequests--
			}
		case InvalidMessageReceived:
			if c := p.clients[e.Client]; c != nil && !c.closing {
				c.readPause = min(max(minReadPause, 2*c.readPause), maxReadPause)
				out = append(out, PauseReading{c.id, c.readPause})
			}
		case ClientDisconnected:
			if c := p.clients[e.Client]; c != nil {
				if delete(p.clients, e.Client); !c.closing {
					p.activeClients--
				}
			}
			for _, x := range p.terminations {
				if x.notifiedClient == e.Client {
					out = p.notify(now, x, out)
				}
			}
		case OwnershipProven:
			if c := p.clients[e.Client]; c != nil {
				c.ownershipProven = true
			}
		case ContainerReclaimed:
			if c := p.clients[e.Client]; c != nil {
				c.reclaimed = true
			}
		case ContainerTerminated:
			x := &termination{requestID: e.RequestID, cause: e.Cause, endedAt: now}
			p.terminations = append(p.terminations, x)
			if c := p.clients[e.Client]; c != nil && !c.closing {
				out = p.notifyClient(now, x, c, out)
			} else {
				out = p.notify(now, x, out)
			}
		case TerminationAcknowledged:
			// Only who hears of an end that is being told proves something: anybody can say that he heard of another.
			told := func(x *termination) bool {
				return x.requestID == e.RequestID && slices.Contains(x.attemptedClients, e.Client)
			}
			if c := p.clients[e.Client]; c != nil && slices.ContainsFunc(p.terminations, told) {
				c.ownershipProven, c.acknowledged = true, true
			}
			p.terminations = slices.DeleteFunc(p.terminations, func(x *termination) bool { return x.requestID == e.RequestID })
		case Tick:
			p.terminations = slices.DeleteFunc(p.terminations, func(x *termination) bool { return now-x.endedAt > notificationTTL })
			for _, x := range p.terminations {
				if x.notifiedClient == 0 || now-x.notifiedAt >= notificationRetryInterval {
					out = p.notify(now, x, out)
				}
			}
			callers := p.sortedClients()
			spoken := slices.ContainsFunc(callers, func(c *client) bool { return c.ownershipProven && !c.closing })
			for _, c := range callers {
				switch {
				case c.closing || c.openRequests > 0:
				// One that named what stands stays while nobody else could be told what ends.
				case !c.messageSent && !c.ownershipProven && (!c.reclaimed || spoken) && now-c.connectedAt > firstRequestTimeout:
					out = p.closeClient(c, "it has asked nothing", out)
				case c.partialSince > 0 && now-c.partialSince > partialMessageTimeout:
					out = p.closeClient(c, "its message never ends", out)
				}
			}
		}
	}
	return out
}

// notify names the caller that hears of an end: the one used last of those that speak for owners and have not been told,
// and if there is none for a while, of all that await an answer or had one: where set-ups take seconds, an owner's new
// connections may all be such. With none left, whoever was told may hear it yet.
func (p *Manager) notify(now Time, x *termination, out []Action) []Action {
	var to *client
	callers := p.sortedClients()
	others := fallbackDelay
	if slices.ContainsFunc(callers, func(c *client) bool { return c.isOwner() && !c.closing }) {
		others = fallbackDelayWithOwner
	}
	for _, c := range callers {
		fits := !c.closing && (c.isOwner() || (c.messageSent || c.openRequests > 0) && now-x.endedAt >= others) && !slices.Contains(x.attemptedClients, c.id)
		if fits && (to == nil || c.ownershipEvidence() > to.ownershipEvidence() || c.ownershipEvidence() == to.ownershipEvidence() && c.lastActiveAt >= to.lastActiveAt) {
			to = c
		}
	}
	if to == nil {
		return out
	}
	return p.notifyClient(now, x, to, out)
}

func (p *Manager) notifyClient(now Time, x *termination, c *client, out []Action) []Action {
	x.notifiedClient, x.notifiedAt, x.attemptedClients = c.id, now, append(x.attemptedClients, c.id)
	return append(out, NotifyTermination{x.requestID, x.cause, c.id})
}

func (p *Manager) closeClient(c *client, why string, out []Action) []Action {
	c.closing = true
	p.activeClients--
	return append(out, CloseClient{c.id, why})
}

func (p *Manager) sortedClients() []*client {
	out := make([]*client, 0, len(p.clients))
	for _, c := range p.clients {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *client) int { return cmp.Compare(a.id, b.id) })
	return out
}

// evictClient lets one caller go that awaits nothing: first one that came some time ago and has asked nothing, then one that
// never spoke for an owner, then a connection that its owner has left unused, then the newest, then the one used last
// longest ago. Where all await something the newest goes, and what it asked is taken back.
func (p *Manager) evictClient(now Time, out []Action) []Action {
	const fresh, awaits = 3, 5
	rank := func(c *client) int {
		switch {
		case c.openRequests > 0:
			return awaits
		case c.isOwner() && now-c.lastActiveAt > clientStaleAfter:
			return 2
		case c.isOwner():
			return 4
		case now-c.connectedAt < newClientGrace:
			return fresh
		case c.messageSent:
			return 1
		}
		return 0
	}
	var worst *client
	for _, c := range p.sortedClients() {
		switch {
		case c.closing:
		case worst == nil || rank(c) < rank(worst):
			worst = c
		case rank(c) > rank(worst):
		case rank(c) == fresh || rank(c) == awaits || c.lastActiveAt < worst.lastActiveAt:
			worst = c
		}
	}
	return p.closeClient(worst, "the door is full", out)
}

// MaxConnsPerMachine is the number of links that each of so many machines may have.
func MaxConnsPerMachine(descriptors, machines int) int {
	return max(1, descriptors/machineConnsDivisor/max(1, machines))
}

// CanOpenBeforeClose tells whether one more connection may be opened before one that makes way for it is closed: its descriptor is free
// only after the turn, and until then the reserve has to bear it, beside the program's own needs and as many new callers.
func CanOpenBeforeClose(descriptors, connections int) bool {
	return connections < descriptors-reservedDescriptors+reservedDescriptors/4
}

// MaxMachineConns is the number of links that a placer may have in all: what callers and the program's own needs leave.
func MaxMachineConns(descriptors int) int {
	return max(8, descriptors-maxClientConns(descriptors)-reservedDescriptors)
}

func maxClientConns(descriptors int) int {
	return max(8, (descriptors-reservedDescriptors)/clientDescriptorsDivisor)
}

// MachineConn is what counts when it is asked whether a link stays.
type MachineConn struct {
	Primary            bool // the machine's
	MachineHasRunning  bool // a container stands at the machine,
	CarriesRunning     bool // and its set-up went over this link: its end will come here, and could cross a close
	IdleFor            Time // since when it has carried nothing
	MachineIdleTimeout Time // the machine closes a link that is idle for so long
}

// ShouldKeep tells whether a link that carries nothing stays. It goes well before the machine would close it: a bid that
// crosses such a close may have run.
func (l MachineConn) ShouldKeep() bool {
	switch {
	case l.CarriesRunning || l.Primary && l.MachineHasRunning:
		return true
	case l.Primary:
		return l.IdleFor < l.MachineIdleTimeout/2
	}
	return l.IdleFor < min(extraConnIdleTimeout, l.MachineIdleTimeout/2)
}

// EvictionRank tells in which order links that carry nothing make way where there may be no more: the least first, never one
// below 0. What ended at the machine of a link that made way is said again on the next one, and a vigil calls each machine
// where something stands every few seconds.
func (l MachineConn) EvictionRank() int {
	switch {
	case l.IdleFor < minEvictionIdle:
		return -1
	case l.CarriesRunning:
		return 2
	case l.MachineHasRunning:
		return 1
	}
	return 0
}

// CanCarryAttempt tells whether a link may carry a bid: not one that the machine may be closing right now.
func (l MachineConn) CanCarryAttempt() bool { return l.IdleFor < l.MachineIdleTimeout/2 }

// drainTime is how long a placer that was told to leave takes in what is on its way, and tells ends.
func drainTime(longest Time) Time { return max(killGracePeriod, min(longest, maxDrainTime)) }

// ShouldKeepDraining tells whether a placer that was told to leave so long ago, with so many set-ups unanswered, stays. Longest is the
// longest hard stop.
func ShouldKeepDraining(since Time, unanswered int, longest Time) bool {
	return since < drainTime(longest) || unanswered > 0
}

// ShouldForceAnswers tells whether it answers what is still open, before it is killed.
func ShouldForceAnswers(since, longest Time) bool {
	return since >= drainTime(longest)+killGracePeriod-forceAnswersMargin
}
