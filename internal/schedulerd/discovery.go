package schedulerd

import (
	"fmt"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/scheduler"
)

// discoveryPeer stands for the machine list service in log lines.
const discoveryPeer = "machine list"

// discoveryClient is the connection to the machine list service. The scheduler decides when and how often it is asked.
type discoveryClient struct {
	*process
	decisions          *decisions
	machines           *machineRegistry
	conn               *eventloop.Conn // nil if there is none
	reader             protocol.Reader
	serviceIncarnation uint64 // of the service that sent the version
	version            int64
	lastReadAt         eventloop.Tick
	lastFrameAt        eventloop.Tick // 0: no frame has been received
	awaitingReply      bool           // a reply or updates are due, so that a closed connection is a failed update
}

// request sends a frame to the service, on a new connection if there is none.
func (d *discoveryClient) request(f protocol.Frame) {
	if d.conn == nil {
		d.reader, d.lastReadAt = protocol.Reader{}, d.loop.Now()
		d.conn = d.loop.Dial(d.config.MachineListAddr, d, d.config.MaxOutput, d.config.ConnectTimeout)
		d.send(d.hello())
	}
	d.awaitingReply = true
	d.send(f)
}

// lastVersion is that of the last update; 0: the next update must be the full list.
func (d *discoveryClient) lastVersion() int64 { return d.version }

// sinceLastFrame is how long ago the last frame of the service was received; false if none was.
func (d *discoveryClient) sinceLastFrame() (age eventloop.Tick, received bool) {
	return d.loop.Now() - d.lastFrameAt, d.lastFrameAt > 0
}

// watch subscribes to updates since the last version, or ends the subscription.
func (d *discoveryClient) watch(enabled bool) {
	d.request(&protocol.WatchMachineList{Enabled: enabled, SinceVersion: d.version})
}

func (d *discoveryClient) send(f protocol.Frame) {
	encoded, err := d.encode(f)
	if err == nil {
		err = d.conn.Write(encoded)
	}
	if err != nil {
		d.logConnectionClosed(discoveryPeer, err)
		d.conn.Reset()
	}
}

// Opened implements eventloop.Handler.
func (d *discoveryClient) Opened(*eventloop.Conn) {}

// Read implements eventloop.Handler.
func (d *discoveryClient) Read(conn *eventloop.Conn, p []byte) {
	d.lastReadAt = d.loop.Now()
	d.lastFrameAt = d.lastReadAt
	if err := d.reader.Feed(p, d.handleFrame); err != nil && conn == d.conn {
		d.logConnectionClosed(discoveryPeer, err)
		conn.Reset()
	}
}

// Closed implements eventloop.Handler.
func (d *discoveryClient) Closed(conn *eventloop.Conn, _ error) {
	if conn != d.conn {
		return
	}
	d.conn = nil
	if d.awaitingReply {
		d.awaitingReply = false
		d.updateFailed()
	}
}

func (d *discoveryClient) updateFailed() {
	d.decisions.notifyScheduler(scheduler.MachineListUpdate{Mode: scheduler.UpdateFailed})
}

func (d *discoveryClient) checkTimeouts(now eventloop.Tick) {
	if d.conn != nil && now-d.lastReadAt > d.config.SilenceTimeout {
		d.logConnectionClosed(discoveryPeer, after(errSilent, now-d.lastReadAt))
		d.conn.Reset()
	}
}

func (d *discoveryClient) handleFrame(f protocol.Frame) error {
	switch f := f.(type) {
	case *protocol.Hello:
		return d.handleHello(f)
	case *protocol.MachineListUpdate:
		return d.handleUpdate(f)
	case *protocol.MachineListError:
		d.log.Warn("machine list request failed", "error", f.Message)
		d.updateFailed()
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		return fmt.Errorf("%w: %s", errPeerGoodbye, f.Message)
	default:
		return fmt.Errorf("%w: %s", errUnexpectedFrame, protocol.Name(f))
	}
	return nil
}

// handleHello forgets the version if the service has restarted: updates since a version of an earlier incarnation mean
// nothing.
func (d *discoveryClient) handleHello(f *protocol.Hello) error {
	if f.Role != protocol.RoleMachineList {
		return fmt.Errorf("%w: %s instead of the machine list", errUnexpectedPeer, f.Role)
	}
	if f.Incarnation == d.serviceIncarnation {
		return nil
	}
	earlier := d.version
	d.serviceIncarnation, d.version = f.Incarnation, 0
	if earlier > 0 {
		return fmt.Errorf("%w: version %d is of its earlier incarnation", errListRestarted, earlier)
	}
	return nil
}

func (d *discoveryClient) handleUpdate(f *protocol.MachineListUpdate) error {
	if f.Version < d.version {
		return fmt.Errorf("%w: version %d after %d", errOldList, f.Version, d.version)
	}
	mode := scheduler.DeltaUpdate
	if f.FullSnapshot {
		mode = scheduler.FullSnapshot
	}
	d.version = f.Version
	d.machines.applyList(mode, f.Version, f.Entries)
	return nil
}
