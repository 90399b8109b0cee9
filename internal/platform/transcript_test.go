package platform

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"glenport/internal/golden"
	"glenport/internal/testutil"
)

const goldenFile = "testdata/conversation.golden"

// leftField is the only part of a line that depends on the clock: the milliseconds until the attempt's deadline.
var leftField = regexp.MustCompile(`"left":"([0-9]+)"`)

// transcript records each line that the process under test writes, after its step and receiver, in the order in which
// the scripted conversation reads the lines.
type transcript struct {
	*testing.T
	step  string
	lines []string
}

// begin names the step to which the following lines belong.
func (s *transcript) begin(step string) { s.step = step }

// record adds one line as it was read, including its end. The time left in an offer is checked against its maximum, and
// then replaced.
func (s *transcript) record(receiver string, line []byte, maxLeft int) {
	s.Helper()
	testutil.Require(s, strings.HasSuffix(string(line), "\n"),
		"%s: %s received %q, which is not a complete line", s.step, receiver, line)
	if m := leftField.FindSubmatch(line); m != nil {
		left, err := strconv.Atoi(string(m[1]))
		testutil.Expect(s, err == nil && left <= maxLeft && left >= maxLeft-int(testTimeout/time.Millisecond),
			"%s: %q milliseconds are left, at most %d can be", s.step, m[1], maxLeft)
		line = leftField.ReplaceAll(line, []byte(`"left":"LEFT"`))
	}
	s.lines = append(s.lines, fmt.Sprintf("%s | %s | %s", s.step, receiver, line))
}

// compare checks the whole transcript against the golden file.
func (s *transcript) compare() {
	s.Helper()
	golden.CheckText(s, goldenFile, strings.Join(s.lines, ""))
}

// goldenClient is a client's connection whose received lines are recorded.
type goldenClient struct {
	*peer
	name string
	s    *transcript
}

func (s *transcript) client(r *testServer, name string) *goldenClient {
	return &goldenClient{r.dialClient(), name, s}
}

// recordLine records the next line.
func (c *goldenClient) recordLine() {
	c.s.Helper()
	line, err := c.r.ReadBytes('\n')
	testutil.Require(c.s, err == nil, "%s: %s received %q, %v", c.s.step, c.name, line, err)
	c.s.record(c.name, line, 0)
}

// expectEOF checks that the connection is closed and nothing more was written.
func (c *goldenClient) expectEOF() {
	c.s.Helper()
	if line, err := c.r.ReadBytes('\n'); !errors.Is(err, io.EOF) || len(line) > 0 {
		c.s.Errorf("%s: %s received %q, %v, want the end", c.s.step, c.name, line, err)
	}
}

// test sends a liveness test and records its answer. Any line that was written before the answer is recorded instead.
func (c *goldenClient) test() {
	c.s.Helper()
	c.send(`{"op":"test","call":"00000000000000ff","with":{},"why":1}`)
	c.recordLine()
}

func (c *goldenClient) end(call, why string) {
	c.send(`{"op":"end","call":"` + call + `","with":{}` + why + `}`)
}

// goldenServer is a machine or the discovery service. It receives the lines of all its connections.
type goldenServer struct {
	name, addr string
	s          *transcript
	conns      chan *peer
	received   chan receivedLine
	open       atomic.Int32
}

type receivedLine struct {
	conn *peer
	line []byte
}

func (s *transcript) server(name string) *goldenServer {
	g := &goldenServer{name: name, s: s, conns: make(chan *peer, 100), received: make(chan receivedLine, 100)}
	g.addr = serveTCP(s.T, func(p *peer) {
		g.open.Add(1)
		defer g.open.Add(-1)
		g.conns <- p
		for {
			line, err := p.r.ReadBytes('\n')
			if len(line) > 0 {
				g.received <- receivedLine{p, line}
			}
			if err != nil {
				return
			}
		}
	})
	return g
}

// recordLine records the next line and returns the connection on which it came. If it is an offer, at most maxLeft
// milliseconds are left.
func (g *goldenServer) recordLine(maxLeft int) *peer {
	g.s.Helper()
	select {
	case r := <-g.received:
		g.s.record(g.name, r.line, maxLeft)
		return r.conn
	case <-time.After(testTimeout):
		g.s.Fatalf("%s: %s received nothing", g.s.step, g.name)
		return nil
	}
}

// connected returns the next connection that it has not returned yet.
func (g *goldenServer) connected() *peer {
	g.s.Helper()
	select {
	case p := <-g.conns:
		return p
	case <-time.After(testTimeout):
		g.s.Fatalf("%s: nobody connects to %s", g.s.step, g.name)
		return nil
	}
}

// skipConns makes connected return only connections from now on.
func (g *goldenServer) skipConns() {
	for len(g.conns) > 0 {
		<-g.conns
	}
}

// expectNoMore checks, once all connections have ended, that every written line was recorded.
func (g *goldenServer) expectNoMore() {
	g.s.Helper()
	for deadline := time.Now().Add(testTimeout); g.open.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			g.s.Fatalf("%s: %d connections to %s are still open", g.s.step, g.open.Load(), g.name)
		}
	}
	for len(g.received) > 0 {
		g.s.Errorf("%s received more: %q", g.name, (<-g.received).line)
	}
}

// sendAccept accepts an offer, as a machine does.
func (p *peer) sendAccept(call string) {
	p.send(`{"op":"accept","call":"` + call + `","with":{},"desc":"v=0\r\nmade\u0020at <a> \u00e9\/"}`)
}

func (p *peer) sendEnd(call string, why int, with string) {
	p.send(fmt.Sprintf(`{"op":"end","call":"%s","with":{%s},"why":%d}`, call, with, why))
}
