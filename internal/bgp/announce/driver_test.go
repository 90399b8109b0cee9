package announce

import (
	"glenport/scheduler"
)

// driver runs an announcer on a simulated clock and passes every action but SetTimer to handleAction.
type driver struct {
	announcer    *Announcer
	now          scheduler.Time
	wakeAt       scheduler.Time // 0: no timer is set
	handleAction func(Action)
}

func newDriver(handleAction func(Action)) *driver {
	return &driver{announcer: New(), handleAction: handleAction}
}

func (d *driver) handle(e Event) {
	for _, a := range d.announcer.Handle(d.now, []Event{e}) {
		if timer, ok := a.(SetTimer); ok {
			d.wakeAt = d.now + timer.After
			continue
		}
		d.handleAction(a)
	}
}

// fireTimer fires the timer at its time, or now if that has passed.
func (d *driver) fireTimer() {
	d.now, d.wakeAt = max(d.now, d.wakeAt), 0
	d.handle(TimerFired{})
}

// advance advances the clock to a time and fires the timers that are due by then.
func (d *driver) advance(to scheduler.Time) {
	for d.wakeAt > 0 && d.wakeAt <= to {
		d.fireTimer()
	}
	d.now = to
}
