package recovery

import "glenport/scheduler"

// CheckPlacement returns a *MayRunError or *RecoveringError if a request must wait. A container that must not run twice
// is never placed while an attempt under its key may run. In addition, a client retry waits until it is known which
// attempts of earlier incarnations may run.
func (t *Tracker) CheckPlacement(r scheduler.PlacementRequest) error {
	idempotency := t.idempotencyOf(r.WorkloadClass)
	if idempotency == scheduler.Idempotent {
		return nil
	}
	for _, u := range t.unresolvedAttempts[r.IdempotencyKey] {
		if idempotency == scheduler.AtMostOnce || t.fromEarlierIncarnation(u) {
			return &MayRunError{Key: r.IdempotencyKey, Machine: u.attempt.Machine, SilentFor: t.now - u.since}
		}
	}
	if r.ClientRetry && !t.knowsEarlierAttempts(idempotency) {
		return &RecoveringError{Uptime: t.now - t.startedAt}
	}
	return nil
}

// knowsEarlierAttempts reports whether all attempts of earlier incarnations that may run are known. They are known if
// all machines have reported, if the log holds them, or, without a log, if the report timeout has passed. A synced log
// may lack attempts that are idempotent with a key. Retries of such attempts wait for the reports of all machines.
func (t *Tracker) knowsEarlierAttempts(idempotency scheduler.Idempotency) bool {
	switch {
	case t.allReported():
		return true
	case t.coverage == LogComplete:
		return true
	case t.coverage == LogSynced:
		return idempotency == scheduler.AtMostOnce
	default:
		return t.completedEmitted || t.timedOut()
	}
}

// fromEarlierIncarnation reports whether an attempt is of an earlier incarnation. Only such an attempt blocks a
// container that is idempotent with a key: the scheduler enforces the deduplication scope and window for attempts of
// its own incarnation, but does not know when an attempt of an earlier incarnation was sent.
func (t *Tracker) fromEarlierIncarnation(u unresolvedAttempt) bool { return u.since == t.startedAt }

// CheckKey returns a *MayRunError or *RecoveringError if it is not known whether a container runs under a key.
func (t *Tracker) CheckKey(key string) error {
	if attempts := t.unresolvedAttempts[key]; len(attempts) > 0 {
		return &MayRunError{Key: key, Machine: attempts[0].attempt.Machine, SilentFor: -1}
	}
	if !t.completedEmitted && !t.allReported() {
		return &RecoveringError{Uptime: t.now - t.startedAt}
	}
	return nil
}
