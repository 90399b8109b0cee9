package bgp

import (
	"fmt"
	"net"
	"sync"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
	"glenport/internal/testbed/process"
)

// The workload classes of the containers, by their index in the scheduler's settings.
const (
	idempotentClass = 0
	atMostOnceClass = 2
)

const (
	submitTimeout  = protocol.Duration(40000) // 4 s
	placementLimit = 6 * time.Second          // until a submission has its reply
)

// client submits containers to the scheduler and passes each reply to the submission that waits for it.
type client struct {
	connection net.Conn

	mu            sync.Mutex // guards the fields below
	replies       map[string]chan *protocol.PlacementReply
	lastContainer int
}

// connect connects to a scheduler as a client and reads replies.
func connect(address string) (*client, error) {
	connection, err := loopback.Dial(address, process.DialTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{connection: connection, replies: map[string]chan *protocol.PlacementReply{}}
	if err := c.send(protocol.NewHello(protocol.RoleClient, "trial", uint64(time.Now().UnixMicro()))); err != nil {
		c.close()
		return nil, err
	}
	go c.readReplies()
	return c, nil
}

func (c *client) close() { loopback.CloseQuietly(c.connection) }

// readReplies passes on replies until the connection ends.
func (c *client) readReplies() {
	for {
		reply, err := process.ReadUntil[*protocol.PlacementReply](c.connection)
		if err != nil {
			return
		}
		c.mu.Lock()
		waiting := c.replies[reply.ContainerID]
		delete(c.replies, reply.ContainerID)
		c.mu.Unlock()
		if waiting != nil {
			waiting <- reply
		}
	}
}

func (c *client) send(frame protocol.Frame) error { return process.WriteFrames(c.connection, frame) }

// expectReply returns the ID of a new container and the channel that receives its reply.
func (c *client) expectReply() (id string, reply chan *protocol.PlacementReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContainer++
	id, reply = fmt.Sprint("c", c.lastContainer), make(chan *protocol.PlacementReply, 1)
	c.replies[id] = reply
	return id, reply
}

// place starts a container of a service and waits until it is placed.
func (c *client) place(service int, runtime time.Duration) (id, machine string, err error) {
	return c.placeWorkload(service, idempotentClass, runtime)
}

// placeWorkload starts a container of a service and a workload class and waits until it is placed.
func (c *client) placeWorkload(service, class int, runtime time.Duration) (id, machine string, err error) {
	id, waiting := c.expectReply()
	if err := c.send(&protocol.Submit{TimeToDeadline: submitTimeout, Spec: protocol.ContainerSpec{
		ContainerID:     id,
		IdempotencyKey:  id,
		Service:         serviceName(service),
		WorkloadClass:   class,
		Cores:           0.1,
		Memory:          0.1,
		ExpectedRuntime: protocol.Duration(runtime / process.Tick),
	}}); err != nil {
		return id, "", err
	}
	select {
	case reply := <-waiting:
		if reply.Verdict != protocol.VerdictPlaced {
			return id, "", fmt.Errorf("%s was %s", id, reply.Verdict)
		}
		return id, reply.Machine, nil
	case <-time.After(placementLimit):
		return id, "", fmt.Errorf("no reply for %s in time", id)
	}
}
