package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/token"
)

// Error describes a fault of a settings file and its position.
type Error struct {
	File     string
	Position // zero if the error concerns the whole file
	// Key is the path of the key in the spelling of the file, such as "workload_classes[0].name"; empty if unknown.
	Key     string
	Message string

	cause error // from the YAML package or the operating system; nil if there is none
}

// Error returns file, line, column and message.
func (e *Error) Error() string {
	if !e.IsSet() {
		return fmt.Sprintf("%s: %s", e.File, e.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Unwrap returns the underlying error of the YAML package or the operating system. It returns nil if a check of this
// program failed.
func (e *Error) Unwrap() error { return e.cause }

// Position is the position of a value in its file. Line and Column count from 1; the zero Position stands for a value
// that is not in the file.
type Position struct{ Line, Column int }

// IsSet reports whether the value is in the file.
func (p Position) IsSet() bool { return p.Line > 0 }

func positionOf(t *token.Token) Position {
	if t.Position == nil {
		return Position{}
	}
	return Position{Line: t.Position.Line, Column: t.Position.Column}
}

// syntaxError returns an error about a token for use in UnmarshalYAML. The YAML package returns it unchanged from the
// decoder, and [File.locate] converts it to an *Error.
func syntaxError(t *token.Token, format string, args ...any) error {
	return &yaml.SyntaxError{Message: fmt.Sprintf(format, args...), Token: t}
}
