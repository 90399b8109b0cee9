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
	caller  reconcile.ClientID
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
	return &owner{h: h, caller: h.lastOwner, reader: protocol.Reader{MaxSize: protocol.MaxClientFrame}, name: "stranger",
		came: h.loop.Now()}, h.site.Output
}

func (o *owner) Opened(c *eventloop.Conn) {
	o.conn = c
	o.h.owners[o.caller] = o
	o.write(protocol.NewHello(protocol.RoleScheduler, o.h.site.Name, o.h.life))
}

func (o *owner) Read(_ *eventloop.Conn, p []byte) {
	if o.dropped {
		return
	}
	if err := o.reader.Feed(p, o.take); err != nil {
		o.h.badLink(o.name, err)
		o.drop(err.Error())
	}
	if o.reader.Buffered() == 0 {
		o.halfAt = 0
	} else if o.halfAt == 0 {
		o.halfAt = o.h.loop.Now()
	}
}

func (o *owner) Closed(*eventloop.Conn, error) {
	o.dropped = true
	delete(o.h.owners, o.caller)
	if o.role == protocol.RoleClient {
		o.h.tell(reconcile.ClientDisconnected{Client: o.caller})
	}
}

// drop ends the link with a word why.
func (o *owner) drop(why string) {
	if !o.dropped {
		o.write(&protocol.Goodbye{Message: why})
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
		o.h.badLink(o.name, fmt.Errorf("%w: %d bytes wait", err, o.conn.PendingOutput()))
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
		case protocol.RoleClient:
			h.tell(reconcile.ClientConnected{Client: o.caller})
		case protocol.RoleScheduler:
		default:
			return fmt.Errorf("a %s has no business at this door", f.Role)
		}
	case *protocol.Submit:
		h.submitted(o, f)
	case *protocol.CancelContainer:
		h.tell(reconcile.CancelRequested{Client: o.caller, ID: scheduler.ContainerID(f.ContainerID), IdempotencyKey: f.IdempotencyKey})
	case *protocol.Lookup:
		h.tell(reconcile.LookupRequested{Client: o.caller, ID: scheduler.ContainerID(f.ContainerID), IdempotencyKey: f.IdempotencyKey})
	case *protocol.ExplainRequest:
		o.write(h.explain(f))
	case *protocol.RoutesRequest:
		o.write(h.routesFor(f.Service))
	case *protocol.StatusRequest:
		o.write(h.status())
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		o.drop("good bye")
	default:
		return fmt.Errorf("%T is not for the door", f)
	}
	return nil
}

func (h *Host) submitted(o *owner, f *protocol.Submit) {
	now, w := scheduler.Time(h.loop.Now()), &f.Spec
	ask := scheduler.PlacementRequest{ID: scheduler.ContainerID(w.ContainerID), IdempotencyKey: w.IdempotencyKey, Service: w.Service, WorkloadClass: w.WorkloadClass,
		Tenant: w.Tenant, Cores: w.Cores, Memory: w.Memory, Deadline: now + scheduler.Time(f.TimeToDeadline),
		ExpectedRuntime: scheduler.Time(w.ExpectedRuntime), ClientRetry: w.ClientRetry}
	h.meter.submitted++
	h.asking[ask.ID] = h.loop.Elapsed()
	h.tell(reconcile.PlacementRequested{Client: o.caller, Request: ask})
}

