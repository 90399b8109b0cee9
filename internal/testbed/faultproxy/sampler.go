package faultproxy

import (
	"sync"
	"time"
)

// sampleInterval is the time between two samples of the streams of the schedulers. It bounds the lag of an entry that
// was recorded without delay.
const sampleInterval = 5 * time.Millisecond

// sampler samples the streams of all schedulers periodically. It shares no lock with forwarding and recording, so that
// a delay there does not delay the samples.
type sampler struct {
	mu      sync.Mutex
	streams map[*arrivalTracker]bool
}

func (s *sampler) add(a *arrivalTracker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[a] = true
}

func (s *sampler) remove(a *arrivalTracker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, a)
}

// run samples until stop is closed.
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
		_ = a.sample() // fails on a closed connection, which keeps its earlier samples
	}
}
