package faultproxy

import (
	"sync"
	"time"
)

// sampleInterval is the time between two samples of what has arrived from the schedulers. The measured lag of an entry
// that was recorded at once is at most this.
const sampleInterval = 5 * time.Millisecond

// sampler samples the streams of all schedulers at intervals. It shares no lock with those who forward and record, so
// that it samples on while they are late.
type sampler struct {
	mu      sync.Mutex
	streams map[*arrivals]bool
}

func (s *sampler) add(a *arrivals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[a] = true
}

func (s *sampler) remove(a *arrivals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, a)
}

// run samples until it is told to stop.
func (s *sampler) run(stop <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sampleAll()
		case <-stop:
			return
		}
	}
}

func (s *sampler) sampleAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.streams {
		_ = a.sample() // fails on a connection that is being closed: its earlier samples stand
	}
}
