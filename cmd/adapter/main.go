// Command adapter hosts schedulers for the simulator: it reads events from standard input and writes actions to
// standard output, in the simulator's wire protocol.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"glenport/internal/simprotocol"
	"glenport/scheduler"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// instanceBatch holds the events of one frame for one scheduler instance.
type instanceBatch struct {
	instance  int
	scheduler *scheduler.Scheduler // nil once the instance is stopped
	events    []scheduler.Event
}

// unknownInstanceError reports a message for an instance that was not started, or was stopped.
type unknownInstanceError struct{ line, instance int }

func (e *unknownInstanceError) Error() string {
	return fmt.Sprintf("line %d: instance %d is not known", e.line, e.instance)
}

// run replies to each frame of the input, until the input ends.
func run(in io.Reader, out io.Writer) error {
	decoder := simprotocol.NewDecoder(in)
	schedulers := map[int]*scheduler.Scheduler{} // running instances
	var reply bytes.Buffer
	for {
		frame, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset()
		if err := appendReply(&reply, frame, schedulers); err != nil {
			return err
		}
		if _, err := out.Write(reply.Bytes()); err != nil {
			return err
		}
	}
}

// appendReply appends the actions of all instances in a frame, and the line that ends the reply.
func appendReply(reply *bytes.Buffer, frame *simprotocol.Frame, schedulers map[int]*scheduler.Scheduler) error {
	batches, err := groupByInstance(frame, schedulers)
	if err != nil {
		return err
	}
	for _, b := range batches {
		if b.scheduler != nil {
			appendDecisions(reply, frame.Now, b)
		}
	}
	fmt.Fprintf(reply, "DONE %s\n", frame.Seq)
	return nil
}

// groupByInstance groups the events of a frame by instance, in the order in which the instances first occur. It starts
// and stops instances. Events of an instance before its start or stop in the same frame are dropped.
func groupByInstance(frame *simprotocol.Frame, schedulers map[int]*scheduler.Scheduler) ([]*instanceBatch, error) {
	var batches []*instanceBatch
	byInstance := map[int]*instanceBatch{}
	for _, d := range frame.Deliveries {
		b := byInstance[d.Instance]
		if b == nil {
			b = &instanceBatch{instance: d.Instance, scheduler: schedulers[d.Instance]}
			byInstance[d.Instance] = b
			batches = append(batches, b)
		}
		switch {
		case d.Start != nil:
			b.scheduler = scheduler.New(*d.Start)
			b.events = nil
			schedulers[d.Instance] = b.scheduler
		case b.scheduler == nil:
			return nil, &unknownInstanceError{line: d.Line, instance: d.Instance}
		case d.Stop:
			b.scheduler = nil
			b.events = nil
			delete(schedulers, d.Instance)
		default:
			b.events = append(b.events, d.Event)
		}
	}
	return batches, nil
}

// appendDecisions lets one instance handle its events, and appends the actions. If the scheduler panics, a fault line
// for the instance is appended instead. Other instances are not affected.
func appendDecisions(reply *bytes.Buffer, now scheduler.Time, b *instanceBatch) {
	defer func() {
		if r := recover(); r != nil {
			simprotocol.AppendFault(reply, b.instance, fmt.Sprint(r))
		}
	}()
	for _, a := range b.scheduler.Handle(now, b.events) {
		simprotocol.AppendAction(reply, b.instance, a)
	}
}
