package platform

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/failuredetector"
	"glenport/internal/platform/jsonlines"
	"glenport/scheduler"
)

const (
	clientOutputLimit = 256 << 10
	maxWaitMillis     = 600_000 // ms that an owner may wait
)

// clientConn is one connection from owners.
type clientConn struct {
	server *Server
	id     connmanager.ClientID
	conn   *eventloop.Conn
	lines  jsonlines.LineSplitter
}

func (s *Server) accept() (eventloop.Handler, int) {
	s.lastClientID++
	return &clientConn{server: s, id: s.lastClientID, lines: jsonlines.LineSplitter{MaxBytes: jsonlines.MaxLineBytes}}, clientOutputLimit
}

func (cc *clientConn) Opened(conn *eventloop.Conn) {
	cc.conn = conn
	cc.server.clients[cc.id] = cc
	cc.server.notifyConnManager(connmanager.ClientConnected{Client: cc.id})
}

func (cc *clientConn) Read(_ *eventloop.Conn, b []byte) {
	if err := cc.lines.Feed(b, cc.handleLine); err != nil {
		cc.server.log.Debug("caller let go", "caller", cc.id, "why", err)
		cc.conn.Close()
		return
	}
	cc.server.notifyConnManager(connmanager.BytesReceived{Client: cc.id, Partial: cc.lines.Buffered() > 0})
}

// Closed ends what was under way for a caller; what stands belongs to no connection.
func (cc *clientConn) Closed(*eventloop.Conn, error) {
	s := cc.server
	delete(s.clients, cc.id)
	s.notifyConnManager(connmanager.ClientDisconnected{Client: cc.id})
	var left []*container
	for _, c := range s.containers {
		if c.client == cc {
			left = append(left, c)
		}
	}
	slices.SortFunc(left, func(a, b *container) int { return strings.Compare(string(a.request.ID), string(b.request.ID)) })
	for _, c := range left {
		if !c.answered {
			s.cancelRequest(c)
		}
		c.client = nil
	}
}

func (cc *clientConn) send(msg *jsonlines.Message) {
	if cc.conn == nil || !cc.conn.IsOpen() {
		return
	}
	line, err := cc.server.encode(msg)
	if err != nil {
		cc.server.log.Error("message not sent", "caller", cc.id, "why", err)
		return
	}
	cc.server.traceMessage("to owner", fmt.Sprint(cc.id), msg)
	if err := cc.conn.Write(line); err != nil {
		cc.conn.Reset()
	}
}

func (cc *clientConn) handleLine(line []byte) error {
	msg, err := jsonlines.Decode(line)
	if err != nil {
		return err
	}
	s := cc.server
	s.traceMessage("of owner", fmt.Sprint(cc.id), msg)
	switch msg.Op {
	case jsonlines.OpOffer:
		return cc.handleOffer(msg)
	case jsonlines.OpEnd:
		if c := s.containers[scheduler.ContainerID(msg.RequestID)]; c != nil {
			switch {
			case !c.answered && c.client == cc:
				s.cancelRequest(c)
			case c.attempt != nil && c.attempt.running:
				s.terminateRunning(c, msg.CauseOrNone())
			}
		}
	case jsonlines.OpEnded:
		s.notifyConnManager(connmanager.TerminationAcknowledged{RequestID: msg.RequestID, Client: cc.id})
	case jsonlines.OpTest:
		passed := jsonlines.CauseTestPassed
		if s.shuttingDown {
			passed = jsonlines.CauseTestFailed
		}
		cc.send(&jsonlines.Message{Op: jsonlines.OpTested, RequestID: msg.RequestID, Cause: jsonlines.CausePtr(passed)})
		s.notifyConnManager(connmanager.MessageSent{Client: cc.id})
	}
	return nil
}

