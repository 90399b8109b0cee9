package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"glenport/internal/protocol"

	"github.com/spf13/cobra"
)

// requestTimeout limits a connection and all requests on it, unless a command sets its own deadline.
const requestTimeout = 5 * time.Second

// addSchedulerFlag adds the flag for a scheduler's address to a command and its subcommands.
func addSchedulerFlag(c *cobra.Command, address *string) {
	c.PersistentFlags().StringVar(address, "scheduler", "127.0.0.1:7400", "the address at which the scheduler listens")
	addFormerFlag(c, "placer", "scheduler")
}

// schedulerConn is a client's connection to a scheduler.
type schedulerConn struct {
	net.Conn
	name string // of the scheduler
}

// notSchedulerError is returned if the peer at an address did not answer as a scheduler does.
type notSchedulerError struct {
	address string
	frame   protocol.Frame // the peer's answer; nil if there was none
	err     error          // nil if the answer is a frame
}

// Error implements error.
func (e *notSchedulerError) Error() string {
	if e.err != nil {
		return fmt.Sprintf("%s did not answer as a scheduler does: %v", e.address, e.err)
	}
	if hello, ok := e.frame.(*protocol.Hello); ok {
		return fmt.Sprintf("%s is not a scheduler, its role is %q", e.address, hello.Role)
	}
	return fmt.Sprintf("%s is not a scheduler, it answered with frame %s", e.address, protocol.Name(e.frame))
}

// Unwrap returns the error of the connection.
func (e *notSchedulerError) Unwrap() error { return e.err }

// dialScheduler connects to a scheduler and exchanges hellos.
func dialScheduler(ctx context.Context, address string) (*schedulerConn, error) {
	dialer := net.Dialer{Timeout: requestTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &schedulerConn{Conn: conn}
	if err := c.hello(address); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *schedulerConn) hello(address string) error {
	now := time.Now()
	if err := c.SetDeadline(now.Add(requestTimeout)); err != nil {
		return err
	}
	host, _ := os.Hostname() // without a host name, the process ID alone names the client
	name, incarnation := fmt.Sprintf("%s-%d", host, os.Getpid()), uint64(now.UnixMicro())
	if err := c.send(protocol.NewHello(protocol.RoleClient, name, incarnation)); err != nil {
		return err
	}
	frame, err := protocol.ReadFrame(c, protocol.MaxFrame)
	hello, ok := frame.(*protocol.Hello)
	if err != nil || !ok || hello.Role != protocol.RoleScheduler {
		return &notSchedulerError{address: address, frame: frame, err: err}
	}
	c.name = hello.Name
	return nil
}

// close closes the connection. It ignores the error, because all answers have been read.
func (c *schedulerConn) close() { _ = c.Close() }

func (c *schedulerConn) send(f protocol.Frame) error {
	p, err := protocol.Append(nil, f)
	if err != nil {
		return err
	}
	_, err = c.Write(p)
	return err
}

// request connects to a scheduler, sends a request and returns its reply, which must be of type R.
func request[R protocol.Frame](ctx context.Context, address string, f protocol.Frame) (R, error) {
	var none R
	c, err := dialScheduler(ctx, address)
	if err != nil {
		return none, err
	}
	defer c.close()
	if err := c.send(f); err != nil {
		return none, err
	}
	frame, err := protocol.ReadFrame(c, protocol.MaxFrame)
	if err != nil {
		return none, err
	}
	reply, ok := frame.(R)
	if !ok {
		return none, fmt.Errorf("scheduler %s answered with an unexpected frame: %s", c.name, protocol.Name(frame))
	}
	return reply, nil
}
