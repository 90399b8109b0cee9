package server

import (
	"fmt"

	"glenport/internal/controller"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

const schedulerRedialDelay = 200 * eventloop.Millisecond

// schedulerConn is the connection to one scheduler. It reconnects after a connection is lost.
type schedulerConn struct {
	server    *Server
	number    int
	address   string
	name      string          // from the scheduler's last hello
	conn      *eventloop.Conn // nil after a loss until the next dial
	reader    protocol.Reader
	connected bool // the scheduler's hello has been received
}

// schedulerPool holds the connections to all schedulers, indexed by their numbers in the controller's events and
// actions.
type schedulerPool []*schedulerConn

// connected returns the connection to the preferred scheduler if it is connected, else to any connected scheduler, or
// nil if none is.
func (p schedulerPool) connected(preferred int) *schedulerConn {
	if preferred >= 0 && preferred < len(p) && p[preferred].connected {
		return p[preferred]
	}
	for _, c := range p {
		if c.connected {
			return c
		}
	}
	return nil
}

// numbers returns the numbers of the schedulers by address.
func (p schedulerPool) numbers() map[string]int {
	numbers := map[string]int{}
	for _, c := range p {
		numbers[c.address] = c.number
	}
	return numbers
}

func (c *schedulerConn) dial() {
	c.reader = protocol.Reader{}
	c.conn = c.server.loop.Dial(c.address, c, maxOutput, dialTimeout)
}

// write sends a frame. If that fails, it resets the connection, so that the controller learns that the frame is lost.
func (c *schedulerConn) write(f protocol.Frame) {
	encoded, err := protocol.Append(nil, f)
	if err == nil && c.conn != nil {
		err = c.conn.Write(encoded)
	}
	if err != nil {
		c.server.log.Warn("frame not sent", "address", c.address, "error", err)
		if c.conn != nil {
			c.conn.Reset()
		}
	}
}

// Opened implements eventloop.Handler.
func (c *schedulerConn) Opened(*eventloop.Conn) {
	c.write(protocol.NewHello(protocol.RoleClient, c.server.config.Name, uint64(c.server.loop.Now())))
}

// Read implements eventloop.Handler.
func (c *schedulerConn) Read(conn *eventloop.Conn, data []byte) {
	if err := c.reader.Feed(data, c.handleFrame); err != nil {
		c.server.log.Warn("connection closed", "peer", "scheduler", "address", c.address, "error", err)
		conn.Reset()
	}
}

// Closed implements eventloop.Handler.
func (c *schedulerConn) Closed(_ *eventloop.Conn, cause error) {
	c.conn = nil
	if c.connected {
		c.connected = false
		c.server.log.Warn("scheduler disconnected", "scheduler", c.name, "address", c.address, "error", cause)
		c.server.addEvent(controller.SchedulerConnection{Scheduler: c.number, Connected: false})
	}
	c.server.loop.After(schedulerRedialDelay, c.dial)
}

func (c *schedulerConn) handleFrame(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		return c.handleHello(f)
	case *protocol.PlacementReply:
		c.server.addEvent(controller.PlacementAnswered{
			RequestID: f.ContainerID, Verdict: verdictOf(f.Verdict), Machine: f.Machine,
			RetryAfter: scheduler.Time(f.RetryAfter), Message: f.Message,
		})
	case *protocol.Termination:
		c.server.addEvent(controller.ContainerEnded{
			RequestID: f.ContainerID, Outcome: f.Outcome.SchedulerOutcome(),
			Reason: scheduler.Reason(f.Reason),
		})
	case *protocol.ExplainReply:
		c.server.explainer.finish(f.Seq, f)
	case *protocol.Heartbeat: // ignored: the connection has its own timeouts
	case *protocol.Goodbye:
		return fmt.Errorf("peer said goodbye: %s", f.Message)
	default:
		return fmt.Errorf("unexpected frame: %s", protocol.Name(f))
	}
	return nil
}

func (c *schedulerConn) handleHello(hello *protocol.Hello) error {
	if hello.Role != protocol.RoleScheduler {
		return fmt.Errorf("unexpected peer: a %s at a scheduler's address", hello.Role)
	}
	c.name, c.connected = hello.Name, true
	c.server.log.Info("scheduler connected", "scheduler", c.name, "address", c.address)
	c.server.addEvent(controller.SchedulerConnection{Scheduler: c.number, Connected: true})
	return nil
}

func verdictOf(v protocol.Verdict) controller.Verdict {
	switch v {
	case protocol.VerdictPlaced:
		return controller.VerdictAccepted
	case protocol.VerdictRejected:
		return controller.VerdictRejected
	case protocol.VerdictNotAdmitted:
		return controller.VerdictRefused
	default: // including verdicts of later protocol versions: the container may run
		return controller.VerdictFailed
	}
}
