package main

import (
	"slices"
	"sync"
	"time"
)

// lossTime and lossEvery bound the lost answers: one in four, for 18 seconds.
const (
	lossTime  = 18 * time.Second
	lossEvery = 4
)

// lossShare loses one answer in lossEvery, from the first answer on for lossTime.
type lossShare struct {
	mu      sync.Mutex
	answers int
	since   time.Time
}

func (l *lossShare) lose() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answers == 0 {
		l.since = time.Now()
	}
	l.answers++
	return l.answers%lossEvery == 0 && time.Since(l.since) < lossTime
}

// repeatedKeys returns the keys that were started more than once.
func repeatedKeys(machines []*clusterMachine) []string {
	var repeated []string
	for key, n := range startsByKey(machines) {
		if n > 1 {
			repeated = append(repeated, key)
		}
	}
	slices.Sort(repeated)
	return repeated
}
