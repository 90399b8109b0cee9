package recovery

import (
	"slices"

	"glenport/scheduler"
)

// unresolvedAttempt is an attempt that may run although no machine has confirmed it.
type unresolvedAttempt struct {
	attempt Attempt
	since   scheduler.Time // time at which the attempt became unresolved
}

// unresolvedAttempts holds unresolved attempts by idempotency key. The attempts of a key are in the order in which they
// were added.
type unresolvedAttempts map[string][]unresolvedAttempt

func (u unresolvedAttempts) add(a Attempt, now scheduler.Time) {
	key := a.Request.IdempotencyKey
	u[key] = append(u[key], unresolvedAttempt{attempt: a, since: now})
}

// remove removes the matching attempts of a key and returns them.
func (u unresolvedAttempts) remove(key string, match func(Attempt) bool) (removed []Attempt) {
	var left []unresolvedAttempt
	for _, pending := range u[key] {
		if match(pending.attempt) {
			removed = append(removed, pending.attempt)
		} else {
			left = append(left, pending)
		}
	}
	if len(left) == 0 {
		delete(u, key)
	} else {
		u[key] = left
	}
	return removed
}

// keysOn returns the keys with an attempt on a machine, sorted.
func (u unresolvedAttempts) keysOn(machine scheduler.MachineID) (keys []string) {
	onMachine := func(pending unresolvedAttempt) bool { return pending.attempt.Machine == machine }
	for key, attempts := range u {
		if slices.ContainsFunc(attempts, onMachine) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// machines returns the machines of all unresolved attempts.
func (u unresolvedAttempts) machines() map[scheduler.MachineID]bool {
	machines := map[scheduler.MachineID]bool{}
	for _, attempts := range u {
		for _, pending := range attempts {
			machines[pending.attempt.Machine] = true
		}
	}
	return machines
}
