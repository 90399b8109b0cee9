package platformcheck

import (
	"context"
	"log/slog"
)

// logChecker is the log handler of the process. A message at error level, such as an illegal state transition, is a
// violation.
type logChecker struct{ w *World }

// Enabled implements slog.Handler.
func (l *logChecker) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError || l.w.run.Trace != nil && level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (l *logChecker) Handle(_ context.Context, record slog.Record) error {
	text := record.Message
	record.Attrs(func(attribute slog.Attr) bool {
		text += " " + attribute.String()
		return true
	})
	if record.Level >= slog.LevelError {
		l.w.checker.report(ruleProcess, "the process logs an error: %s", text)
		return nil
	}
	l.w.tracef("log: %s", text)
	return nil
}

// WithAttrs implements slog.Handler; the process uses none.
func (l *logChecker) WithAttrs([]slog.Attr) slog.Handler { return l }

// WithGroup implements slog.Handler; the process uses none.
func (l *logChecker) WithGroup(string) slog.Handler { return l }
