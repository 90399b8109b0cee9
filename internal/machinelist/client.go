// Package machinelist is the client of the machine list service, used by the scheduler and the controller. It keeps one
// connection, detects a service that is silent, has restarted or returns to an older list, and passes updates to a
// receiver. The receiver decides when to send requests to the service.
//
// A client belongs to one event loop. All its methods must be called on that loop.
package machinelist

import (
	"errors"
	"fmt"
	"log/slog"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
)

// peerName is the name of the service in log lines.
const peerName = "machine list"

// Errors on which the connection to the service is closed.
var (
	errOldList         = errors.New("machine list is older than the last one")
	errPeerGoodbye     = errors.New("peer said goodbye")
	errRestarted       = errors.New("machine list service has restarted, a full list is needed")
	errSilent          = errors.New("no data received")
	errUnexpectedFrame = errors.New("unexpected frame")
	errUnexpectedPeer  = errors.New("unexpected peer")
)

// Receiver receives the updates from the service.
type Receiver interface {
	// ListUpdated is called with each update: a full snapshot, or the changes since the last update.
	ListUpdated(update *protocol.MachineListUpdate)
	// ListUpdateFailed is called when the service rejects a request, and when the connection ends after a request. No
	// further update arrives until the next request.
	ListUpdateFailed()
}

// Options configure a Client.
type Options struct {
	Address        string
	Hello          *protocol.Hello // the first frame on each connection
	MaxOutput      int             // maximum number of bytes that wait to be written
	ConnectTimeout eventloop.Tick
	SilenceTimeout eventloop.Tick // time without a byte from the service after which the connection is reset
}

// Client is a client of the machine list service. It connects on the first request, and again on the first request
// after the connection was lost.
type Client struct {
	loop               *eventloop.Loop
	options            Options
	receiver           Receiver
	log                *slog.Logger
	conn               *eventloop.Conn // nil if not connected
	reader             protocol.Reader
	serviceIncarnation uint64 // incarnation of the service that sent version
	version            int64  // version of the last update; 0: a full list is needed
	lastReadAt         eventloop.Tick
	lastFrameAt        eventloop.Tick // 0: no data has been received
	awaitingReply      bool           // a reply or updates are expected; if the connection closes, the receiver is told
}

// NewClient returns a client that is not connected.
func NewClient(loop *eventloop.Loop, options Options, receiver Receiver, log *slog.Logger) *Client {
	return &Client{loop: loop, options: options, receiver: receiver, log: log}
}

// Watch subscribes to the updates after the last version. If enabled is false, it cancels the subscription.
func (c *Client) Watch(enabled bool) {
	c.request(&protocol.WatchMachineList{Enabled: enabled, SinceVersion: c.version})
}

// Fetch requests the full list once.
func (c *Client) Fetch() { c.request(&protocol.FetchMachineList{}) }

// LastVersion returns the version of the last update. If it is 0, the next update must be a full list.
func (c *Client) LastVersion() int64 { return c.version }

// SinceLastFrame returns the time since data from the service was last received, and whether any was received at all.
func (c *Client) SinceLastFrame() (age eventloop.Tick, received bool) {
	return c.loop.Now() - c.lastFrameAt, c.lastFrameAt > 0
}

// Conn returns the present connection, or nil if there is none.
func (c *Client) Conn() *eventloop.Conn { return c.conn }

// CheckTimeouts resets the connection if the service has been silent for longer than SilenceTimeout.
func (c *Client) CheckTimeouts(now eventloop.Tick) {
	silence := now - c.lastReadAt
	if c.conn != nil && silence > c.options.SilenceTimeout {
		c.logClosed(fmt.Errorf("%w for %d ms", errSilent, silence/eventloop.Millisecond))
		c.conn.Reset()
	}
}

// request sends a frame to the service, and connects first if there is no connection.
func (c *Client) request(f protocol.Frame) {
	if c.conn == nil {
		c.reader, c.lastReadAt = protocol.Reader{}, c.loop.Now()
		c.conn = c.loop.Dial(c.options.Address, c, c.options.MaxOutput, c.options.ConnectTimeout)
		c.send(c.options.Hello)
	}
	c.awaitingReply = true
	c.send(f)
}

func (c *Client) send(f protocol.Frame) {
	encoded, err := protocol.Append(nil, f)
	if err == nil {
		err = c.conn.Write(encoded)
	}
	if err != nil {
		c.logClosed(err)
		c.conn.Reset()
	}
}

func (c *Client) logClosed(cause error) {
	c.log.Warn("connection closed", "peer", peerName, "error", cause)
}

// Opened implements eventloop.Handler.
func (c *Client) Opened(*eventloop.Conn) {}

// Read implements eventloop.Handler.
func (c *Client) Read(conn *eventloop.Conn, p []byte) {
	c.lastReadAt = c.loop.Now()
	c.lastFrameAt = c.lastReadAt
	if err := c.reader.Feed(p, c.handleFrame); err != nil && conn == c.conn {
		c.logClosed(err)
		conn.Reset()
	}
}

// Closed implements eventloop.Handler.
func (c *Client) Closed(conn *eventloop.Conn, _ error) {
	if conn != c.conn {
		return
	}
	c.conn = nil
	if c.awaitingReply {
		c.awaitingReply = false
		c.receiver.ListUpdateFailed()
	}
}

func (c *Client) handleFrame(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		return c.handleHello(f)
	case *protocol.MachineListUpdate:
		return c.handleUpdate(f)
	case *protocol.MachineListError:
		c.log.Warn("machine list request failed", "error", f.Message)
		c.receiver.ListUpdateFailed()
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return fmt.Errorf("%w: %s", errPeerGoodbye, f.Message)
	default:
		return fmt.Errorf("%w: %s", errUnexpectedFrame, protocol.Name(f))
	}
	return nil
}

// handleHello resets the version if the service has restarted, because updates cannot continue from a version of an
// earlier incarnation.
func (c *Client) handleHello(f *protocol.Hello) error {
	if f.Role != protocol.RoleMachineList {
		return fmt.Errorf("%w: %s instead of the machine list", errUnexpectedPeer, f.Role)
	}
	if f.Incarnation == c.serviceIncarnation {
		return nil
	}
	earlier := c.version
	c.serviceIncarnation, c.version = f.Incarnation, 0
	if earlier > 0 {
		return fmt.Errorf("%w: version %d is of its earlier incarnation", errRestarted, earlier)
	}
	return nil
}

func (c *Client) handleUpdate(f *protocol.MachineListUpdate) error {
	if f.Version < c.version {
		return fmt.Errorf("%w: version %d after %d", errOldList, f.Version, c.version)
	}
	c.version = f.Version
	c.receiver.ListUpdated(f)
	return nil
}
