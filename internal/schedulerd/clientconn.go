package schedulerd

import (
	"fmt"
	"sort"

	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/scheduler"
)

func sortAttempts(all []*attempt) {
	sort.Slice(all, func(i, j int) bool { return all[i].number < all[j].number })
}

// clientConn is a caller at the door: an owner of containers, or another placer with a message.
type clientConn struct {
	server       *Server
	id           reconcile.ClientID
	conn         *eventloop.Conn
	reader       protocol.Reader
	name         string
	role         protocol.Role
	acceptedAt   eventloop.Tick
	partialSince eventloop.Tick
	disconnected bool
}

func (h *Server) acceptClient() (eventloop.Handler, int) {
	h.lastClient++
	return &clientConn{server: h, id: h.lastClient, reader: protocol.Reader{MaxSize: protocol.MaxClientFrame}, name: "stranger",
		acceptedAt: h.loop.Now()}, h.config.Output
}

func (o *clientConn) Opened(c *eventloop.Conn) {
	o.conn = c
	o.server.clients[o.id] = o
	o.send(protocol.NewHello(protocol.RoleScheduler, o.server.config.Name, o.server.incarnation))
}

func (o *clientConn) Read(_ *eventloop.Conn, p []byte) {
	if o.disconnected {
		return
	}
	if err := o.reader.Feed(p, o.handleFrame); err != nil {
		o.server.logConnectionClosed(o.name, err)
		o.disconnect(err.Error())
	}
	if o.reader.Buffered() == 0 {
		o.partialSince = 0
	} else if o.partialSince == 0 {
		o.partialSince = o.server.loop.Now()
	}
}

func (o *clientConn) Closed(*eventloop.Conn, error) {
	o.disconnected = true
	delete(o.server.clients, o.id)
	if o.role == protocol.RoleClient {
		o.server.enqueueOwnershipEvent(reconcile.ClientDisconnected{Client: o.id})
	}
}

// disconnect ends the link with a word why.
func (o *clientConn) disconnect(why string) {
	if !o.disconnected {
		o.send(&protocol.Goodbye{Message: why})
		o.disconnected = true
		o.conn.Close()
	}
}

// send sends a frame. An owner that takes too little is dropped: its answers cannot be kept without bound.
func (o *clientConn) send(f protocol.Frame) {
	if o.disconnected {
		o.server.stats.undelivered++
		return
	}
	p, err := o.server.encode(f)
	if err != nil {
		o.server.log.Error("frame not sent", "owner", o.name, "why", err)
		return
	}
	if err := o.conn.Write(p); err != nil {
		o.server.stats.undelivered++
		o.disconnected = true
		o.server.logConnectionClosed(o.name, fmt.Errorf("%w: %d bytes wait", err, o.conn.PendingOutput()))
		o.conn.Reset()
	}
}

func (o *clientConn) checkTimeouts(now eventloop.Tick) {
	switch {
	case o.role == 0 && now-o.acceptedAt > helloTimeout:
		o.server.logConnectionClosed(o.name, fmt.Errorf("no greeting in %d ms", (now-o.acceptedAt)/eventloop.Millisecond))
		o.disconnect("no greeting in time")
	case o.partialSince > 0 && now-o.partialSince > o.server.config.Silent:
		o.server.logConnectionClosed(o.name, fmt.Errorf("half a frame for %d ms", (now-o.partialSince)/eventloop.Millisecond))
		o.disconnect("half a frame")
	}
}

func (o *clientConn) handleFrame(f protocol.Frame) error {
	h := o.server
	switch f := f.(type) {
	case *protocol.Hello:
		o.name, o.role = f.Name, f.Role
		switch f.Role {
		case protocol.RoleClient:
			h.enqueueOwnershipEvent(reconcile.ClientConnected{Client: o.id})
		case protocol.RoleScheduler:
		default:
			return fmt.Errorf("a %s has no business at this door", f.Role)
		}
	case *protocol.Submit:
		h.submit(o, f)
	case *protocol.CancelContainer:
		h.enqueueOwnershipEvent(reconcile.CancelRequested{Client: o.id, ID: scheduler.ContainerID(f.ContainerID), IdempotencyKey: f.IdempotencyKey})
	case *protocol.Lookup:
		h.enqueueOwnershipEvent(reconcile.LookupRequested{Client: o.id, ID: scheduler.ContainerID(f.ContainerID), IdempotencyKey: f.IdempotencyKey})
	case *protocol.ExplainRequest:
		o.send(h.explain(f))
	case *protocol.RoutesRequest:
		o.send(h.routesFor(f.Service))
	case *protocol.StatusRequest:
		o.send(h.status())
	case *protocol.Heartbeat:
	case *protocol.Goodbye:
		o.disconnect("good bye")
	default:
		return fmt.Errorf("%T is not for the door", f)
	}
	return nil
}

