package mutants

import (
	"net/netip"

	"glenport/internal/bgp/announce"
	"glenport/internal/bgp/speaker"
	"glenport/scheduler"
)

// RouteMutation is a way to break the announcing of routes; its text is the value of the command line flag.
type RouteMutation string

const (
	// LateWithdrawals makes each withdrawal three seconds late.
	LateWithdrawals RouteMutation = "late"
	// UpdateStorm announces and withdraws at each start and end of a container, without damping.
	UpdateStorm RouteMutation = "storm"
)

const (
	withdrawalDelay  = 3 * scheduler.Second
	stormPreference  = 100
	timerGranularity = 1 // by which the timer fires after a delayed action is due
)

// routeMutant stands between a BGP speaker and its decisions.
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

// NewRouteMutant wraps decisions so that they are broken as the mutation says; an unknown mutation breaks nothing.
func NewRouteMutant(mutation RouteMutation, decisions speaker.RouteDecider) speaker.RouteDecider {
	return &routeMutant{
		RouteDecider: decisions, mutation: mutation,
		announcements: map[string]announce.Announce{}, prefixes: map[string]netip.Prefix{},
	}
}

// Handle changes the actions of the decisions.
func (r *routeMutant) Handle(now scheduler.Time, events []announce.Event) []announce.Action {
	actions := r.takeDue(now)
	for _, action := range r.RouteDecider.Handle(now, events) {
		if withdraw, ok := action.(announce.Withdraw); ok && r.mutation == LateWithdrawals {
			r.delayed = append(r.delayed, delayedAction{now + withdrawalDelay, withdraw})
			action = announce.SetTimer{After: withdrawalDelay + timerGranularity}
		}
		actions = append(actions, action)
	}
	if r.mutation == UpdateStorm {
		actions = append(actions, r.storm(events)...)
	}
	return actions
}

func (r *routeMutant) takeDue(now scheduler.Time) []announce.Action {
	var due []announce.Action
	for len(r.delayed) > 0 && r.delayed[0].dueAt <= now {
		due = append(due, r.delayed[0].action)
		r.delayed = r.delayed[1:]
	}
	return due
}

// storm announces or withdraws a route at each event of a container.
func (r *routeMutant) storm(events []announce.Event) []announce.Action {
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
