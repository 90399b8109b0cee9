package controller

// noScheduler stands in Container.Scheduler where no request was sent, or where its scheduler is no longer configured.
const noScheduler = -1

// schedulerSet knows which of the configured schedulers are connected.
type schedulerSet struct{ connected []bool }

func newSchedulerSet(count int) *schedulerSet { return &schedulerSet{connected: make([]bool, count)} }

// apply adopts the new state of a connection. It reports false where that is no news or no scheduler is meant.
func (s *schedulerSet) apply(e SchedulerConnection) bool {
	if e.Scheduler < 0 || e.Scheduler >= len(s.connected) || s.connected[e.Scheduler] == e.Connected {
		return false
	}
	s.connected[e.Scheduler] = e.Connected
	return true
}

// isConnected is false for noScheduler.
func (s *schedulerSet) isConnected(number int) bool {
	return number != noScheduler && s.connected[number]
}

// draw returns a connected scheduler at random, or noScheduler.
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