func (h *Server) submit(o *clientConn, f *protocol.Submit) {
	now, w := scheduler.Time(h.loop.Now()), &f.Spec
	ask := scheduler.PlacementRequest{ID: scheduler.ContainerID(w.ContainerID), IdempotencyKey: w.IdempotencyKey, Service: w.Service, WorkloadClass: w.WorkloadClass,
		Tenant: w.Tenant, Cores: w.Cores, Memory: w.Memory, Deadline: now + scheduler.Time(f.TimeToDeadline),
		ExpectedRuntime: scheduler.Time(w.ExpectedRuntime), ClientRetry: w.ClientRetry}
	h.stats.submitted++
	h.submittedAt[ask.ID] = h.loop.Elapsed()
	h.enqueueOwnershipEvent(reconcile.PlacementRequested{Client: o.id, Request: ask})
}

// explain answers why work like this may wait, where the decisions can tell.
func (h *Server) explain(f *protocol.ExplainRequest) *protocol.ExplainReply {
	w := &protocol.ExplainReply{Seq: f.Seq, ListAge: -1}
	if h.discovery.lastFrameAt > 0 {
		w.ListAge = protocol.Duration(h.loop.Now() - h.discovery.lastFrameAt)
	}
	d, ok := h.scheduler.(interface {
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
func (h *Server) routesFor(service string) *protocol.RoutesReply {
	out := &protocol.RoutesReply{}
	if h.speaker == nil {
		return out
	}
	for _, p := range h.speaker.Peers() {
		out.Peers = append(out.Peers, protocol.BGPPeerStatus{Address: p.Addr, ASN: p.AS, State: p.State, Routes: p.Routes, PendingRoutes: p.PendingRoutes, UpdatesSent: p.Updates,
			BytesSent: p.Bytes, SessionsEnded: p.Flaps, LastError: p.LastError})
	}
	for _, name := range h.speaker.Services() {
		if service != "" && name != service {
			continue
		}
		w, _ := h.speaker.Status(name)
		r := protocol.ServiceRoute{Service: name, Prefix: h.config.BGP.Services[name].Prefix.String(), Announced: w.Announced,
			LocalPreference: w.Path.Preference, Running: w.Running, Draining: w.Draining, MinRunning: w.MinRunning, Penalty: w.Penalty, Suppressed: w.Suppressed}
		if w.NextUpdate > 0 {
			r.NextChangeIn = max(0, protocol.Duration(w.NextUpdate-scheduler.Time(h.loop.Now())))
		}
		out.Services = append(out.Services, r)
	}
	return out
}

// sendToClient reaches an owner by its number.
func (h *Server) sendToClient(to reconcile.ClientID, f protocol.Frame) {
	if o := h.clients[to]; o != nil {
		o.send(f)
	}
}

func (h *Server) refuse(a reconcile.Reject) {
	h.stats.countAnswer(protocol.VerdictNotAdmitted)
	h.sendToClient(a.Client, &protocol.PlacementReply{ContainerID: string(a.ID), Verdict: protocol.VerdictNotAdmitted, RetryAfter: protocol.Duration(a.RetryAfter), Message: a.Reason.Error()})
}

// cancelContainer ends a container that its owner no longer wants. Whoever asks for its end hears it.
func (h *Server) cancelContainer(a reconcile.TerminateContainer) {
	id, o := a.ID, h.clients[a.Client]
	c := h.containers[id]
	if c == nil || o == nil {
		return
	}
	if c.client != nil && c.client != o && !c.client.disconnected {
		o.send(&protocol.PlacementReply{ContainerID: string(a.RequestedID), Verdict: protocol.VerdictNotAdmitted, Message: "it is another owner's"})
		return
	}
	if b := c.attempt; b != nil && b.accepted {
		c.client, c.clientContainerID = o, string(a.RequestedID)
		h.cancelAttempt(b) // its end is told when the machine says so
		return
	}
	h.enqueueSchedulerEvent(scheduler.ContainerRemoved{ID: id})
	if !c.answered {
		c.answered = true
		h.stats.countAnswer(protocol.VerdictFailed)
		if c.client != nil && c.clientContainerID != string(a.RequestedID) {
			c.client.send(&protocol.PlacementReply{ContainerID: c.clientContainerID, Verdict: protocol.VerdictFailed, Message: "cancelled"})
		}
		o.send(&protocol.PlacementReply{ContainerID: string(a.RequestedID), Verdict: protocol.VerdictFailed, Message: "cancelled"})
		h.enqueueOwnershipEvent(reconcile.RequestFailed{ID: id})
	}
	if b := c.attempt; b != nil {
		h.cancelAttempt(b)
		h.endAttempt(b, scheduler.AttemptEnded{Outcome: scheduler.OutcomeStopped, Final: true})
		return
	}
	h.removeContainer(c)
}
