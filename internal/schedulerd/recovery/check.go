package recovery

import "glenport/scheduler"

// CheckPlacement returns a *MayRunError or *RecoveringError where a request must wait. Work that must not run twice is
// never placed while an attempt under its key may run. Beyond that, a client retry waits until it is known what runs
// from earlier incarnations.
func (t *Tracker) CheckPlacement(r scheduler.PlacementRequest) error {
	idempotency := t.idempotencyOf(r.WorkloadClass)
	if idempotency == scheduler.Idempotent {
		return nil
	}
	for _, u := range t.unresolved[r.IdempotencyKey] {
		if idempotency == scheduler.AtMostOnce || t.fromEarlierIncarnation(u) {
			return &MayRunError{Key: r.IdempotencyKey, Machine: u.attempt.Machine, SilentFor: t.now - u.since}
		}
	}
	if r.ClientRetry && !t.knowsEarlierAttempts(idempotency) {
		return &RecoveringError{Uptime: t.now - t.startedAt}
	}
	return nil
}

// knowsEarlierAttempts reports whether no attempt of earlier incarnations can be missing: because the log holds them
// all, all machines have reported, or, without a log, had their time to. A log that was only synced lacks attempts of
// work that is idempotent with a key; that waits for every machine.
func (t *Tracker) knowsEarlierAttempts(idempotency scheduler.Idempotency) bool {
	switch {
	case t.allReported():
		return true
	case t.coverage == LogComplete:
		return true
	case t.coverage == LogSynced:
		return idempotency == scheduler.AtMostOnce
	default:
		return t.completed || t.timedOut()
	}
}

// fromEarlierIncarnation matters for work that is idempotent with a key: the scheduler keeps attempts of its own
// incarnation to their scope and window, but when an earlier one was sent nobody knows.
func (t *Tracker) fromEarlierIncarnation(u unresolvedAttempt) bool { return u.since == t.startedAt }

// CheckKey returns a *MayRunError or *RecoveringError where it is not known whether anything runs under a key.
func (t *Tracker) CheckKey(key string) error {
	if attempts := t.unresolved[key]; len(attempts) > 0 {
		return &MayRunError{Key: key, Machine: attempts[0].attempt.Machine, SilentFor: -1}
	}
	if !t.completed && !t.allReported() {
		return &RecoveringError{Uptime: t.now - t.startedAt}
	}
	return nil
}
