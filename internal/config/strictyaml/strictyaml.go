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

// Fault is what is wrong with a file, and where.
type Fault struct {
	File         string
	Line, Column int
	Text         string
}

func (f *Fault) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Place is where a value stands; the zero Place is that of one left out.
type Place struct{ Line, Column int }

// Set tells whether the value was given.
func (p Place) Set() bool { return p.Line > 0 }

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
		return nil, &Fault{File: name, Text: "is empty"}
	} else if err != nil {
		return nil, f.wrap(err)
	}
	if err := d.Decode(new(any)); err != io.EOF {
		return nil, &Fault{File: name, Text: "holds more than one document"}
	}
	path, err := yaml.PathString("$")
	if err != nil {
		return nil, err
	}
	if f.root, err = path.ReadNode(bytes.NewReader(data)); err != nil {
		return nil, f.wrap(err)
	}
	return f, nil
}

func (f *File) wrap(err error) error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil || located.GetToken().Position == nil {
		return &Fault{File: f.Name, Text: err.Error()}
	}
	p := located.GetToken().Position
	return &Fault{f.Name, p.Line, p.Column, located.GetMessage()}
}

// At is a fault of the value that stands at p.
func (f *File) At(p Place, format string, a ...any) error {
	return &Fault{f.Name, p.Line, p.Column, fmt.Sprintf(format, a...)}
}

// Missing is a fault of a key left out; it points at the mapping that should hold it, by its path from the
// top, as "list" or "machines.kinds[0]".
func (f *File) Missing(in, key string) error {
	expr, at, text := "$", Place{1, 1}, key+" is missing"
	if in != "" {
		expr, text = "$."+in, in+"."+key+" is missing"
	}
	if path, err := yaml.PathString(expr); err == nil {
		if n, err := path.FilterNode(f.root); err == nil && n != nil && n.GetToken() != nil {
			tok := n.GetToken()
			if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
				tok = m.Values[0].Key.GetToken()
			}
			at = Place{tok.Position.Line, tok.Position.Column}
		}
	}
	return f.At(at, "%s", text)
}

// scalar returns the text of a plain value.
func scalar(n ast.Node, what string) (string, *token.Token, Place, error) {
	tok := n.GetToken()
	at := Place{tok.Position.Line, tok.Position.Column}
	if _, ok := n.(ast.ScalarNode); !ok {
		return "", tok, at, fault(tok, "a value is wanted here: %s", what)
	}
	return tok.Value, tok, at, nil
}

func fault(tok *token.Token, format string, a ...any) error {
	return &yaml.SyntaxError{Message: fmt.Sprintf(format, a...), Token: tok}
}

// Word is a text.
type Word struct {
	Place
	Text string
}

func (w *Word) UnmarshalYAML(n ast.Node) (err error) {
	w.Text, _, w.Place, err = scalar(n, "a word")
	return err
}

func (w Word) String() string { return w.Text }

// Number is a plain number without a unit.
type Number struct {
	Place
	Value float64
}

func (v *Number) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "a number")
	if err != nil {
		return err
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return fault(tok, "%q is no number", s)
	}
	v.Place, v.Value = at, f
	return nil
}

// Count is a whole number from 0.
type Count struct {
	Place
	Value int
}

func (v *Count) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "a whole number")
	if err != nil {
		return err
	}
	i, err := strconv.Atoi(s)
	if err != nil || i < 0 || i > 1_000_000_000 {
		return fault(tok, "%q is no whole number from 0", s)
	}
	v.Place, v.Value = at, i
	return nil
}

// Flag is true or false.
type Flag struct {
	Place
	Value bool
}

func (v *Flag) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "true or false")
	if err != nil {
		return err
	}
	if s != "true" && s != "false" {
		return fault(tok, "%q is neither true nor false", s)
	}
	v.Place, v.Value = at, s == "true"
	return nil
}

// Span is a time in tenths of a millisecond, written with its unit.
type Span struct {
	Place
	Tenths int64
}

var spanUnits = []unit{{"ms", 10}, {"min", 600_000}, {"s", 10_000}, {"h", 36_000_000}}

func (v *Span) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "a span such as 250ms or 8s")
	if err != nil {
		return err
	}
	f, err := measure(s, spanUnits)
	if err != nil {
		return fault(tok, "%v", err)
	}
	if f > 3.2e11 {
		return fault(tok, "%q is longer than a year", s)
	}
	v.Place, v.Tenths = at, int64(math.Round(f))
	return nil
}

// Memory is in GiB, written with its unit.
type Memory struct {
	Place
	GiB float64
}

var memoryUnits = []unit{{"KiB", 1.0 / (1 << 20)}, {"MiB", 1.0 / 1024}, {"GiB", 1}, {"TiB", 1024}}

func (v *Memory) UnmarshalYAML(n ast.Node) error {
	s, tok, at, err := scalar(n, "memory such as 512MiB or 4GiB")
	if err != nil {
		return err
	}
	f, err := measure(s, memoryUnits)
	if err != nil {
		return fault(tok, "%v", err)
	}
	v.Place, v.GiB = at, f
	return nil
}

type unit struct {
	name string
	size float64
}

func measure(s string, units []unit) (float64, error) {
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

// Choose finds a word among those allowed and returns its place there.
func Choose(f *File, w Word, words ...string) (int, error) {
	for i, x := range words {
		if w.Text == x {
			return i, nil
		}
	}
	return 0, f.At(w.Place, "%q is none of %s", w.Text, strings.Join(words, ", "))
}

// Needed returns a fault for the first field of a mapping that has no value. Fields tagged `settings:"may"`
// may be left out, and so may lists and maps.
func Needed(f *File, path string, mapping any) error {
	v := reflect.ValueOf(mapping)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		p, ok := v.Field(i).Interface().(interface{ Set() bool })
		if !ok || p.Set() || field.Tag.Get("settings") == "may" {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return f.Missing(path, key)
	}
	return nil
}
