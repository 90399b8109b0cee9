package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// This file has the stand-ins of the platform's side: its configuration file, event bus, machines and clients.

// message is one JSON line of the platform's protocol.
type message struct {
	Op   string         `json:"op"`
	Call string         `json:"call"`
	With map[string]any `json:"with"`
	Why  *int           `json:"why,omitempty"`
	Desc *string        `json:"desc,omitempty"`
}

func cause(n int) *int { return &n }

func (m *message) why() int {
	if m.Why == nil {
		return -1
	}
	return *m.Why
}

// lineConn is a connection that carries JSON lines.
type lineConn struct {
	net.Conn
	mu     sync.Mutex
	reader *bufio.Reader
}

func newLineConn(c net.Conn) *lineConn { return &lineConn{Conn: c, reader: bufio.NewReader(c)} }

func (c *lineConn) send(m *message) error {
	if m.With == nil {
		m.With = map[string]any{}
	}
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err = c.Write(append(line, '\n'))
	return err
}

func (c *lineConn) read() (*message, error) {
	line, err := c.reader.ReadBytes('\n')
	if err != nil {
		return nil, err
	}
	m := &message{}
	return m, json.Unmarshal(line, m)
}

// bus is an event bus that has told its last event and sends its number each second.
type bus struct {
	listener net.Listener
	offset   int
}

func startBus(offset int) (*bus, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bus{listener, offset}
	go b.serve()
	return b, nil
}

func (b *bus) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			for {
				if _, err := fmt.Fprintf(conn, "{\"offset\":%d}\n", b.offset); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
	}
}

// platformMachine is a machine of the platform. It accepts every offer and runs it until it is released.
type platformMachine struct {
	id       string
	record   *record
	listener net.Listener

	mu         sync.Mutex
	conns      map[*lineConn]bool
	pending    []string          // calls whose end is sent on the next connection too
	running    map[string]string // keys of the standing tasks by call
	released   map[string]bool   // calls whose release was read
	resetOnce  bool              // reset the connection on which the next bytes arrive, without reading them
	resetsDone int
}

func startPlatformMachine(id string, r *record) (*platformMachine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &platformMachine{
		id: id, record: r, listener: listener,
		conns: map[*lineConn]bool{}, running: map[string]string{}, released: map[string]bool{},
	}
	go m.serve()
	return m, nil
}

func (m *platformMachine) addr() string { return m.listener.Addr().String() }

func (m *platformMachine) serve() {
	for number := 1; ; number++ {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.record.printf("machine %s: connection %d is up", m.id, number)
		go m.serveConn(conn, number)
	}
}

func (m *platformMachine) serveConn(conn net.Conn, number int) {
	c := newLineConn(conn)
	defer func() { _ = c.Close() }()
	defer m.open(c)()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			m.record.printf("machine %s: connection %d has ended", m.id, number)
			return
		}
		if m.takeReset() {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			m.record.printf("machine %s: connection %d is reset under what was sent on it, which is not read", m.id, number)
			return
		}
		msg, err := c.read()
		if err != nil {
			return
		}
		m.record.printf("machine %s: reads on connection %d: %s %s why %d", m.id, number, msg.Op, msg.Call, msg.why())
		m.handle(c, msg)
	}
}

// open registers a connection, and sends the last ends on it, as the protocol says. It returns the call that forgets it.
func (m *platformMachine) open(c *lineConn) (forget func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c] = true
	for _, call := range m.pending {
		_ = c.send(&message{Op: "end", Call: call, Why: cause(16)})
	}
	m.pending = nil
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.conns, c)
	}
}

// finish ends a task that has come to its end: on any open connection, and on the next one that is opened.
func (m *platformMachine) finish(call string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, call)
	m.pending = append(m.pending, call)
	for c := range m.conns {
		m.record.printf("machine %s: sends end %s why 16", m.id, call)
		_ = c.send(&message{Op: "end", Call: call, Why: cause(16)})
		return
	}
}

