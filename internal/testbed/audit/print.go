package audit

import (
	"fmt"
	"io"
	"reflect"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// PrintContainer writes the entries of a recording that concern one container: its frames, the ends of the connections
// over which it was offered, and the starts and kills of schedulers.
func PrintContainer(path, container string, out io.Writer) error {
	p := &containerPrinter{container: container, out: out, attempts: map[uint64]bool{}, connections: map[uint32]bool{}}
	var header faultproxy.Header
	return faultproxy.Read(path, &header, p.print)
}

// containerPrinter prints the entries of a recording that concern one container.
type containerPrinter struct {
	container   string
	out         io.Writer
	attempts    map[uint64]bool // attempt IDs of the container
	connections map[uint32]bool // connections over which the container was offered
}

func (p *containerPrinter) print(e *faultproxy.Entry) error {
	switch e.Kind {
	case faultproxy.Closed:
		if p.connections[e.ConnID] {
			return p.printEntry(e, "closed")
		}
	case faultproxy.Killed:
		return p.printScheduler(e, "killed")
	case faultproxy.Started:
		return p.printScheduler(e, "started")
	case faultproxy.Opened:
	default:
		return p.printFrame(e)
	}
	return nil
}

func (p *containerPrinter) printFrame(e *faultproxy.Entry) error {
	if len(e.Frame) == 0 {
		return nil
	}
	frame, err := e.Decoded()
	if err != nil || !p.concerns(e, frame) {
		return err
	}
	text := fmt.Sprintf("%s %+v", protocol.Name(frame), reflect.ValueOf(frame).Elem())
	if e.Kind == faultproxy.Lost {
		text += " LOST"
	}
	return p.printEntry(e, text)
}

// concerns reports whether a frame is about the container. It records the attempts of the container's offers, by which
// later frames are recognized.
func (p *containerPrinter) concerns(e *faultproxy.Entry, frame protocol.Frame) bool {
	switch f := frame.(type) {
	case *protocol.Offer:
		if f.Spec.ContainerID != p.container {
			return false
		}
		p.attempts[f.AttemptID], p.connections[e.ConnID] = true, true
		return true
	case *protocol.Submit:
		return f.Spec.ContainerID == p.container
	case *protocol.CancelContainer:
		return f.ContainerID == p.container
	case *protocol.PlacementReply:
		return f.ContainerID == p.container
	case *protocol.Termination:
		return f.ContainerID == p.container
	case *protocol.Accept:
		return p.attempts[f.AttemptID]
	case *protocol.Result:
		return p.attempts[f.AttemptID]
	case *protocol.CancelAttempt:
		return p.attempts[f.AttemptID]
	default:
		return false
	}
}

func (p *containerPrinter) printEntry(e *faultproxy.Entry, text string) error {
	if e.Lag > 0 {
		text += fmt.Sprintf(" (recorded late by %.1f ms at most)", milliseconds(scheduler.Time(e.Lag)))
	}
	_, err := fmt.Fprintf(p.out, "%9.1f ms  connection %d, %s and %s %s: %s\n",
		milliseconds(scheduler.Time(e.At)), e.ConnID, e.Scheduler, e.Peer, e.PeerName, text)
	return err
}

func (p *containerPrinter) printScheduler(e *faultproxy.Entry, text string) error {
	_, err := fmt.Fprintf(p.out, "%9.1f ms  %s %s\n", milliseconds(scheduler.Time(e.At)), e.Scheduler, text)
	return err
}
