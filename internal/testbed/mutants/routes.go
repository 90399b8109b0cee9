package mutants

import (
	"net/netip"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/speaker"
	"glenport/scheduler"
)

// RouteMutation is a way to break the announcement of routes; its text is the value of a command-line flag.
type RouteMutation string

const (
	// LateWithdrawals delays each withdrawal by three seconds.
	LateWithdrawals RouteMutation = "late"
	// UpdateStorm announces a route at each start of a container and withdraws it at each end, without damping.
	UpdateStorm RouteMutation = "storm"
)

const (
	withdrawalDelay  = 3 * scheduler.Second
	stormPreference  = 100
	timerGranularity = 1 // the timer is set this much later than the delayed action is due
)

// routeMutant sits between a BGP speaker and its decisions.
type routeMutant struct {
	speaker.RouteDecider
	mutation      RouteMutation
	delayed       []delayedAction
	announcements map[string]announce.Announce // by service
	prefixes      map[string]netip.Prefix      // by service
}

type delayedAction struct {
	dueAt  scheduler.Time
	action announce.Action
}

// NewRouteMutant wraps decisions with a mutation. An unknown mutation changes nothing.
func NewRouteMutant(mutation RouteMutation, decisions speaker.RouteDecider) speaker.RouteDecider {
	return &routeMutant{
		RouteDecider: decisions, mutation: mutation,
		announcements: map[string]announce.Announce{}, prefixes: map[string]netip.Prefix{},
	}
}

// Handle passes events to the decisions and returns their actions, changed by the mutation.
func (r *routeMutant) Handle(now scheduler.Time, events []announce.Event) []announce.Action {
	actions := r.takeDueActions(now)
	for _, action := range r.RouteDecider.Handle(now, events) {
		if withdraw, ok := action.(announce.Withdraw); ok && r.mutation == LateWithdrawals {
			r.delayed = append(r.delayed, delayedAction{now + withdrawalDelay, withdraw})
			action = announce.SetTimer{After: withdrawalDelay + timerGranularity}
		}
		actions = append(actions, action)
	}
	if r.mutation == UpdateStorm {
		actions = append(actions, r.stormActions(events)...)
	}
	return actions
}

func (r *routeMutant) takeDueActions(now scheduler.Time) []announce.Action {
	var due []announce.Action
	for len(r.delayed) > 0 && r.delayed[0].dueAt <= now {
		due = append(due, r.delayed[0].action)
		r.delayed = r.delayed[1:]
	}
	return due
}

// stormActions returns an announcement for each container that began to run and a withdrawal for each container that
// ended.
func (r *routeMutant) stormActions(events []announce.Event) []announce.Action {
	var actions []announce.Action
	for _, event := range events {
		switch event := event.(type) {
		case announce.ServiceSet:
			service := event.Service
			r.prefixes[event.Name] = service.Prefix
			r.announcements[event.Name] = announce.Announce{
				Prefix: service.Prefix,
				Path:   announce.Path{NextHop: service.NextHop, Preference: stormPreference},
			}
		case announce.ContainerRunning:
			actions = append(actions, r.announcements[event.Service])
		case announce.ContainerEnded:
			actions = append(actions, announce.Withdraw{Prefix: r.prefixes[event.Service]})
		}
	}
	return actions
}
