package mutants

import (
	"net/netip"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/speaker"
	"glenport/scheduler"
)

// routeMutant spoils what an announcer decides.
type routeMutant struct {
	speaker.RouteDecider
	kind          string
	delayed       []delayedAction
	lastAnnounced map[string]announce.Announce // what was announced last of each service
	prefixes      map[string]netip.Prefix
}

type delayedAction struct {
	dueAt  scheduler.Time
	action announce.Action
}

// NewRouteMutant makes withdrawals three seconds late ("late"), or tells each change at once ("storm").
func NewRouteMutant(how string, d speaker.RouteDecider) speaker.RouteDecider {
	return &routeMutant{RouteDecider: d, kind: how, lastAnnounced: map[string]announce.Announce{}, prefixes: map[string]netip.Prefix{}}
}

func (r *routeMutant) Handle(now scheduler.Time, events []announce.Event) []announce.Action {
	var out []announce.Action
	for len(r.delayed) > 0 && r.delayed[0].dueAt <= now {
		out = append(out, r.delayed[0].action)
		r.delayed = r.delayed[1:]
	}
	for _, a := range r.RouteDecider.Handle(now, events) {
		if w, ok := a.(announce.Withdraw); ok && r.kind == "late" {
			r.delayed = append(r.delayed, delayedAction{now + 3*scheduler.Second, w})
			out = append(out, announce.SetTimer{After: 3*scheduler.Second + 1})
			continue
		}
		out = append(out, a)
	}
	if r.kind != "storm" {
		return out
	}
	for _, e := range events {
		switch e := e.(type) {
		case announce.ServiceSet:
			r.prefixes[e.Name] = e.Service.Prefix
			r.lastAnnounced[e.Name] = announce.Announce{Prefix: e.Service.Prefix, Path: announce.Path{NextHop: e.Service.NextHop, Preference: 100}}
		case announce.ContainerRunning:
			out = append(out, r.lastAnnounced[e.Service])
		case announce.ContainerEnded:
			out = append(out, announce.Withdraw{Prefix: r.prefixes[e.Service]})
		}
	}
	return out
}
