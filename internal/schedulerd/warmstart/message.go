package warmstart

import "log/slog"

// Message is a log line: a constant text and its attributes.
type Message struct {
	Text       string
	Attributes []slog.Attr
}
