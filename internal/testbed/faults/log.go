package faults

import (
	"fmt"
	"io"
	"sync"
	"time"

	"glenport/internal/testbed/report"
)

// Log prints lines that begin with the seconds since the start of the scenario.
type Log struct {
	startedAt time.Time
	mu        sync.Mutex
	out       io.Writer
}

// NewLog returns a log for a scenario that starts now.
func NewLog(out io.Writer) *Log { return &Log{startedAt: time.Now(), out: out} }

// Elapsed returns the time since the start of the scenario.
func (l *Log) Elapsed() time.Duration { return time.Since(l.startedAt) }

// Printf prints one line.
func (l *Log) Printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report.Printf(l.out, "%6.1f s  %s\n", l.Elapsed().Seconds(), fmt.Sprintf(format, args...))
}
