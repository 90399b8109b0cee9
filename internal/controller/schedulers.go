package controller

// noScheduler is the value of Container.Scheduler if no request was sent, or if the scheduler that received it is no
// longer configured.
const noScheduler = -1

// schedulerSet records which of the configured schedulers are connected.
type schedulerSet struct{ connected []bool }

func newSchedulerSet(count int) *schedulerSet { return &schedulerSet{connected: make([]bool, count)} }

// apply adopts the new state of a connection. It returns false if the state is unchanged or the scheduler is not
// configured.
func (s *schedulerSet) apply(e SchedulerConnection) bool {
	if e.Scheduler < 0 || e.Scheduler >= len(s.connected) || s.connected[e.Scheduler] == e.Connected {
		return false
	}
	s.connected[e.Scheduler] = e.Connected
	return true
}

// isConnected reports whether a scheduler is connected. It returns false for noScheduler.
func (s *schedulerSet) isConnected(number int) bool {
	return number != noScheduler && s.connected[number]
}

// draw returns a connected scheduler at random, or noScheduler if none is connected.
func (s *schedulerSet) draw(random *randomSource) int {
	var connected []int
	for number, ok := range s.connected {
		if ok {
			connected = append(connected, number)
		}
	}
	if len(connected) == 0 {
		return noScheduler
	}
	return connected[int(random.float64()*float64(len(connected)))]
}
