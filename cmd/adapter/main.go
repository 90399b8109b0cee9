// Command adapter hosts schedulers on the simulator's wire: events on standard input, actions on standard output.
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

// instanceBatch is what a frame holds for one instance.
type instanceBatch struct {
	instance  int
	scheduler *scheduler.Scheduler // nil once it is stopped
	events    []scheduler.Event
}

// unknownInstanceError is an event for an instance that was not started, or was stopped.
type unknownInstanceError struct{ line, instance int }

func (e *unknownInstanceError) Error() string {
	return fmt.Sprintf("line %d: instance %d is not known", e.line, e.instance)
}

// run answers each frame of the input until its end.
func run(in io.Reader, out io.Writer) error {
	decoder := simprotocol.NewDecoder(in)
	schedulers := map[int]*scheduler.Scheduler{} // by instance, without those that were stopped
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

// appendReply appends the actions of all instances in a frame and the end of the reply.
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

// groupByInstance gathers the events of a frame by instance, in the order in which instances first appear. It starts
// and stops instances; events from before a stop are dropped with the instance.
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

// appendDecisions writes the actions of one instance. A panic of its decisions becomes a fault of that instance alone.
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
