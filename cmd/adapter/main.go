// Command adapter hosts placers on the simulator's wire: events on standard input, actions on standard output.
package main

import (
	"bytes"
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

// turn is one instance's part of a frame.
type turn struct {
	instance int
	placer   *scheduler.Scheduler
	events   []scheduler.Event
}

func run(in io.Reader, out io.Writer) error {
	dec := simprotocol.NewDecoder(in)
	placers := map[int]*scheduler.Scheduler{} // a stopped instance is taken out
	var reply bytes.Buffer
	for {
		frame, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		turns, err := sortOut(frame, placers)
		if err != nil {
			return err
		}
		reply.Reset()
		for _, t := range turns {
			if t.placer != nil {
				decide(&reply, frame.Now, t)
			}
		}
		fmt.Fprintf(&reply, "DONE %s\n", frame.Seq)
		if _, err := out.Write(reply.Bytes()); err != nil {
			return err
		}
	}
}

// sortOut gathers the events of a frame by instance, in the order in which instances first appear.
// What an instance was told before it was stopped is dropped with it.
func sortOut(frame *simprotocol.Frame, placers map[int]*scheduler.Scheduler) ([]*turn, error) {
	var turns []*turn
	at := map[int]*turn{}
	for _, d := range frame.Deliveries {
		t := at[d.Instance]
		if t == nil {
			t = &turn{instance: d.Instance, placer: placers[d.Instance]}
			at[d.Instance] = t
			turns = append(turns, t)
		}
		switch {
		case d.Start != nil:
			placers[d.Instance] = scheduler.New(*d.Start)
			t.placer, t.events = placers[d.Instance], nil
		case t.placer == nil:
			return nil, fmt.Errorf("line %d: instance %d is not known", d.Line, d.Instance)
		case d.Stop:
			delete(placers, d.Instance)
			t.placer, t.events = nil, nil
		default:
			t.events = append(t.events, d.Event)
		}
	}
	return turns, nil
}

func decide(reply *bytes.Buffer, now scheduler.Time, t *turn) {
	defer func() {
		if r := recover(); r != nil {
			simprotocol.AppendFault(reply, t.instance, fmt.Sprint(r))
		}
	}()
	for _, a := range t.placer.Handle(now, t.events) {
		simprotocol.AppendAction(reply, t.instance, a)
	}
}