// handleOffer takes in a set-up: a container to be placed, or one that stands already.
func (cc *clientConn) handleOffer(msg *jsonlines.Message) error {
	s := cc.server
	request, at, err := s.config.decodePlacementRequest(msg, s.loop.Now())
	if c := s.containers[request.ID]; err == nil && at == "" && c != nil {
		if !c.answered && c.client == cc { // which of the two an answer would be for nobody could tell
			return errors.New("a call is used for two set-ups at once")
		}
		err = errors.New("call: it is open already")
	}
	if err != nil {
		s.log.Debug("set-up turned away", "caller", cc.id, "call", msg.RequestID, "why", err)
		if at == "" {
			cc.send(&jsonlines.Message{Op: jsonlines.OpEnd, RequestID: msg.RequestID, Cause: jsonlines.CausePtr(jsonlines.CauseInvalidContents)})
			s.notifyConnManager(connmanager.MessageSent{Client: cc.id})
			s.notifyConnManager(connmanager.InvalidMessageReceived{Client: cc.id})
		}
		return nil
	}
	if at != "" {
		s.notifyConnManager(connmanager.ContainerReclaimed{Client: cc.id})
		s.adopt(cc, request, at)
		return nil
	}
	c := &container{request: request, className: msg.Fields["class"], idempotencyKey: msg.Fields["idem"], description: slices.Clone(msg.Description), client: cc}
	s.containers[request.ID] = c
	s.unanswered++
	s.notifyConnManager(connmanager.PlacementRequested{Client: cc.id})
	s.notifyScheduler(scheduler.RequestReceived{PlacementRequest: request})
	return nil
}

// adopt counts a container that stands at a machine, unless it is known to.
func (s *Server) adopt(cc *clientConn, request scheduler.PlacementRequest, at scheduler.MachineID) {
	if s.containers[request.ID] != nil {
		return
	}
	m := s.machineByID(at)
	for _, a := range m.attempts {
		if a.container.request.IdempotencyKey == request.IdempotencyKey && a.running {
			return
		}
	}
	c := &container{request: request, client: cc, answered: true, attemptsMade: 1}
	c.attempt = &attempt{container: c, machine: m, running: true, sent: true, createdAt: s.loop.Now()}
	s.containers[request.ID] = c
	m.attempts[request.ID] = c.attempt
	m.addRunning(1)
	s.notifyScheduler(scheduler.ContainerAdopted{PlacementRequest: request, Machine: at})
	if m.entry.Machine != "" && m.state == scheduler.MachineGone {
		// It was heard to be gone before it was named. So nothing ever stands at a machine that is gone, at whose address its
		// successor may be: that one's signs of life would be taken for the other's.
		m.failRunning(s.loop.Now())
		return
	}
	s.notifyFailureDetector(failuredetector.ContainerReclaimed{Machine: string(at), RequestID: string(request.ID)})
}

// decodePlacementRequest reads a set-up; at is the machine that holds the container already.
func (config *Config) decodePlacementRequest(msg *jsonlines.Message, now eventloop.Tick) (request scheduler.PlacementRequest, at scheduler.MachineID, err error) {
	extras := map[string]string{}
	if x := msg.Fields["extras"]; x != "" {
		for _, f := range strings.Split(x, ";") {
			name, v, ok := strings.Cut(f, ":")
			if !ok {
				return request, at, fmt.Errorf("extras: %q has no value", f)
			}
			extras[name] = v
		}
	}
	at = scheduler.MachineID(extras["at"])
	request = scheduler.PlacementRequest{ID: scheduler.ContainerID(msg.RequestID), IdempotencyKey: msg.Fields["key"], Service: extras["service"],
		WorkloadClass: slices.Index(config.workloadClasses, msg.Fields["class"]), ClientRetry: msg.Fields["retry"] == "1" || extras["again"] == "1"}
	if request.WorkloadClass < 0 {
		return request, at, fmt.Errorf("class: %q is not known", msg.Fields["class"])
	}
	if name := msg.Fields["tenant"]; name != "" {
		if request.Tenant = slices.Index(config.tenants, name); request.Tenant < 0 {
			return request, at, fmt.Errorf("tenant: %q is not known", name)
		}
	}
	if request.IdempotencyKey == "" || request.Service == "" {
		return request, at, errors.New("key or extras service is missing")
	}
	var left float64
	longest := float64(maxWaitMillis)
	if at != "" {
		longest = math.MaxInt32 * 1000 // what stands has no hard stop, but what is no time at all is turned away
	}
	for _, f := range []struct {
		name, text string
		to         *float64
		least      float64
		most       float64
	}{
		{"extras cores", extras["cores"], &request.Cores, 0, 1e6},
		{"extras memory", extras["memory"], &request.Memory, 0, 1e9},
		{"left", msg.Fields["left"], &left, 0, longest},
	} {
		if at != "" && f.text == "" {
			continue
		}
		v, err := strconv.ParseFloat(f.text, 64)
		if err != nil || math.IsNaN(v) || v < f.least || v > f.most {
			return request, at, fmt.Errorf("%s: %q is no number from %g to %g", f.name, f.text, f.least, f.most)
		}
		*f.to = v
	}
	request.Deadline = scheduler.Time(now) + scheduler.Time(left*float64(scheduler.Millisecond))
	return request, at, nil
}
