package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/token"
)

// Error says what is wrong with a file, and where.
type Error struct {
	File     string
	Position // zero where the whole file is meant
	// Key is the path of the key as the file spells it, such as "workload_classes[0].name"; empty if it is not known.
	Key     string
	Message string

	cause error // of the YAML package or the operating system, where there is one
}

// Error returns file, line, column and message.
func (e *Error) Error() string {
	if !e.IsSet() {
		return fmt.Sprintf("%s: %s", e.File, e.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Unwrap returns the cause: an error of the YAML package or the operating system, nil where a check of this program
// failed.
func (e *Error) Unwrap() error { return e.cause }

// Position is the place of a value in its file, both parts counted from 1; the zero Position is that of a value left
// out.
type Position struct{ Line, Column int }

// IsSet reports whether the value was given.
func (p Position) IsSet() bool { return p.Line > 0 }

func positionOf(t *token.Token) Position {
	if t.Position == nil {
		return Position{}
	}
	return Position{Line: t.Position.Line, Column: t.Position.Column}
}

// syntaxError is an error about a token from within a decode: the YAML package passes it on, and Read locates it.
func syntaxError(t *token.Token, format string, args ...any) error {
	return &yaml.SyntaxError{Message: fmt.Sprintf(format, args...), Token: t}
}
