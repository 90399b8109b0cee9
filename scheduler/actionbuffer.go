package scheduler

import (
	"log/slog"
	"math"
)

// actionBuffer collects the actions of a batch in the order of the decisions. Components that log share the
// coordinator's buffer, so that log messages keep their position among the actions.
type actionBuffer struct{ actions []Action }

// reset begins a batch. It does not reuse the slice of the last batch, because the caller of Handle owns that.
func (b *actionBuffer) reset() { b.actions = nil }

func (b *actionBuffer) batchActions() []Action { return b.actions }

func (b *actionBuffer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *actionBuffer) log(message string, attributes ...slog.Attr) {
	b.emit(Log{Message: message, Attributes: attributes})
}

func (b *actionBuffer) logMachine(message string, m *machine, attributes ...slog.Attr) {
	b.log(message, append([]slog.Attr{slog.String("machine", string(m.id))}, attributes...)...)
}

// roundedAttr returns a log attribute with two decimals.
func roundedAttr(key string, x float64) slog.Attr { return slog.Float64(key, math.Round(x*100)/100) }
