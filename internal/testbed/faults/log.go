package faults

import (
	"fmt"
	"io"
	"sync"
	"time"

	"glenport/internal/testbed/report"
)

// Log prints lines that begin with the seconds since the scenario began.
type Log struct {
	began time.Time
	mu    sync.Mutex
	out   io.Writer
}

// NewLog returns a log of a scenario that begins now.
func NewLog(out io.Writer) *Log { return &Log{began: time.Now(), out: out} }

// Elapsed returns the time since the scenario began.
func (l *Log) Elapsed() time.Duration { return time.Since(l.began) }

// Printf prints one line.
func (l *Log) Printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report.Printf(l.out, "%6.1f s  %s\n", l.Elapsed().Seconds(), fmt.Sprintf(format, args...))
}
