package schedulerd

import (
	"fmt"
	"sort"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

func sortBids(all []*bid) {
	sort.Slice(all, func(i, j int) bool { return all[i].number < all[j].number })
}

// owner is a caller at the door: an owner of containers, or another placer with a message.
type owner struct {
	h       *Host
	caller  reconcile.Caller
	conn    *eventloop.Conn
	reader  protocol.Reader
	name    string
	role    protocol.Role
	came    eventloop.Tick
	halfAt  eventloop.Tick
	dropped bool
}

func (h *Host) accept() (eventloop.Handler, int) {
	h.lastOwner++
	return &owner{h: h, caller: h.lastOwner, reader: protocol.Reader{Most: protocol.SmallFrame}, name: "stranger",
		came: h.loop.Now()}, h.site.Output
}

func (o *owner) Opened(c *eventloop.Conn) {
	o.conn = c
	o.h.owners[o.caller] = o
	o.write(protocol.Greeting(protocol.Placer, o.h.site.Name, o.h.life))
}

func (o *owner) Read(_ *eventloop.Conn, p []byte) {
	if o.dropped {
		return
	}
	if err := o.reader.Feed(p, o.take); err != nil {
		o.h.badLink(o.name, err)
		o.drop(err.Error())
	}
	if o.reader.Half() == 0 {
		o.halfAt = 0
	} else if o.halfAt == 0 {
		o.halfAt = o.h.loop.Now()
	}
}

func (o *owner) Closed(*eventloop.Conn, error) {
	o.dropped = true
	delete(o.h.owners, o.caller)
	if o.role == protocol.Owner {
		o.h.tell(reconcile.Left{Caller: o.caller})
	}
}

// drop ends the link with a word why.
func (o *owner) drop(why string) {
	if !o.dropped {
		o.write(&protocol.Bye{Text: why})
		o.dropped = true
		o.conn.Close()
	}
}

// write sends a frame. An owner that takes too little is dropped: its answers cannot be kept without bound.
func (o *owner) write(f protocol.Frame) {
	if o.dropped {
		o.h.meter.unheard++
		return
	}
	p, err := o.h.frame(f)
	if err != nil {
		o.h.log.Error("frame not sent", "owner", o.name, "why", err)
		return
	}
	if err := o.conn.Write(p); err != nil {
		o.h.meter.unheard++
		o.dropped = true
		o.h.badLink(o.name, fmt.Errorf("%w: %d bytes wait", err, o.conn.Waiting()))
		o.conn.Reset()
	}
}

func (o *owner) house(now eventloop.Tick) {
	switch {
	case o.role == 0 && now-o.came > greetWithin:
		o.h.badLink(o.name, fmt.Errorf("no greeting in %d ms", (now-o.came)/eventloop.Millisecond))
		o.drop("no greeting in time")
	case o.halfAt > 0 && now-o.halfAt > o.h.site.Silent:
		o.h.badLink(o.name, fmt.Errorf("half a frame for %d ms", (now-o.halfAt)/eventloop.Millisecond))
		o.drop("half a frame")
	}
}

func (o *owner) take(f protocol.Frame) error {
	h := o.h
	switch f := f.(type) {
	case *protocol.Hello:
		o.name, o.role = f.Name, f.Role
		switch f.Role {
		case protocol.Owner:
			h.tell(reconcile.Called{Caller: o.caller})
		case protocol.Placer:
		default:
			return fmt.Errorf("a %s has no business at this door", f.Role)
		}
	case *protocol.Submit:
		h.submitted(o, f)
	case *protocol.Cancel:
		h.tell(reconcile.Cancelled{Caller: o.caller, ID: scheduler.ContainerID(f.Container), Key: f.Key})
	case *protocol.Look:
		h.tell(reconcile.Looked{Caller: o.caller, ID: scheduler.ContainerID(f.Container), Key: f.Key})
	case *protocol.AskWhy:
		o.write(h.explain(f))
	case *protocol.AskRoutes:
		o.write(h.routesFor(f.Service))
	case *protocol.AskStatus:
		o.write(h.status())
	case *protocol.Beat:
	case *protocol.Bye:
		o.drop("good bye")
	default:
		return fmt.Errorf("%T is not for the door", f)
	}
	return nil
}

func (h *Host) submitted(o *owner, f *protocol.Submit) {
	now, w := scheduler.Time(h.loop.Now()), &f.Work
	ask := scheduler.PlacementRequest{ID: scheduler.ContainerID(w.Container), IdempotencyKey: w.Key, Service: w.Service, WorkloadClass: w.Workload,
		Tenant: w.Customer, Cores: w.Cores, Memory: w.Memory, Deadline: now + scheduler.Time(f.Left),
		ExpectedRuntime: scheduler.Time(w.RunFor), ClientRetry: w.Again}
	h.meter.submitted++
	h.asking[ask.ID] = h.loop.Clock()
	h.tell(reconcile.Asked{Caller: o.caller, Ask: ask})
}

// explain answers why work like this may wait, where the decisions can tell.
func (h *Host) explain(f *protocol.AskWhy) *protocol.Why {
	w := &protocol.Why{Seq: f.Seq, ListAge: -1}
	if h.list.spokeAt > 0 {
		w.ListAge = protocol.Span(h.loop.Now() - h.list.spokeAt)
	}
	d, ok := h.decider.(interface {
		Explain(scheduler.PlacementRequest) scheduler.Explanation
	})
	if !ok {
		return w
	}
	x := d.Explain(scheduler.PlacementRequest{IdempotencyKey: f.Work.Key, Service: f.Work.Service, WorkloadClass: f.Work.Workload, Tenant: f.Work.Customer,
		Cores: f.Work.Cores, Memory: f.Work.Memory})
	return &protocol.Why{Seq: f.Seq, Known: true, Machines: x.Machines, Gone: x.Gone, OtherKind: x.WrongMachineType, Draining: x.Draining,
		TooSmall: x.TooSmall, Closing: x.SelfDraining, SpreadFull: x.SpreadExhausted, ColdSpent: x.SlowStartExhausted, Resting: x.Ejected,
		Shunned: x.Suspected, NoCores: x.InsufficientCores, NoMemory: x.InsufficientMemory, Free: x.Eligible, Yielding: x.SheddingLoad,
		NoRoomShare: x.FullRatio, ListAge: w.ListAge}
}

// routesFor tells how announcements stand.
func (h *Host) routesFor(service string) *protocol.Routes {
	out := &protocol.Routes{}
	if h.routes == nil {
		return out
	}
	for _, p := range h.routes.Peers() {
		out.Peers = append(out.Peers, protocol.RoutePeer{Addr: p.Addr, AS: p.AS, State: p.State, Routes: p.Routes, Due: p.Due, Updates: p.Updates,
			Bytes: p.Bytes, Ends: p.Flaps, Why: p.Why})
	}
	for _, name := range h.routes.Services() {
		if service != "" && name != service {
			continue
		}
		w, _ := h.routes.Why(name)
		r := protocol.RouteOf{Service: name, Prefix: h.site.BGP.Services[name].Prefix.String(), Announced: w.Announced,
			Preference: w.Path.Preference, Running: w.Running, Draining: w.Draining, Least: w.Least, Penalty: w.Penalty, Suppressed: w.Suppressed}
		if w.NextUpdate > 0 {
			r.Next = max(0, protocol.Span(w.NextUpdate-scheduler.Time(h.loop.Now())))
		}
		out.Services = append(out.Services, r)
	}
	return out
}

// send reaches an owner by its number.
func (h *Host) send(to reconcile.Caller, f protocol.Frame) {
	if o := h.owners[to]; o != nil {
		o.write(f)
	}
}

func (h *Host) turnAway(a reconcile.Refuse) {
	h.meter.answered(protocol.TurnedAway)
	h.send(a.Caller, &protocol.Answer{Container: string(a.ID), Verdict: protocol.TurnedAway, HoldOff: protocol.Span(a.HoldOff), Text: a.Why})
}

// cease ends a container that its owner no longer wants. Whoever asks for its end hears it.
func (h *Host) cease(a reconcile.Cease) {
	id, o := a.ID, h.owners[a.Caller]
	c := h.open[id]
	if c == nil || o == nil {
		return
	}
	if c.owner != nil && c.owner != o && !c.owner.dropped {
		o.write(&protocol.Answer{Container: string(a.As), Verdict: protocol.TurnedAway, Text: "it is another owner's"})
		return
	}
	if b := c.bid; b != nil && b.placed {
		c.owner, c.heardAs = o, string(a.As)
		h.callOff(b) // its end is told when the machine says so
		return
	}
	h.feed(scheduler.ContainerRemoved{ID: id})
	if !c.answered {
		c.answered = true
		h.meter.answered(protocol.GivenUp)
		if c.owner != nil && c.heardAs != string(a.As) {
			c.owner.write(&protocol.Answer{Container: c.heardAs, Verdict: protocol.GivenUp, Text: "cancelled"})
		}
		o.write(&protocol.Answer{Container: string(a.As), Verdict: protocol.GivenUp, Text: "cancelled"})
		h.tell(reconcile.Answered{ID: id})
	}
	if b := c.bid; b != nil {
		h.callOff(b)
		h.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
		return
	}
	h.close(c)
}