// explain answers why work like this may wait, where the decisions can tell.
func (h *Host) explain(f *protocol.ExplainRequest) *protocol.ExplainReply {
	w := &protocol.ExplainReply{Seq: f.Seq, ListAge: -1}
	if h.list.spokeAt > 0 {
		w.ListAge = protocol.Duration(h.loop.Now() - h.list.spokeAt)
	}
	d, ok := h.decider.(interface {
		Explain(scheduler.PlacementRequest) scheduler.Explanation
	})
	if !ok {
		return w
	}
	x := d.Explain(scheduler.PlacementRequest{IdempotencyKey: f.Spec.IdempotencyKey, Service: f.Spec.Service, WorkloadClass: f.Spec.WorkloadClass, Tenant: f.Spec.Tenant,
		Cores: f.Spec.Cores, Memory: f.Spec.Memory})
	return &protocol.ExplainReply{Seq: f.Seq, Known: true, Machines: x.Machines, Gone: x.Gone, WrongMachineType: x.WrongMachineType, Draining: x.Draining,
		TooSmall: x.TooSmall, SelfDraining: x.SelfDraining, SpreadExhausted: x.SpreadExhausted, SlowStartExhausted: x.SlowStartExhausted, Ejected: x.Ejected,
		Suspected: x.Suspected, InsufficientCores: x.InsufficientCores, InsufficientMemory: x.InsufficientMemory, Eligible: x.Eligible, SheddingLoad: x.SheddingLoad,
		FullRatio: x.FullRatio, ListAge: w.ListAge}
}

// routesFor tells how announcements stand.
func (h *Host) routesFor(service string) *protocol.RoutesReply {
	out := &protocol.RoutesReply{}
	if h.routes == nil {
		return out
	}
	for _, p := range h.routes.Peers() {
		out.Peers = append(out.Peers, protocol.BGPPeerStatus{Address: p.Addr, ASN: p.AS, State: p.State, Routes: p.Routes, PendingRoutes: p.Due, UpdatesSent: p.Updates,
			BytesSent: p.Bytes, SessionsEnded: p.Flaps, LastError: p.Why})
	}
	for _, name := range h.routes.Services() {
		if service != "" && name != service {
			continue
		}
		w, _ := h.routes.Why(name)
		r := protocol.ServiceRoute{Service: name, Prefix: h.site.BGP.Services[name].Prefix.String(), Announced: w.Announced,
			LocalPreference: w.Path.Preference, Running: w.Running, Draining: w.Draining, MinRunning: w.Least, Penalty: w.Penalty, Suppressed: w.Suppressed}
		if w.NextUpdate > 0 {
			r.NextChangeIn = max(0, protocol.Duration(w.NextUpdate-scheduler.Time(h.loop.Now())))
		}
		out.Services = append(out.Services, r)
	}
	return out
}

// send reaches an owner by its number.
func (h *Host) send(to reconcile.ClientID, f protocol.Frame) {
	if o := h.owners[to]; o != nil {
		o.write(f)
	}
}

func (h *Host) turnAway(a reconcile.Reject) {
	h.meter.answered(protocol.VerdictNotAdmitted)
	h.send(a.Client, &protocol.PlacementReply{ContainerID: string(a.ID), Verdict: protocol.VerdictNotAdmitted, RetryAfter: protocol.Duration(a.RetryAfter), Message: a.Reason})
}

// cease ends a container that its owner no longer wants. Whoever asks for its end hears it.
func (h *Host) cease(a reconcile.TerminateContainer) {
	id, o := a.ID, h.owners[a.Client]
	c := h.open[id]
	if c == nil || o == nil {
		return
	}
	if c.owner != nil && c.owner != o && !c.owner.dropped {
		o.write(&protocol.PlacementReply{ContainerID: string(a.RequestedID), Verdict: protocol.VerdictNotAdmitted, Message: "it is another owner's"})
		return
	}
	if b := c.bid; b != nil && b.placed {
		c.owner, c.heardAs = o, string(a.RequestedID)
		h.callOff(b) // its end is told when the machine says so
		return
	}
	h.feed(scheduler.ContainerRemoved{ID: id})
	if !c.answered {
		c.answered = true
		h.meter.answered(protocol.VerdictFailed)
		if c.owner != nil && c.heardAs != string(a.RequestedID) {
			c.owner.write(&protocol.PlacementReply{ContainerID: c.heardAs, Verdict: protocol.VerdictFailed, Message: "cancelled"})
		}
		o.write(&protocol.PlacementReply{ContainerID: string(a.RequestedID), Verdict: protocol.VerdictFailed, Message: "cancelled"})
		h.tell(reconcile.RequestFailed{ID: id})
	}
	if b := c.bid; b != nil {
		h.callOff(b)
		h.over(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
		return
	}
	h.close(c)
}
