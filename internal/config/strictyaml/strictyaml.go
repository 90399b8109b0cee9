// Package strictyaml reads YAML settings files strictly: unknown keys, duplicate keys, values without their unit and
// additional documents are errors. Every error is an [*Error] with file, line, column and key. Each value keeps its
// position in the file, so that a later check, such as one against other values, can report the position with
// [File.ErrorAt].
//
// The schema of a file is a struct whose fields have the types of this package and are bound to keys by yaml tags. A
// key may be omitted only if its field has the tag settings:"optional", or is a list, a map or a struct.
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
	settingsTag = "settings" // name of the struct tag
	optional    = "optional" // value of the tag on a field whose key may be omitted
)

// File is a settings file that has been read.
type File struct {
	Name     string
	root     ast.Node // syntax tree of the file as written: old spellings are not replaced
	spelling *spelling
}

// Read decodes the single document in data into the struct that into points to. Its errors are of type *Error and
// contain the name of the file.
func Read(name string, data []byte, into any) (*File, error) {
	return ReadWithAliases(name, data, into, Aliases{})
}

// ReadWithAliases is [Read] for a file that may contain old spellings of keys and values. [File.Deprecations] returns
// the old spellings found. A mapping that has a key in both its old and its current spelling is an error.
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

// decode replaces the old spellings in the first document and decodes it.
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

// parse returns the syntax tree of the first document, and io.EOF if there is none.
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

// Deprecations returns the old spellings in the file, ordered by line.
func (f *File) Deprecations() []Deprecation { return f.spelling.deprecations }

// KeyName returns the path of a key in the spelling that the file uses. The parameter is the path in the current
// spelling. Keys of the path that the file does not have are in the old spelling if the file uses only old spellings.
func (f *File) KeyName(path string) string { return f.spelling.keyName(path) }

// ValueName returns a value of a key: in the old spelling if the file uses only old spellings, otherwise in the current
// one. The parameters are in the current spelling.
func (f *File) ValueName(path, value string) string {
	if !f.spelling.onlyOld() {
		return value
	}
	return f.spelling.aliases.oldValue(withoutIndices(path), value)
}

// locate converts an error of the YAML package to an *Error. The key is known only if the file is syntactically
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

// ErrorAt returns an *Error about the value at a position. It wraps the operand of a %w in the format.
func (f *File) ErrorAt(at Position, format string, args ...any) error {
	err := fmt.Errorf(format, args...)
	return &Error{File: f.Name, Position: at, Key: f.keyAt(at), Message: err.Error(), cause: errors.Unwrap(err)}
}

// MissingKey returns an *Error about a key that is missing from the mapping at a path such as "machine_list" or
// "machines.machine_types[0]"; the path of the root mapping is empty. The error has the position of the first key of
// the mapping, and names the missing key as [File.KeyName] does.
func (f *File) MissingKey(mapping, key string) error {
	full := f.KeyName(joinPath(mapping, key))
	expression := "$"
	if parent, _ := splitPath(full); parent != "" {
		expression = "$." + parent
	}
	return &Error{File: f.Name, Position: f.mappingPosition(expression), Key: full, Message: full + " is missing"}
}

// mappingPosition returns the position of the mapping at a YAML path, or the start of the file if there is no such
// mapping.
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

// keyFinder walks a syntax tree to find the key of the innermost node at a position.
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

// OneOf returns the index of a value among the allowed ones, or an error if the value is not allowed.
func OneOf(f *File, value String, allowed ...string) (int, error) {
	for i, candidate := range allowed {
		if value.Value == candidate {
			return i, nil
		}
	}
	names := strings.Join(f.spelling.valueNames(value.Position, allowed), ", ")
	return 0, f.ErrorAt(value.Position, "%q is none of %s", value.Value, names)
}

// CheckRequired returns an error about the first required key that is missing from a mapping, which is a struct of this
// package's types. The parameter path is the path of the mapping, as for [File.MissingKey].
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
