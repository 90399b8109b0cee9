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
	outputOfCaller = 256 << 10
	longestWait    = 600_000 // ms that an owner may wait
)

// caller is one connection from owners.
type caller struct {
	p      *Platform
	number connmanager.ClientID
	conn   *eventloop.Conn
	lines  jsonlines.LineSplitter
}

func (p *Platform) accept() (eventloop.Handler, int) {
	p.lastCaller++
	return &caller{p: p, number: p.lastCaller, lines: jsonlines.LineSplitter{MaxBytes: jsonlines.MaxLineBytes}}, outputOfCaller
}

func (k *caller) Opened(c *eventloop.Conn) {
	k.conn = c
	k.p.callers[k.number] = k
	k.p.tell(connmanager.ClientConnected{Client: k.number})
}

func (k *caller) Read(_ *eventloop.Conn, b []byte) {
	if err := k.lines.Feed(b, k.line); err != nil {
		k.p.log.Debug("caller let go", "caller", k.number, "why", err)
		k.conn.Close()
		return
	}
	k.p.tell(connmanager.BytesReceived{Client: k.number, Partial: k.lines.Buffered() > 0})
}

// Closed ends what was under way for a caller; what stands belongs to no connection.
func (k *caller) Closed(*eventloop.Conn, error) {
	p := k.p
	delete(p.callers, k.number)
	p.tell(connmanager.ClientDisconnected{Client: k.number})
	var left []*container
	for _, c := range p.containers {
		if c.caller == k {
			left = append(left, c)
		}
	}
	slices.SortFunc(left, func(a, b *container) int { return strings.Compare(string(a.ask.ID), string(b.ask.ID)) })
	for _, c := range left {
		if !c.answered {
			p.vanish(c)
		}
		c.caller = nil
	}
}

func (k *caller) write(m *jsonlines.Message) {
	if k.conn == nil || !k.conn.IsOpen() {
		return
	}
	line, err := k.p.line(m)
	if err != nil {
		k.p.log.Error("message not sent", "caller", k.number, "why", err)
		return
	}
	k.p.show("to owner", fmt.Sprint(k.number), m)
	if err := k.conn.Write(line); err != nil {
		k.conn.Reset()
	}
}

func (k *caller) line(line []byte) error {
	m, err := jsonlines.Decode(line)
	if err != nil {
		return err
	}
	p := k.p
	p.show("of owner", fmt.Sprint(k.number), m)
	switch m.Op {
	case jsonlines.OpOffer:
		return k.asked(m)
	case jsonlines.OpEnd:
		if c := p.containers[scheduler.ContainerID(m.RequestID)]; c != nil {
			switch {
			case !c.answered && c.caller == k:
				p.vanish(c)
			case c.bid != nil && c.bid.stands:
				p.endStanding(c, m.CauseOrNone())
			}
		}
	case jsonlines.OpEnded:
		p.tell(connmanager.TerminationAcknowledged{RequestID: m.RequestID, Client: k.number})
	case jsonlines.OpTest:
		passed := jsonlines.CauseTestPassed
		if p.leaving {
			passed = jsonlines.CauseTestFailed
		}
		k.write(&jsonlines.Message{Op: jsonlines.OpTested, RequestID: m.RequestID, Cause: jsonlines.CausePtr(passed)})
		p.tell(connmanager.MessageSent{Client: k.number})
	}
	return nil
}

// asked takes in a set-up: a container to be placed, or one that stands already.
func (k *caller) asked(m *jsonlines.Message) error {
	p := k.p
	ask, at, err := p.d.readAsk(m, p.loop.Now())
	if c := p.containers[ask.ID]; err == nil && at == "" && c != nil {
		if !c.answered && c.caller == k { // which of the two an answer would be for nobody could tell
			return errors.New("a call is used for two set-ups at once")
		}
		err = errors.New("call: it is open already")
	}
	if err != nil {
		p.log.Debug("set-up turned away", "caller", k.number, "call", m.RequestID, "why", err)
		if at == "" {
			k.write(&jsonlines.Message{Op: jsonlines.OpEnd, RequestID: m.RequestID, Cause: jsonlines.CausePtr(jsonlines.CauseInvalidContents)})
			p.tell(connmanager.MessageSent{Client: k.number})
			p.tell(connmanager.InvalidMessageReceived{Client: k.number})
		}
		return nil
	}
	if at != "" {
		p.tell(connmanager.ContainerReclaimed{Client: k.number})
		p.takeOver(k, ask, at)
		return nil
	}
	c := &container{ask: ask, class: m.Fields["class"], idem: m.Fields["idem"], desc: slices.Clone(m.Description), caller: k}
	p.containers[ask.ID] = c
	p.unanswered++
	p.tell(connmanager.PlacementRequested{Client: k.number})
	p.feed(scheduler.RequestReceived{PlacementRequest: ask})
	return nil
}

