package emulator

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"glenport/internal/bgp/wire"
)

// RouteChange is one change that a stand-in peer was told of.
type RouteChange struct {
	At               time.Time
	Prefix           netip.Prefix
	Withdrawn        bool
	LocalPref        uint32
	GracefulShutdown bool // with the graceful shutdown community
}

// BGPPeer is a stand-in for a routing peer: it takes sessions, keeps a route table and what it was told, helps a
// speaker that restarts, and misbehaves on demand.
type BGPPeer struct {
	AS            uint32
	ID            [4]byte
	HoldTime      time.Duration
	RestartTime   time.Duration // for how long routes stay when a session that agreed on it ends
	RecordChanges bool          // keep all that was told, not only the table

	mu         sync.Mutex
	listener   net.Listener
	conn       net.Conn
	table      map[netip.Prefix]bool // true: stale
	changes    []RouteChange
	sessions   int
	endOfRIBs  int // of routes that were marked
	messages   int
	bytes      int
	silent     bool
	readDelay  time.Duration // before each read
	wrongAS    bool
	staleTimer *time.Timer
	background sync.WaitGroup
	closed     bool
}

// Open begins to take sessions.
func (p *BGPPeer) Open() (addr string, err error) {
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	p.table = map[netip.Prefix]bool{}
	p.background.Go(func() {
		for {
			c, err := p.listener.Accept()
			if err != nil {
				return
			}
			p.background.Go(func() { p.serve(c) })
		}
	})
	return p.listener.Addr().String(), nil
}

func (p *BGPPeer) Close() {
	p.mu.Lock()
	p.closed = true
	if p.conn != nil {
		p.conn.Close()
	}
	if p.staleTimer != nil {
		p.staleTimer.Stop()
	}
	p.mu.Unlock()
	p.listener.Close()
	p.background.Wait()
}

// Reset resets the session, Garble sends garbage into it, Silence stops keepalives, WrongAS greets as another.
func (p *BGPPeer) Reset() {
	p.withConn(func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
}
func (p *BGPPeer) SendGarbage() {
	p.withConn(func(c net.Conn) { c.Write([]byte("this is no message of the protocol, nor the half of one")) })
}
func (p *BGPPeer) SendPartial() {
	p.withConn(func(c net.Conn) {
		m, _ := wire.Append(nil, &wire.RouteRefresh{Family: wire.IPv4})
		c.Write(m[:20])
	})
}
func (p *BGPPeer) SetSilent(on bool) { p.locked(func() { p.silent = on }) }

// SetReadDelay makes it wait so long before each message that it reads.
func (p *BGPPeer) SetReadDelay(by time.Duration) { p.locked(func() { p.readDelay = by }) }
func (p *BGPPeer) SetWrongAS(on bool)            { p.locked(func() { p.wrongAS = on }) }

func (p *BGPPeer) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *BGPPeer) withConn(f func(net.Conn)) {
	p.locked(func() {
		if p.conn != nil {
			f(p.conn)
		}
	})
}

// Route tells whether a route is in the table, and whether it is a stale one.
func (p *BGPPeer) Route(x netip.Prefix) (has, stale bool) {
	p.locked(func() { stale, has = p.table[x] })
	return has, stale
}

// Stats are the number of routes, sessions so far, ends of routes marked, messages and bytes of updates.
func (p *BGPPeer) Stats() (routes, sessions, ends, messages, bytes int) {
	p.locked(func() {
		routes, sessions, ends, messages, bytes = len(p.table), p.sessions, p.endOfRIBs, p.messages, p.bytes
	})
	return
}

// Changes returns what it was told since the last call.
func (p *BGPPeer) Changes() (all []RouteChange) {
	p.locked(func() { all, p.changes = p.changes, nil })
	return all
}

// Established tells whether a session stands.
func (p *BGPPeer) Established() (up bool) {
	p.locked(func() { up = p.conn != nil })
	return up
}

func (p *BGPPeer) send(c net.Conn, m wire.Message) {
	b, err := wire.Append(nil, m)
	if err != nil {
		panic(err)
	}
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	c.Write(b)
}