// takeReset reports whether the connection has to be reset, once for each call of resetNext.
func (m *platformMachine) takeReset() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := m.resetOnce
	m.resetOnce = false
	if due {
		m.resetsDone++
	}
	return due
}

func (m *platformMachine) resetNext() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resetOnce = true
}

func (m *platformMachine) handle(c *lineConn, msg *message) {
	switch msg.Op {
	case "offer":
		m.mu.Lock()
		m.running[msg.Call] = fmt.Sprint(msg.With["key"])
		m.mu.Unlock()
		m.record.printf("machine %s: task %s with key %v stands", m.id, msg.Call, msg.With["key"])
		desc := "answer of " + m.id
		_ = c.send(&message{Op: "accept", Call: msg.Call, Desc: &desc})
	case "end":
		m.mu.Lock()
		_, stands := m.running[msg.Call]
		m.released[msg.Call] = true
		delete(m.running, msg.Call)
		m.mu.Unlock()
		if stands {
			_ = c.send(&message{Op: "end", Call: msg.Call, Why: cause(31)})
		}
	case "test":
		_ = c.send(&message{Op: "tested", Call: msg.Call, Why: cause(1), With: map[string]any{"load": "x0:20;x1:50"}})
	}
}

// readRelease reports whether the release of a task was read.
func (m *platformMachine) readRelease(call string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.released[call]
}

// standing returns the number of tasks with a key that stand.
func (m *platformMachine) standing(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, k := range m.running {
		if k == key {
			n++
		}
	}
	return n
}

// writePlatformConfig writes the platform's configuration file for one placer.
func writePlatformConfig(dir, listen, bus string, machines []*platformMachine) (string, error) {
	var hosts []map[string]any
	for i, m := range machines {
		hosts = append(hosts, map[string]any{
			"host": m.id, "dial": m.addr(), "site": "room-nord", "class": "nodo-grande", "block": i, "health": "ready",
			"share": 1, "born_ms": 0, "free": []float64{50, 100},
		})
	}
	settings := map[string]any{}
	if err := json.Unmarshal([]byte(platformSettings), &settings); err != nil {
		return "", err
	}
	config := map[string]any{
		"name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "bus": bus,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"offset": 1, "batch": []any{map[string]any{"offset": 1, "topology": map[string]any{"seq": 1, "whole": true, "hosts": hosts}}}},
		"settings": settings,
	}
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, data, 0o600)
}

// platformClient is a client of the platform with one connection.
type platformClient struct {
	*lineConn
	record  *record
	mu      sync.Mutex
	answers map[string]*message // the first accept or end of each call
	ends    map[string]int      // number of ends of each call
}

func connectClient(addr string, r *record) (*platformClient, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &platformClient{lineConn: newLineConn(conn), record: r, answers: map[string]*message{}, ends: map[string]int{}}
	go c.readAll()
	return c, nil
}

func (c *platformClient) readAll() {
	for {
		msg, err := c.read()
		if err != nil {
			c.record.printf("client: connection has ended")
			return
		}
		c.record.printf("client: reads %s %s why %d", msg.Op, msg.Call, msg.why())
		c.mu.Lock()
		if c.answers[msg.Call] == nil {
			c.answers[msg.Call] = msg
		}
		if msg.Op == "end" {
			c.ends[msg.Call]++
		}
		c.mu.Unlock()
		if msg.Op == "end" {
			_ = c.send(&message{Op: "ended", Call: msg.Call})
		}
	}
}

func (c *platformClient) answer(call string) *message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[call]
}

// waitAnswer waits for the first answer to a call.
func (c *platformClient) waitAnswer(call string, limit time.Duration) *message {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if m := c.answer(call); m != nil {
			return m
		}
	}
	return nil
}

// mergeOffer returns a set-up of a task, in the class that must never run twice. Each key is a service of its own.
func mergeOffer(call, key string) *message {
	desc := "description of call " + call
	return &message{Op: "offer", Call: call, Desc: &desc, With: map[string]any{
		"class": "corpus-merge", "left": "10000", "tenant": "grunnskolar", "key": key,
		"extras": "cores:14;memory:22;service:" + key,
	}}
}