// takeOver counts a container that stands at a machine, unless it is known to.
func (p *Platform) takeOver(k *caller, ask scheduler.PlacementRequest, at scheduler.MachineID) {
	if p.containers[ask.ID] != nil {
		return
	}
	m := p.machine(at)
	for _, b := range m.bids {
		if b.c.ask.IdempotencyKey == ask.IdempotencyKey && b.stands {
			return
		}
	}
	c := &container{ask: ask, caller: k, answered: true, bids: 1}
	c.bid = &bid{c: c, at: m, stands: true, sent: true, sentAt: p.loop.Now()}
	p.containers[ask.ID] = c
	m.bids[ask.ID] = c.bid
	m.stand(1)
	p.feed(scheduler.ContainerAdopted{PlacementRequest: ask, Machine: at})
	if m.entry.Machine != "" && m.state == scheduler.MachineGone {
		// It was heard to be gone before it was named. So nothing ever stands at a machine that is gone, at whose address its
		// successor may be: that one's signs of life would be taken for the other's.
		m.lose(p.loop.Now())
		return
	}
	p.notice(failuredetector.ContainerReclaimed{Machine: string(at), RequestID: string(ask.ID)})
}

// readAsk reads a set-up; at is the machine that holds the container already.
func (d *Deployment) readAsk(m *jsonlines.Message, now eventloop.Tick) (ask scheduler.PlacementRequest, at scheduler.MachineID, err error) {
	extras := map[string]string{}
	if x := m.Fields["extras"]; x != "" {
		for _, f := range strings.Split(x, ";") {
			name, v, ok := strings.Cut(f, ":")
			if !ok {
				return ask, at, fmt.Errorf("extras: %q has no value", f)
			}
			extras[name] = v
		}
	}
	at = scheduler.MachineID(extras["at"])
	ask = scheduler.PlacementRequest{ID: scheduler.ContainerID(m.RequestID), IdempotencyKey: m.Fields["key"], Service: extras["service"],
		WorkloadClass: slices.Index(d.workloads, m.Fields["class"]), ClientRetry: m.Fields["retry"] == "1" || extras["again"] == "1"}
	if ask.WorkloadClass < 0 {
		return ask, at, fmt.Errorf("class: %q is not known", m.Fields["class"])
	}
	if name := m.Fields["tenant"]; name != "" {
		if ask.Tenant = slices.Index(d.customers, name); ask.Tenant < 0 {
			return ask, at, fmt.Errorf("tenant: %q is not known", name)
		}
	}
	if ask.IdempotencyKey == "" || ask.Service == "" {
		return ask, at, errors.New("key or extras service is missing")
	}
	var left float64
	longest := float64(longestWait)
	if at != "" {
		longest = math.MaxInt32 * 1000 // what stands has no hard stop, but what is no time at all is turned away
	}
	for _, f := range []struct {
		name, text string
		to         *float64
		least      float64
		most       float64
	}{
		{"extras cores", extras["cores"], &ask.Cores, 0, 1e6},
		{"extras memory", extras["memory"], &ask.Memory, 0, 1e9},
		{"left", m.Fields["left"], &left, 0, longest},
	} {
		if at != "" && f.text == "" {
			continue
		}
		v, err := strconv.ParseFloat(f.text, 64)
		if err != nil || math.IsNaN(v) || v < f.least || v > f.most {
			return ask, at, fmt.Errorf("%s: %q is no number from %g to %g", f.name, f.text, f.least, f.most)
		}
		*f.to = v
	}
	ask.Deadline = scheduler.Time(now) + scheduler.Time(left*float64(scheduler.Millisecond))
	return ask, at, nil
}