func readMessage(c net.Conn) (wire.Message, int, error) {
	head := make([]byte, 19, wire.MaxMessageLength)
	if _, err := io.ReadFull(c, head); err != nil {
		return nil, 0, err
	}
	n, err := wire.MessageLength(head)
	if err != nil {
		return nil, 0, err
	}
	head = head[:n]
	if _, err := io.ReadFull(c, head[19:]); err != nil {
		return nil, 0, err
	}
	m, err := wire.Decode(head)
	return m, n, err
}

func (p *BGPPeer) serve(c net.Conn) {
	defer c.Close()
	as := p.AS
	p.locked(func() {
		if p.wrongAS {
			as++
		}
	})
	p.send(c, &wire.Open{AS: as, HoldTime: uint16(p.HoldTime / time.Second), ID: p.ID, Families: []wire.Family{wire.IPv4, wire.IPv6}, FourOctetAS: true,
		Refresh: true, Restart: &wire.GracefulRestart{Time: uint16(p.RestartTime / time.Second), ForwardingPreserved: map[wire.Family]bool{}}})
	m, _, err := readMessage(c)
	open, ok := m.(*wire.Open)
	if err != nil || !ok {
		return
	}
	p.send(c, &wire.Keepalive{})
	if m, _, err = readMessage(c); err != nil {
		return
	}
	if _, ok := m.(*wire.Keepalive); !ok {
		return
	}
	p.locked(func() {
		p.conn = c
		p.sessions++
		if p.staleTimer != nil {
			p.staleTimer.Stop()
		}
	})
	gone := make(chan struct{})
	defer close(gone)
	p.background.Go(func() {
		tick := time.NewTicker(max(100*time.Millisecond, p.HoldTime/3))
		defer tick.Stop()
		for {
			select {
			case <-gone:
				return
			case <-tick.C:
				quiet := false
				p.locked(func() { quiet = p.silent })
				if !quiet {
					p.send(c, &wire.Keepalive{})
				}
			}
		}
	})
	shut := false
	for {
		slow := time.Duration(0)
		p.locked(func() { slow = p.readDelay })
		time.Sleep(slow)
		m, n, err := readMessage(c)
		if err != nil {
			break
		}
		if _, ok := m.(*wire.Notification); ok {
			shut = true
			break
		}
		if u, ok := m.(*wire.Update); ok {
			p.locked(func() { p.applyUpdate(u, n) })
		}
	}
	p.locked(func() {
		if p.conn == c {
			p.conn = nil
			p.sessionLost(open, shut)
		}
	})
}

func (p *BGPPeer) applyUpdate(u *wire.Update, size int) {
	now := time.Now()
	p.messages++
	p.bytes += size
	if _, end := u.EndOfRIBFamily(); end {
		p.endOfRIBs++
		for x, stale := range p.table {
			if stale {
				delete(p.table, x)
				p.recordChange(RouteChange{At: now, Prefix: x, Withdrawn: true})
			}
		}
		return
	}
	for _, x := range u.Withdrawn {
		delete(p.table, x)
		p.recordChange(RouteChange{At: now, Prefix: x, Withdrawn: true})
	}
	shut := false
	for _, c := range u.Path.Communities {
		shut = shut || c == 0xFFFF0000
	}
	for _, x := range u.Announced {
		p.table[x] = false
		p.recordChange(RouteChange{At: now, Prefix: x, LocalPref: u.Path.LocalPref, GracefulShutdown: shut})
	}
}

func (p *BGPPeer) recordChange(t RouteChange) {
	if p.RecordChanges {
		p.changes = append(p.changes, t)
	}
}

// sessionLost is a session's end: routes go, or stay for a while where the speaker may restart.
func (p *BGPPeer) sessionLost(open *wire.Open, shut bool) {
	drop := func() {
		for x := range p.table {
			delete(p.table, x)
			p.recordChange(RouteChange{At: time.Now(), Prefix: x, Withdrawn: true})
		}
	}
	if open.Restart == nil || shut || p.closed {
		drop()
		return
	}
	for x := range p.table {
		p.table[x] = true
	}
	p.staleTimer = time.AfterFunc(time.Duration(open.Restart.Time)*time.Second, func() { p.locked(drop) })
}
