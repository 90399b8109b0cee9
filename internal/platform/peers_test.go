package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
)

// peer is the other end of a connection of the server: a client, a machine or the discovery service.
type peer struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func (r *testServer) dialClient() *peer {
	r.Helper()
	return newPeer(r.T, testutil.Dial(r, r.server.Addr()))
}

func newPeer(t *testing.T, c net.Conn) *peer {
	t.Helper()
	p, err := boundedPeer(t, c)
	testutil.ExpectNoError(t, err)
	return p
}

// newServedPeer is newPeer for an accepted connection. The end of the test may have closed the connection already, in
// which case each read fails.
func newServedPeer(t *testing.T, c net.Conn) *peer {
	t.Helper()
	p, err := boundedPeer(t, c)
	testutil.Expect(t, err == nil || errors.Is(err, net.ErrClosed), "deadline of an accepted connection: %v", err)
	return p
}

// boundedPeer is a peer with a deadline for all reads and writes.
func boundedPeer(t *testing.T, c net.Conn) (*peer, error) {
	t.Helper()
	return &peer{t, c, bufio.NewReader(c)}, c.SetDeadline(time.Now().Add(testTimeout))
}

func (p *peer) send(lines ...string) {
	for _, line := range lines {
		p.write(line + "\n")
	}
}

// write ignores errors: if the server has closed the connection, the next read of the peer shows it.
func (p *peer) write(text string) { _, _ = io.WriteString(p.c, text) }

// close ignores errors, because the connection may have ended already.
func (p *peer) close() { _ = p.c.Close() }

func (p *peer) readLine() (string, error) { return p.r.ReadString('\n') }

// readToEnd discards input until the connection ends.
func (p *peer) readToEnd() {
	for {
		if _, err := p.readLine(); err != nil {
			return
		}
	}
}

// receive reads the next message. It returns nil at the end of the connection.
func (p *peer) receive() *jsonlines.Message {
	p.t.Helper()
	line, err := p.r.ReadBytes('\n')
	if err != nil {
		return nil
	}
	msg, err := jsonlines.Decode(line)
	testutil.Expect(p.t, err == nil, "%v: %s", err, line)
	return msg
}

// expect reads the next message and checks its type and request.
func (p *peer) expect(op jsonlines.Op, id string) {
	p.t.Helper()
	msg := p.receive()
	testutil.Expect(p.t, msg != nil && msg.Op == op && msg.RequestID == id, "received %+v, want %s of %s", msg, op, id)
}

// expectCause reads the next message and checks that it is an end, or the result of a test, with a cause.
func (p *peer) expectCause(op jsonlines.Op, id string, cause int) {
	p.t.Helper()
	msg := p.receive()
	testutil.Expect(p.t, isMessage(msg, op, id, cause), "received %+v, want %s of %s with cause %d", msg, op, id, cause)
}

func isMessage(msg *jsonlines.Message, op jsonlines.Op, id string, cause int) bool {
	return msg != nil && msg.Op == op && msg.RequestID == id && msg.CauseOrNone() == cause
}

func (p *peer) expectEnd(id string, cause int) {
	p.t.Helper()
	p.expectCause(jsonlines.OpEnd, id, cause)
}

// expectFailed reads the end of a request that has failed, or of a container that is lost.
func (p *peer) expectFailed(id string) {
	p.t.Helper()
	p.expectEnd(id, jsonlines.CauseTemporaryFailure)
}

// expectClosed checks that the connection ends and nothing more was written.
func (p *peer) expectClosed() {
	p.t.Helper()
	msg := p.receive()
	testutil.Expect(p.t, msg == nil, "received %+v, want the end of the connection", msg)
}

// expectLive sends a liveness test and checks that its answer comes next, and passes.
func (p *peer) expectLive(number int) {
	p.t.Helper()
	p.send(testLine(number))
	p.expectCause(jsonlines.OpTested, fmt.Sprintf("%016x", number), jsonlines.CauseTestPassed)
}

// serveTCP calls serve for each connection, in a goroutine of its own, until the test ends.
func serveTCP(t *testing.T, serve func(*peer)) string {
	t.Helper()
	return testutil.ServeUntilEnd(t, func(c net.Conn) { serve(newServedPeer(t, c)) })
}

// serveListener calls serve for each connection of a listener until stop is called.
func serveListener(t *testing.T, l net.Listener, serve func(*peer)) (stop func()) {
	t.Helper()
	return testutil.Serve(l, func(c net.Conn) { serve(newServedPeer(t, c)) })
}

// serveMessages calls handle for each message on each connection.
func serveMessages(t *testing.T, handle func(m *peer, msg *jsonlines.Message)) string {
	t.Helper()
	return serveTCP(t, func(m *peer) {
		for msg := m.receive(); msg != nil; msg = m.receive() {
			handle(m, msg)
		}
	})
}

// fakeMachine answers each offer with lines, in which %s is the request's identifier; "close" closes the connection.
func fakeMachine(t *testing.T, lines ...string) string {
	t.Helper()
	return serveMessages(t, func(m *peer, msg *jsonlines.Message) {
		if msg.Op != jsonlines.OpOffer {
			return
		}
		for _, line := range lines {
			if line == "close" {
				m.close()
				return
			}
			m.send(strings.ReplaceAll(line, "%s", msg.RequestID))
		}
	})
}

// recordingMachine is a machine that answers nothing and sends its messages to received.
func recordingMachine(t *testing.T) (addr string, received chan *jsonlines.Message) {
	t.Helper()
	received = make(chan *jsonlines.Message, 10)
	return serveMessages(t, func(_ *peer, msg *jsonlines.Message) { received <- msg }), received
}

// silentDiscovery answers each watch with the offset of the last event, and has no further events.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	return serveTCP(t, func(p *peer) {
		for {
			if _, err := p.readLine(); err != nil {
				return
			}
			p.send(`{"offset":1}`)
		}
	})
}

// scriptedDiscovery sends each watch all published events, also those that are published later.
func scriptedDiscovery(t *testing.T) (addr string, publish func(events ...string)) {
	t.Helper()
	var mu sync.Mutex
	var published []string
	var watches []*peer
	addr = serveTCP(t, func(p *peer) {
		mu.Lock()
		p.send(published...)
		watches = append(watches, p)
		mu.Unlock()
		p.readToEnd()
	})
	return addr, func(events ...string) {
		mu.Lock()
		defer mu.Unlock()
		published = append(published, events...)
		for _, p := range watches {
			p.send(events...)
		}
	}
}
