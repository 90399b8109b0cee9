package scheduler

const selfDrainingTime = 5 * Second // after the last sign of it

// selfDrain is for a machine that drains itself, while the machine list has no drain yet. It is excluded from every
// draw for a while, even if it sent away one container only.
type selfDrain struct{ until Time }

func (d *selfDrain) isDraining(now Time) bool { return now < d.until }

// extend counts a sign of a drain from now on, and reports whether it is the first.
func (d *selfDrain) extend(now Time) (first bool) {
	first = !d.isDraining(now)
	d.until = now + selfDrainingTime
	return first
}

func (d *selfDrain) saveTo(s *MachineSnapshot) { s.SelfDrainingUntil = d.until }

func (d *selfDrain) restore(learned MachineSnapshot) { d.until = learned.SelfDrainingUntil }
