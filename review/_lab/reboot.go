package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// path is the network path to a host: a proxy whose connections end as the host's do. When the host loses its power,
// its connections stay open at the other side and carry nothing, and new ones are refused until the host is back. What
// is sent on an earlier connection after that is answered with a reset.
type path struct {
	record   *record
	listener net.Listener
	target   string

	mu    sync.Mutex
	life  int  // increases when the host loses its power
	alive bool // the host is up
}

func startPath(target string, r *record) (*path, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{record: r, listener: listener, target: target, alive: true}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *path) addr() string { return p.listener.Addr().String() }

func (p *path) state() (life int, alive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.alive
}

func (p *path) losePower() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life++
	p.alive = false
}

func (p *path) powerOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alive = true
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *path) serve(outer net.Conn) {
	life, alive := p.state()
	inner, err := net.DialTimeout("tcp", p.target, time.Second)
	if !alive || err != nil {
		reset(outer)
		return
	}
	go p.forward(outer, inner, life)
	buffer := make([]byte, 64<<10)
	for {
		n, err := inner.Read(buffer)
		if now, _ := p.state(); now != life {
			return // the host has lost its power: the other side is told nothing
		}
		if n > 0 {
			if _, err := outer.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = outer.Close()
}

// forward carries what is sent to the host.
func (p *path) forward(outer, inner net.Conn, life int) {
	defer func() { _ = inner.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := outer.Read(buffer)
		now, alive := p.state()
		switch {
		case now != life && n > 0 && alive:
			p.record.printf("path: %d bytes on a connection of before the power loss: reset", n)
			reset(outer)
			return
		case now != life && n > 0:
			continue // dropped
		case n > 0:
			if _, err := inner.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = outer.Close()
			}
			return
		}
	}
}

// runReboot lets the host of one of three schedulers lose its power and come back after 5 s. A job's container ends after that. The
// controller has to start it again, as it keeps the containers of jobs running.
func runReboot(r *run) verdict {
	c, err := newCluster(r, 2, 3, sampleClasses)
	defer c.stop()
	if err != nil {
		return r.fail("cluster", err)
	}
	const job = `{"id":"match","service":"match","workload":"matcher","customer":"schools","cores":1,` +
		`"memory_gib":2,"run_for_ms":15000,"count":1}`
	if status, _ := c.call(http.MethodPost, "/v1/jobs", "", job); status != http.StatusCreated {
		return r.fail("job", nil)
	}
	if !waitFor(10*time.Second, func() bool { return c.containerState("match.0") == "running" }) {
		return r.fail("the container does not run", nil)
	}
	if r.trouble {
		s := c.scheduler(c.container("match.0").Placer)
		if s == nil {
			return r.fail("no scheduler has the container", nil)
		}
		r.printf("scheduler %s: its host loses its power", s.name)
		s.path.losePower()
		s.process.end(syscall.SIGKILL)
		time.Sleep(5 * time.Second)
		r.printf("scheduler %s: its host is back, and it is started again", s.name)
		if err := c.startScheduler(s); err != nil {
			return r.fail("scheduler", err)
		}
		s.path.powerOn()
	}
	if !waitFor(20*time.Second, func() bool { return c.heldAnywhere() == 0 }) {
		return r.fail("the container does not end", nil)
	}
	again := waitFor(60*time.Second, func() bool { return startsOfService(c.machines, "match") > 1 })
	c.call(http.MethodGet, "/v1/containers/match.0", "", "")
	r.printf("the container was started again: %t; machines run %d containers", again, c.heldAnywhere())
	if !again {
		return ruleBroken
	}
	return ruleHeld
}
