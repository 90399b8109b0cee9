// Package strictyaml reads YAML settings files strictly: unknown keys, duplicate keys, values without their unit and
// further documents are errors. Every error is an [*Error] with file, line, column and key. Values remember their
// position in the file, so that a value found wrong later, beside other values, can still be located with
// [File.ErrorAt].
//
// The schema of a file is a struct whose fields have the types of this package, bound to keys by yaml tags. A key may
// be left out only where its field has the tag settings:"optional", or is a list, a map or a struct.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

const (
	settingsTag = "settings" // struct tag, with the value below on a field whose key may be left out
	optional    = "optional"
)

// File is a settings file that was read, with its syntax tree.
type File struct {
	Name     string
	root     ast.Node // as written
	spelling *spelling
}

// Read decodes the single document in data into the struct that into points to. The name of the file goes into errors,
// which are of type *Error.
func Read(name string, data []byte, into any) (*File, error) {
	return ReadWithAliases(name, data, into, Aliases{})
}

// ReadWithAliases is [Read] for a file that may have old spellings of keys and values. [File.Deprecations] returns
// those that it has. An old and the current spelling for the same key are an error.
func ReadWithAliases(name string, data []byte, into any, aliases Aliases) (*File, error) {
	f := &File{Name: name, spelling: &spelling{}}
	documents := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := documents.Decode(new(any)); errors.Is(err, io.EOF) {
		return nil, &Error{File: name, Message: "is empty"}
	} else if err != nil {
		return nil, f.locate(err, data)
	}
	if err := f.decode(data, into, aliases); err != nil {
		return nil, err
	}
	if err := documents.Decode(new(any)); !errors.Is(err, io.EOF) {
		return nil, &Error{File: name, Message: "holds more than one document"}
	}
	return f, nil
}

// decode renames the old spellings of the first document and decodes it.
func (f *File) decode(data []byte, into any, aliases Aliases) (err error) {
	if f.root, err = parse(data); err != nil {
		return f.locate(err, data)
	}
	renamed, err := parse(data)
	if err != nil {
		return f.locate(err, data)
	}
	if f.spelling, err = rename(f, renamed, aliases); err != nil {
		return err
	}
	if err := yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict()).DecodeFromNode(renamed, into); err != nil {
		return f.locate(err, data)
	}
	return nil
}

// parse returns the syntax tree of the first document.
func parse(data []byte) (ast.Node, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, err
	}
	for _, document := range tree.Docs {
		if document.Body != nil && document.Body.Type() != ast.CommentType {
			return document.Body, nil
		}
	}
	return nil, io.EOF
}

// Deprecations returns the old spellings in the file, in the order of their lines.
func (f *File) Deprecations() []Deprecation { return f.spelling.deprecations }

// KeyName returns the path of a key as the file spells it, or would spell it if it had the key. The path given is in
// the current spelling.
func (f *File) KeyName(path string) string { return f.spelling.key(path) }

// ValueName returns a value of a key as the file would spell it. Path and value are given in the current spelling.
func (f *File) ValueName(path, value string) string {
	if !f.spelling.old() {
		return value
	}
	return f.spelling.aliases.oldValue(withoutIndices(path), value)
}

// locate turns an error of the YAML package into an *Error. The key is known only where the file is syntactically
// correct.
func (f *File) locate(err error, data []byte) error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil || located.GetToken().Position == nil {
		return &Error{File: f.Name, Message: err.Error(), cause: err}
	}
	if f.root == nil {
		if root, err := parse(data); err == nil {
			f.root = root
		}
	}
	at := positionOf(located.GetToken())
	return &Error{File: f.Name, Position: at, Key: f.keyAt(at), Message: located.GetMessage(), cause: err}
}

// ErrorAt returns an *Error about the value at the given position. It wraps the operand of a %w in the format.
func (f *File) ErrorAt(at Position, format string, args ...any) error {
	err := fmt.Errorf(format, args...)
	return &Error{File: f.Name, Position: at, Key: f.keyAt(at), Message: err.Error(), cause: errors.Unwrap(err)}
}

// MissingKey returns an *Error about a key left out of the mapping at a path such as "machine_list" or
// "machines.machine_types[0]"; the path of the top is empty. The error is located at the first key of the mapping, and
// names the key as the file would spell it.
func (f *File) MissingKey(mapping, key string) error {
	full := f.KeyName(joinPath(mapping, key))
	expression := "$"
	if parent, _ := splitPath(full); parent != "" {
		expression = "$." + parent
	}
	return &Error{File: f.Name, Position: f.mappingPosition(expression), Key: full, Message: full + " is missing"}
}

// mappingPosition returns where the mapping at a YAML path begins, and the beginning of the file where there is none.
func (f *File) mappingPosition(expression string) Position {
	start := Position{Line: 1, Column: 1}
	path, err := yaml.PathString(expression)
	if err != nil {
		return start
	}
	node, err := path.FilterNode(f.root)
	if err != nil || node == nil || node.GetToken() == nil {
		return start
	}
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return positionOf(mapping.Values[0].Key.GetToken())
	}
	return positionOf(node.GetToken())
}

// keyAt returns the path of the key or value at a position, such as "machines.machine_types[0].cores".
func (f *File) keyAt(at Position) string {
	if f.root == nil || !at.IsSet() {
		return ""
	}
	finder := &keyFinder{at: at}
	ast.Walk(finder, f.root)
	return finder.key
}

// keyFinder visits a syntax tree for the innermost node at a position.
type keyFinder struct {
	at  Position
	key string
}

// Visit implements ast.Visitor.
func (k *keyFinder) Visit(node ast.Node) ast.Visitor {
	if token := node.GetToken(); token != nil && positionOf(token) == k.at {
		if key := strings.TrimPrefix(strings.TrimPrefix(node.GetPath(), "$"), "."); key != "" {
			k.key = key
		}
	}
	return k
}

// OneOf returns the index of a value among those allowed, and an error where it is none of them.
func OneOf(f *File, value String, allowed ...string) (int, error) {
	for i, candidate := range allowed {
		if value.Value == candidate {
			return i, nil
		}
	}
	spelled := strings.Join(f.spelling.allowed(value.Position, allowed), ", ")
	return 0, f.ErrorAt(value.Position, "%q is none of %s", value.Value, spelled)
}

// CheckRequired returns an error about the first field of a mapping, a struct of this package's types, that was left
// out though its key is required. The path is that of the mapping, as for [File.MissingKey].
func CheckRequired(f *File, path string, mapping any) error {
	value := reflect.ValueOf(mapping)
	for i := range value.NumField() {
		field := value.Type().Field(i)
		setting, ok := reflect.TypeAssert[interface{ IsSet() bool }](value.Field(i))
		if !ok || setting.IsSet() || field.Tag.Get(settingsTag) == optional {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return f.MissingKey(path, key)
	}
	return nil
}
