package mutants

import (
	"net/netip"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/speaker"
	"glenport/scheduler"
)

// routes spoils what an announcer decides.
type routes struct {
	speaker.RouteDecider
	how    string
	queue  []held
	paths  map[string]announce.Announce // what was announced last of each service
	prefix map[string]netip.Prefix
}

type held struct {
	at scheduler.Time
	a  announce.Action
}

// Routes makes withdrawals three seconds late ("late"), or tells each change at once ("storm").
func Routes(how string, d speaker.RouteDecider) speaker.RouteDecider {
	return &routes{RouteDecider: d, how: how, paths: map[string]announce.Announce{}, prefix: map[string]netip.Prefix{}}
}

func (r *routes) Handle(now scheduler.Time, events []announce.Event) []announce.Action {
	var out []announce.Action
	for len(r.queue) > 0 && r.queue[0].at <= now {
		out = append(out, r.queue[0].a)
		r.queue = r.queue[1:]
	}
	for _, a := range r.RouteDecider.Handle(now, events) {
		if w, ok := a.(announce.Withdraw); ok && r.how == "late" {
			r.queue = append(r.queue, held{now + 3*scheduler.Second, w})
			out = append(out, announce.SetTimer{After: 3*scheduler.Second + 1})
			continue
		}
		out = append(out, a)
	}
	if r.how != "storm" {
		return out
	}
	for _, e := range events {
		switch e := e.(type) {
		case announce.ServiceSet:
			r.prefix[e.Name] = e.Service.Prefix
			r.paths[e.Name] = announce.Announce{Prefix: e.Service.Prefix, Path: announce.Path{NextHop: e.Service.NextHop, Preference: 100}}
		case announce.ContainerRunning:
			out = append(out, r.paths[e.Service])
		case announce.ContainerEnded:
			out = append(out, announce.Withdraw{Prefix: r.prefix[e.Service]})
		}
	}
	return out
}
