package scheduler

const selfDrainingTime = 5 * Second // time for which a machine is excluded after the last sign of a drain

// selfDrain records that a machine drains itself while the machine list does not show a drain yet. A single container
// that the machine sends away is enough: the machine is then excluded from every draw for selfDrainingTime.
type selfDrain struct{ until Time }

func (d *selfDrain) isDraining(now Time) bool { return now < d.until }

// extend records a sign of a drain. It reports whether a drain begins, because none was known before.
func (d *selfDrain) extend(now Time) (begins bool) {
	begins = !d.isDraining(now)
	d.until = now + selfDrainingTime
	return begins
}

func (d *selfDrain) saveTo(s *MachineSnapshot) { s.SelfDrainingUntil = d.until }

func (d *selfDrain) restore(snapshot MachineSnapshot) { d.until = snapshot.SelfDrainingUntil }
