package strictyaml

import (
	"fmt"
	"math"
	"strconv"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

const (
	maxCount         = 1_000_000_000
	maxDurationTicks = 3.2e11 // slightly more than a year
)

// scalarToken returns the token of a scalar node, which holds its text. The parameter expected describes the value in
// the error for any other node.
func scalarToken(node ast.Node, expected string) (*token.Token, error) {
	t := node.GetToken()
	if _, ok := node.(ast.ScalarNode); !ok {
		return nil, syntaxError(t, "a value is wanted here: %s", expected)
	}
	return t, nil
}

// decodeScalar sets at and value from a scalar node. It leaves both unchanged if parse returns an error.
func decodeScalar[T any](node ast.Node, expected string, at *Position, value *T, parse func(string) (T, error)) error {
	t, err := scalarToken(node, expected)
	if err != nil {
		return err
	}
	parsed, err := parse(t.Value)
	if err != nil {
		return syntaxError(t, "%v", err)
	}
	*at, *value = positionOf(t), parsed
	return nil
}

// String is arbitrary text.
type String struct {
	Position
	Value string
}

// UnmarshalYAML reads any scalar as text.
func (s *String) UnmarshalYAML(node ast.Node) error {
	t, err := scalarToken(node, "a word")
	if err != nil {
		return err
	}
	s.Position, s.Value = positionOf(t), t.Value
	return nil
}

// String returns the text.
func (s String) String() string { return s.Value }

// Float is a finite number without a unit.
type Float struct {
	Position
	Value float64
}

// UnmarshalYAML reads a finite number.
func (v *Float) UnmarshalYAML(node ast.Node) error {
	return decodeScalar(node, "a number", &v.Position, &v.Value, parseFloat)
}

func parseFloat(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, fmt.Errorf("%q is no number", text)
	}
	return number, nil
}

// Count is an integer from 0 to 1,000,000,000.
type Count struct {
	Position
	Value int
}

// UnmarshalYAML reads an integer from 0 to 1,000,000,000.
func (v *Count) UnmarshalYAML(node ast.Node) error {
	return decodeScalar(node, "a whole number", &v.Position, &v.Value, parseCount)
}

func parseCount(text string) (int, error) {
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number > maxCount {
		return 0, fmt.Errorf("%q is no whole number from 0", text)
	}
	return number, nil
}

// Bool is true or false; no other spelling is accepted.
type Bool struct {
	Position
	Value bool
}

// UnmarshalYAML reads true or false.
func (v *Bool) UnmarshalYAML(node ast.Node) error {
	return decodeScalar(node, "true or false", &v.Position, &v.Value, parseBool)
}

func parseBool(text string) (bool, error) {
	if text != "true" && text != "false" {
		return false, fmt.Errorf("%q is neither true nor false", text)
	}
	return text == "true", nil
}

// Duration is a length of time, written with one of the units ms, s, min and h.
type Duration struct {
	Position
	Ticks int64 // of 100 microseconds each, as in package eventloop and package scheduler
}

// UnmarshalYAML reads a duration with its unit.
func (v *Duration) UnmarshalYAML(node ast.Node) error {
	return decodeScalar(node, "a span such as 250ms or 8s", &v.Position, &v.Ticks, parseDuration)
}

func parseDuration(text string) (int64, error) {
	ticks, err := parseQuantity(text, durationUnits)
	if err != nil {
		return 0, err
	}
	if ticks > maxDurationTicks {
		return 0, fmt.Errorf("%q is longer than a year", text)
	}
	return int64(math.Round(ticks)), nil
}

// Memory is an amount of memory, written with one of the units KiB, MiB, GiB and TiB.
type Memory struct {
	Position
	GiB float64
}

// UnmarshalYAML reads an amount of memory with its unit.
func (v *Memory) UnmarshalYAML(node ast.Node) error {
	return decodeScalar(node, "memory such as 512MiB or 4GiB", &v.Position, &v.GiB, parseMemory)
}

func parseMemory(text string) (float64, error) { return parseQuantity(text, memoryUnits) }
