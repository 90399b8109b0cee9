package scheduler

import (
	"log/slog"
	"math"
)

func (s *Scheduler) log(message string, attributes ...slog.Attr) {
	s.emit(Log{Message: message, Attributes: attributes})
}

func (s *Scheduler) logMachine(message string, m *machine, attributes ...slog.Attr) {
	s.log(message, append([]slog.Attr{slog.String("machine", string(m.id))}, attributes...)...)
}

// rounded keeps two decimals of a log attribute.
func rounded(key string, x float64) slog.Attr { return slog.Float64(key, math.Round(x*100)/100) }
