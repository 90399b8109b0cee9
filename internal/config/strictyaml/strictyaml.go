// Package strictyaml reads YAML files so that every fault is told with its line and column. Values know where
// they stand: what is wrong only beside others can still be pointed at.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Error is what is wrong with a file, and where.
type Error struct {
	File         string
	Line, Column int
	Message         string
}

func (f *Error) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Position is where a value stands; the zero Place is that of one left out.
type Position struct{ Line, Column int }

// IsSet tells whether the value was given.
func (p Position) IsSet() bool { return p.Line > 0 }

// File is one file that was read.
type File struct {
	Name string
	root ast.Node
}

// Read decodes a file strictly: unknown and doubled keys are faults.
func Read(name string, data []byte, into any) (*File, error) {
	f := &File{Name: name}
	d := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := d.Decode(into); err == io.EOF {
		return nil, &Error{File: name, Message: "is empty"}
	} else if err != nil {
		return nil, f.locate(err)
	}
	if err := d.Decode(new(any)); err != io.EOF {
		return nil, &Error{File: name, Message: "holds more than one document"}
	}
	path, err := yaml.PathString("$")
	if err != nil {
		return nil, err
	}
	if f.root, err = path.ReadNode(bytes.NewReader(data)); err != nil {
		return nil, f.locate(err)
	}
	return f, nil
}

func (f *File) locate(err error) error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil || located.GetToken().Position == nil {
		return &Error{File: f.Name, Message: err.Error()}
	}
	p := located.GetToken().Position
	return &Error{f.Name, p.Line, p.Column, located.GetMessage()}
}

// ErrorAt is a fault of the value that stands at p.
func (f *File) ErrorAt(p Position, format string, a ...any) error {
	return &Error{f.Name, p.Line, p.Column, fmt.Sprintf(format, a...)}
}

// MissingKey is a fault of a key left out; it points at the mapping that should hold it, by its path from the
// top, as "list" or "machines.kinds[0]".
func (f *File) MissingKey(in, key string) error {
	expr, at, text := "$", Position{1, 1}, key+" is missing"
	if in != "" {
		expr, text = "$."+in, in+"."+key+" is missing"
	}
	if path, err := yaml.PathString(expr); err == nil {
		if n, err := path.FilterNode(f.root); err == nil && n != nil && n.GetToken() != nil {
			tok := n.GetToken()
			if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
				tok = m.Values[0].Key.GetToken()
			}
			at = Position{tok.Position.Line, tok.Position.Column}
		}
	}
	return f.ErrorAt(at, "%s", text)
}

// scalar returns the text of a plain value.
func scalar(n ast.Node, what string) (string, *token.Token, Position, error) {
	tok := n.GetToken()
	at := Position{tok.Position.Line, tok.Position.Column}
	if _, ok := n.(ast.ScalarNode); !ok {
		return "", tok, at, syntaxError(tok, "a value is wanted here: %s", what)
	}
	return tok.Value, tok, at, nil
}

func syntaxError(tok *token.Token, format string, a ...any) error {
	return &yaml.SyntaxError{Message: fmt.Sprintf(format, a...), Token: tok}
}

// String is a text.
type String struct {
	Position
	Value string
}

func (w *String) UnmarshalYAML(n ast.Node) (err error) {
	w.Value, _, w.Position, err = scalar(n, "a word")
	return err
}

func (w String) String() string { return w.Value }

// Float is a plain number without a unit.
type Float struct {
	Position
	Value float64
}

func (v *Float) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "a number")
	if err != nil {
		return err
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return syntaxError(tok, "%q is no number", s)
	}
	v.Position, v.Value = at, f
	return nil
}

// Count is a whole number from 0.
type Count struct {
	Position
	Value int
}

func (v *Count) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "a whole number")
	if err != nil {
		return err
	}
	i, err := strconv.Atoi(s)
	if err != nil || i < 0 || i > 1_000_000_000 {
		return syntaxError(tok, "%q is no whole number from 0", s)
	}
	v.Position, v.Value = at, i
	return nil
}

// Bool is true or false.
type Bool struct {
	Position
	Value bool
}

func (v *Bool) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "true or false")
	if err != nil {
		return err
	}
	if s != "true" && s != "false" {
		return syntaxError(tok, "%q is neither true nor false", s)
	}
	v.Position, v.Value = at, s == "true"
	return nil
}

// Duration is a time in tenths of a millisecond, written with its unit.
type Duration struct {
	Position
	Ticks int64
}

var durationUnits = []unit{{"ms", 10}, {"min", 600_000}, {"s", 10_000}, {"h", 36_000_000}}

func (v *Duration) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "a span such as 250ms or 8s")
	if err != nil {
		return err
	}
	f, err := parseQuantity(s, durationUnits)
	if err != nil {
		return syntaxError(tok, "%v", err)
	}
	if f > 3.2e11 {
		return syntaxError(tok, "%q is longer than a year", s)
	}
	v.Position, v.Ticks = at, int64(math.Round(f))
	return nil
}

// Memory is in GiB, written with its unit.
type Memory struct {
	Position
	GiB float64
}

var memoryUnits = []unit{{"KiB", 1.0 / (1 << 20)}, {"MiB", 1.0 / 1024}, {"GiB", 1}, {"TiB", 1024}}

func (v *Memory) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "memory such as 512MiB or 4GiB")
	if err != nil {
		return err
	}
	f, err := parseQuantity(s, memoryUnits)
	if err != nil {
		return syntaxError(tok, "%v", err)
	}
	v.Position, v.GiB = at, f
	return nil
}

type unit struct {
	name string
	size float64
}

func parseQuantity(s string, units []unit) (float64, error) {
	end := strings.LastIndexAny(s, "0123456789.") + 1
	f, err := strconv.ParseFloat(s[:end], 64)
	if err != nil || f < 0 || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%q is no amount from 0", s)
	}
	var names []string
	for _, u := range units {
		if s[end:] == u.name {
			return f * u.size, nil
		}
		names = append(names, u.name)
	}
	if s[end:] == "" {
		return 0, fmt.Errorf("%q has no unit; write one of %s after it", s, strings.Join(names, ", "))
	}
	return 0, fmt.Errorf("%q has the unit %q, which is none of %s", s, s[end:], strings.Join(names, ", "))
}

// OneOf finds a word among those allowed and returns its place there.
func OneOf(f *File, w String, words ...string) (int, error) {
	for i, x := range words {
		if w.Value == x {
			return i, nil
		}
	}
	return 0, f.ErrorAt(w.Position, "%q is none of %s", w.Value, strings.Join(words, ", "))
}

// CheckRequired returns a fault for the first field of a mapping that has no value. Fields tagged `settings:"may"`
// may be left out, and so may lists and maps.
func CheckRequired(f *File, path string, mapping any) error {
	v := reflect.ValueOf(mapping)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		p, ok := v.Field(i).Interface().(interface{ Set() bool })
		if !ok || p.Set() || field.Tag.Get("settings") == "may" {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return f.MissingKey(path, key)
	}
	return nil
}
