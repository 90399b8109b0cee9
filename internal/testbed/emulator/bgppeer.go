package emulator

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"glenport/internal/bgp/wire"
)

// Told is one change that a stand-in peer was told of.
type Told struct {
	At     time.Time
	Prefix netip.Prefix
	Gone   bool
	Pref   uint32
	Shut   bool // with the graceful shutdown community
}

// BGPPeer is a stand-in for a routing peer: it takes sessions, keeps a route table and what it was told, helps a
// speaker that restarts, and misbehaves on demand.
type BGPPeer struct {
	AS      uint32
	ID      [4]byte
	Hold    time.Duration
	Helps   time.Duration // for how long routes stay when a session that agreed on it ends
	Journal bool          // keep all that was told, not only the table

	mu       sync.Mutex
	listener net.Listener
	conn     net.Conn
	table    map[netip.Prefix]bool // true: stale
	told     []Told
	sessions int
	ends     int // of routes that were marked
	messages int
	bytes    int
	silent   bool
	slowBy   time.Duration // before each read
	wrongAS  bool
	expiry   *time.Timer
	working  sync.WaitGroup
	closed   bool
}

// Open begins to take sessions.
func (p *BGPPeer) Open() (addr string, err error) {
	if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	p.table = map[netip.Prefix]bool{}
	p.working.Go(func() {
		for {
			c, err := p.listener.Accept()
			if err != nil {
				return
			}
			p.working.Go(func() { p.serve(c) })
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
	if p.expiry != nil {
		p.expiry.Stop()
	}
	p.mu.Unlock()
	p.listener.Close()
	p.working.Wait()
}

// Reset resets the session, Garble sends garbage into it, Silence stops keepalives, WrongAS greets as another.
func (p *BGPPeer) Reset() {
	p.with(func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
}
func (p *BGPPeer) Garble() {
	p.with(func(c net.Conn) { c.Write([]byte("this is no message of the protocol, nor the half of one")) })
}
func (p *BGPPeer) Half() {
	p.with(func(c net.Conn) {
		m, _ := wire.Append(nil, &wire.RouteRefresh{Family: wire.IPv4})
		c.Write(m[:20])
	})
}
func (p *BGPPeer) Silence(on bool) { p.set(func() { p.silent = on }) }

// SetSlow makes it wait so long before each message that it reads.
func (p *BGPPeer) SetSlow(by time.Duration) { p.set(func() { p.slowBy = by }) }
func (p *BGPPeer) WrongAS(on bool)          { p.set(func() { p.wrongAS = on }) }

func (p *BGPPeer) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *BGPPeer) with(f func(net.Conn)) {
	p.set(func() {
		if p.conn != nil {
			f(p.conn)
		}
	})
}

// Has tells whether a route is in the table, and whether it is a stale one.
func (p *BGPPeer) Has(x netip.Prefix) (has, stale bool) {
	p.set(func() { stale, has = p.table[x] })
	return has, stale
}

// Figures are the number of routes, sessions so far, ends of routes marked, messages and bytes of updates.
func (p *BGPPeer) Figures() (routes, sessions, ends, messages, bytes int) {
	p.set(func() {
		routes, sessions, ends, messages, bytes = len(p.table), p.sessions, p.ends, p.messages, p.bytes
	})
	return
}

// Told returns what it was told since the last call.
func (p *BGPPeer) Told() (all []Told) {
	p.set(func() { all, p.told = p.told, nil })
	return all
}

// Up tells whether a session stands.
func (p *BGPPeer) Up() (up bool) {
	p.set(func() { up = p.conn != nil })
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

func read(c net.Conn) (wire.Message, int, error) {
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
	p.set(func() {
		if p.wrongAS {
			as++
		}
	})
	p.send(c, &wire.Open{AS: as, HoldTime: uint16(p.Hold / time.Second), ID: p.ID, Families: []wire.Family{wire.IPv4, wire.IPv6}, FourOctetAS: true,
		Refresh: true, Restart: &wire.GracefulRestart{Time: uint16(p.Helps / time.Second), ForwardingPreserved: map[wire.Family]bool{}}})
	m, _, err := read(c)
	open, ok := m.(*wire.Open)
	if err != nil || !ok {
		return
	}
	p.send(c, &wire.Keepalive{})
	if m, _, err = read(c); err != nil {
		return
	}
	if _, ok := m.(*wire.Keepalive); !ok {
		return
	}
	p.set(func() {
		p.conn = c
		p.sessions++
		if p.expiry != nil {
			p.expiry.Stop()
		}
	})
	gone := make(chan struct{})
	defer close(gone)
	p.working.Go(func() {
		tick := time.NewTicker(max(100*time.Millisecond, p.Hold/3))
		defer tick.Stop()
		for {
			select {
			case <-gone:
				return
			case <-tick.C:
				quiet := false
				p.set(func() { quiet = p.silent })
				if !quiet {
					p.send(c, &wire.Keepalive{})
				}
			}
		}
	})
	shut := false
	for {
		slow := time.Duration(0)
		p.set(func() { slow = p.slowBy })
		time.Sleep(slow)
		m, n, err := read(c)
		if err != nil {
			break
		}
		if _, ok := m.(*wire.Notification); ok {
			shut = true
			break
		}
		if u, ok := m.(*wire.Update); ok {
			p.set(func() { p.learn(u, n) })
		}
	}
	p.set(func() {
		if p.conn == c {
			p.conn = nil
			p.lose(open, shut)
		}
	})
}

func (p *BGPPeer) learn(u *wire.Update, size int) {
	now := time.Now()
	p.messages++
	p.bytes += size
	if _, end := u.EndOfRIBFamily(); end {
		p.ends++
		for x, stale := range p.table {
			if stale {
				delete(p.table, x)
				p.note(Told{At: now, Prefix: x, Gone: true})
			}
		}
		return
	}
	for _, x := range u.Withdrawn {
		delete(p.table, x)
		p.note(Told{At: now, Prefix: x, Gone: true})
	}
	shut := false
	for _, c := range u.Path.Communities {
		shut = shut || c == 0xFFFF0000
	}
	for _, x := range u.Announced {
		p.table[x] = false
		p.note(Told{At: now, Prefix: x, Pref: u.Path.LocalPref, Shut: shut})
	}
}

func (p *BGPPeer) note(t Told) {
	if p.Journal {
		p.told = append(p.told, t)
	}
}

// lose is a session's end: routes go, or stay for a while where the speaker may restart.
func (p *BGPPeer) lose(open *wire.Open, shut bool) {
	drop := func() {
		for x := range p.table {
			delete(p.table, x)
			p.note(Told{At: time.Now(), Prefix: x, Gone: true})
		}
	}
	if open.Restart == nil || shut || p.closed {
		drop()
		return
	}
	for x := range p.table {
		p.table[x] = true
	}
	p.expiry = time.AfterFunc(time.Duration(open.Restart.Time)*time.Second, func() { p.set(drop) })
}
