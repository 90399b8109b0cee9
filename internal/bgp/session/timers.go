package session

import "glenport/scheduler"

// Durations of the timers. RFC 4271, section 10, suggests the first two.
const (
	connectRetryTime = 120 * scheduler.Second
	openHoldTime     = 4 * 60 * scheduler.Second // limit of the wait for the Open of the peer
	minIdleHoldTime  = scheduler.Second          // doubles with each failure until a session is established
	maxIdleHoldTime  = 60 * scheduler.Second
)

// keepalivesPerHoldTime is the number of Keepalives sent within one hold time (RFC 4271, section 4.4).
const keepalivesPerHoldTime = 3

// timers starts and stops the timers of a session. It holds the negotiated hold time and the next idle hold time.
type timers struct {
	actions      *actionQueue
	holdTime     scheduler.Time // 0: neither the hold timer nor the keepalive timer runs
	idleHoldTime scheduler.Time
}

func newTimers(actions *actionQueue) timers {
	return timers{actions: actions, idleHoldTime: minIdleHoldTime}
}

func (t *timers) set(timer Timer, after scheduler.Time) { t.actions.emit(SetTimer{timer, after}) }
func (t *timers) clear(timer Timer)                     { t.actions.emit(ClearTimer{timer}) }

// startConnectRetryTimer starts the timer that limits a connection attempt.
func (t *timers) startConnectRetryTimer() {
	t.clear(IdleHoldTimer)
	t.set(ConnectRetryTimer, connectRetryTime)
}

// startOpenHoldTimer starts the timer that limits the wait for the peer's Open.
func (t *timers) startOpenHoldTimer() {
	t.clear(ConnectRetryTimer)
	t.set(HoldTimer, openHoldTime)
}

// startNegotiatedTimers starts the hold and keepalive timers with the negotiated hold time.
func (t *timers) startNegotiatedTimers(holdTime scheduler.Time) {
	t.holdTime = holdTime
	if holdTime == 0 {
		t.clear(HoldTimer)
		t.clear(KeepaliveTimer)
		return
	}
	t.restartHoldTimer()
	t.restartKeepaliveTimer()
}

func (t *timers) restartHoldTimer() {
	if t.holdTime > 0 {
		t.set(HoldTimer, t.holdTime)
	}
}

func (t *timers) restartKeepaliveTimer() { t.set(KeepaliveTimer, t.holdTime/keepalivesPerHoldTime) }

// clearSessionTimers stops all timers but the idle hold timer when a session ends.
func (t *timers) clearSessionTimers() {
	t.clear(HoldTimer)
	t.clear(KeepaliveTimer)
	t.clear(ConnectRetryTimer)
}

// startIdleHoldTimer starts the wait before the next connection attempt. The wait doubles with each failure.
func (t *timers) startIdleHoldTimer() {
	t.clear(ConnectRetryTimer)
	t.set(IdleHoldTimer, t.idleHoldTime)
	t.idleHoldTime = min(maxIdleHoldTime, 2*t.idleHoldTime)
}

// resetIdleHoldTime resets the wait after the next failure to the minimum.
func (t *timers) resetIdleHoldTime() { t.idleHoldTime = minIdleHoldTime }
