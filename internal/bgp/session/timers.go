package session

import "glenport/scheduler"

// Times of the timers; the first two are those that RFC 4271, section 10, suggests.
const (
	connectRetryTime = 120 * scheduler.Second
	openHoldTime     = 4 * 60 * scheduler.Second // in which the peer has to send its Open
	minIdleHoldTime  = scheduler.Second          // after a fault, doubled with each until a session is established
	maxIdleHoldTime  = 60 * scheduler.Second
)

// keepalivesPerHoldTime is how many keepalives are sent in one hold time (RFC 4271, section 4.4).
const keepalivesPerHoldTime = 3

// timers owns the times of a session: the negotiated hold time and the idle hold time before the next attempt.
type timers struct {
	actions      *actionQueue
	holdTime     scheduler.Time // 0: neither hold nor keepalive timer runs
	idleHoldTime scheduler.Time
}

func newTimers(actions *actionQueue) timers {
	return timers{actions: actions, idleHoldTime: minIdleHoldTime}
}

func (t *timers) set(timer Timer, after scheduler.Time) { t.actions.emit(SetTimer{timer, after}) }
func (t *timers) clear(timer Timer)                     { t.actions.emit(ClearTimer{timer}) }

// startConnecting begins the time that an attempt has.
func (t *timers) startConnecting() {
	t.clear(IdleHoldTimer)
	t.set(ConnectRetryTimer, connectRetryTime)
}

// startOpening begins the time in which the peer has to send its Open.
func (t *timers) startOpening() {
	t.clear(ConnectRetryTimer)
	t.set(HoldTimer, openHoldTime)
}

// startHolding begins the negotiated hold time, with keepalives in it.
func (t *timers) startHolding(holdTime scheduler.Time) {
	t.holdTime = holdTime
	if holdTime == 0 {
		t.clear(HoldTimer)
		t.clear(KeepaliveTimer)
		return
	}
	t.restartHold()
	t.restartKeepalive()
}

func (t *timers) restartHold() {
	if t.holdTime > 0 {
		t.set(HoldTimer, t.holdTime)
	}
}

func (t *timers) restartKeepalive() { t.set(KeepaliveTimer, t.holdTime/keepalivesPerHoldTime) }

// endSession stops the timers of a session that has ended.
func (t *timers) endSession() {
	t.clear(HoldTimer)
	t.clear(KeepaliveTimer)
	t.clear(ConnectRetryTimer)
}

// startIdling begins the time before the next attempt, longer after each that failed.
func (t *timers) startIdling() {
	t.clear(ConnectRetryTimer)
	t.set(IdleHoldTimer, t.idleHoldTime)
	t.idleHoldTime = min(maxIdleHoldTime, 2*t.idleHoldTime)
}

// resetIdleHoldTime lets the next attempt follow a fault soon again.
func (t *timers) resetIdleHoldTime() { t.idleHoldTime = minIdleHoldTime }
