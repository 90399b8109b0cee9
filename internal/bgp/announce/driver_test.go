package announce

import (
	"glenport/scheduler"
)

// driver runs an announcer on a clock of its own and hands every action but SetTimer to follow.
type driver struct {
	announcer *Announcer
	now       scheduler.Time
	wakeAt    scheduler.Time // 0: no timer is set
	follow    func(Action)
}

func newDriver(follow func(Action)) *driver { return &driver{announcer: New(), follow: follow} }

func (d *driver) handle(e Event) {
	for _, a := range d.announcer.Handle(d.now, []Event{e}) {
		if timer, ok := a.(SetTimer); ok {
			d.wakeAt = d.now + timer.After
			continue
		}
		d.follow(a)
	}
}

// fireTimer fires the timer that is set, at its time or now if that has passed.
func (d *driver) fireTimer() {
	d.now, d.wakeAt = max(d.now, d.wakeAt), 0
	d.handle(TimerFired{})
}

// advance lets the clock run to a time and fires what timers are due on the way.
func (d *driver) advance(to scheduler.Time) {
	for d.wakeAt > 0 && d.wakeAt <= to {
		d.fireTimer()
	}
	d.now = to
}
