package warmstart

import "log/slog"

// Message is a line for the log: constant text and its attributes.
type Message struct {
	Text       string
	Attributes []slog.Attr
}
