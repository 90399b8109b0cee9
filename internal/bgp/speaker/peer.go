package speaker

import (
	"context"
	"log/slog"
	"net/netip"

	"glenport/internal/bgp/session"
	"glenport/internal/eventloop"

	"github.com/gaissmai/bart"
)

const dialTimeout = 5 * eventloop.Second

// peer runs the session with one peer.
type peer struct {
	speaker     *Speaker
	settings    PeerConfig
	session     *session.Session
	allowed     bart.Lite // prefixes that are announced to the peer
	connections map[session.ConnID]*connection
	timers      map[session.Timer]*eventloop.Timer

	// Set while the session is established.
	up          *session.Up // nil: not established
	conn        *connection // nil: not established
	rib         adjRIBOut
	endOfRIBDue bool             // End-of-RIB is still to be sent
	sendTimer   *eventloop.Timer // runs while the sending of pending changes is deferred; nil: not deferred

	updatesSent, bytesSent, flaps int
	lastError                     string
}

func newPeer(s *Speaker, settings PeerConfig) *peer {
	p := &peer{
		speaker:     s,
		settings:    settings,
		connections: map[session.ConnID]*connection{},
		timers:      map[session.Timer]*eventloop.Timer{},
		rib:         newAdjRIBOut(),
	}
	for _, prefix := range settings.Allow {
		p.allowed.Insert(prefix)
	}
	p.session = session.New(session.PeerConfig{
		LocalAS:     s.settings.ASN,
		PeerAS:      settings.ASN,
		LocalID:     s.settings.RouterID,
		HoldTime:    settings.HoldTime,
		Families:    settings.Families,
		Passive:     settings.Passive,
		RestartTime: settings.RestartTime,
	})
	return p
}

// handle passes an event to the session and executes the resulting actions.
func (p *peer) handle(e session.Event) {
	for _, a := range p.session.Handle(e) {
		switch a := a.(type) {
		case session.Dial:
			p.dial(a.Conn)
		case session.SendMessage:
			if c := p.connections[a.Conn]; c != nil {
				c.send(a.Message)
			}
		case session.CloseConn:
			p.closeConnection(a.Conn)
		case session.SetTimer:
			p.setTimer(a)
		case session.ClearTimer:
			p.speaker.loop.Cancel(p.timers[a.Timer])
		case session.Up:
			p.sessionUp(a)
		case session.Down:
			p.sessionDown(a.Reason)
		case session.ResendRoutes:
			p.resendRoutes(a.Family)
		case session.Log:
			p.logSession(a)
		}
	}
}

func (p *peer) dial(id session.ConnID) {
	c := &connection{speaker: p.speaker, peer: p, id: id}
	p.connections[id] = c
	c.conn = p.speaker.loop.DialWithControl(p.settings.Addr, c, outputLimit, dialTimeout, p.setMD5Key)
}

func (p *peer) closeConnection(id session.ConnID) {
	c := p.connections[id]
	if c == nil {
		return
	}
	c.closed = true
	delete(p.connections, id)
	c.conn.Close()
}

func (p *peer) setTimer(a session.SetTimer) {
	p.speaker.loop.Cancel(p.timers[a.Timer])
	expire := func() { p.handle(session.TimerExpired{Timer: a.Timer}) }
	p.timers[a.Timer] = p.speaker.loop.After(eventloop.Tick(a.After), expire)
}

// sessionUp sends the peer all routes.
func (p *peer) sessionUp(up session.Up) {
	p.up, p.endOfRIBDue = &up, up.SendEndOfRIB
	for _, c := range p.connections { // an established session has exactly one
		p.conn = c
	}
	for _, a := range p.speaker.routes.Announced() {
		p.changeRoute(a.Prefix, &a.Path)
	}
	p.sendPending()
}

func (p *peer) sessionDown(reason string) {
	p.up, p.conn, p.lastError = nil, nil, reason
	p.flaps++
	p.rib.clear()
	p.speaker.loop.Cancel(p.sendTimer)
	p.sendTimer = nil
}

func (p *peer) logSession(l session.Log) {
	attributes := append([]slog.Attr{
		slog.String("peer", p.settings.Addr),
		slog.Uint64("as", uint64(p.settings.ASN)),
	}, l.Attributes...)
	p.speaker.log.LogAttrs(context.Background(), slog.LevelInfo, l.Message, attributes...)
}

// setMD5Key sets the TCP MD5 key of the peer on a socket, if one is configured (RFC 2385). If it returns an error, the
// socket must not be used, as the session would be unsigned.
func (p *peer) setMD5Key(fd int) error {
	if p.settings.MD5Key == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(p.settings.Addr)
	if err == nil {
		err = eventloop.SetTCPMD5Key(fd, address.Addr(), p.settings.MD5Key)
	}
	if err != nil {
		p.speaker.log.Error("could not set the TCP MD5 key of a BGP peer", "peer", p.settings.Addr, "error", err)
	}
	return err
}
