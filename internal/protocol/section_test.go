package protocol

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/testutil"
)

// writeValues writes the values of a frame in their order on the wire, under their names in docs/protocol.md, which the
// cbor tags hold.
func writeValues(out *strings.Builder, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		writeValues(out, path, v.Elem())
	case reflect.Struct:
		writeStruct(out, path, v)
	case reflect.Slice:
		if v.IsNil() {
			fmt.Fprintf(out, "%s = none\n", path)
		}
		for i := range v.Len() {
			writeValues(out, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		writeMap(out, path, v)
	case reflect.String:
		fmt.Fprintf(out, "%s = %q\n", path, v.String())
	case reflect.Bool:
		fmt.Fprintf(out, "%s = %t\n", path, v.Bool())
	case reflect.Float64:
		fmt.Fprintf(out, "%s = %v\n", path, v.Float())
	case reflect.Int, reflect.Int64:
		fmt.Fprintf(out, "%s = %d\n", path, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint32, reflect.Uint64:
		fmt.Fprintf(out, "%s = %d\n", path, v.Uint())
	default:
		panic("a frame holds a " + v.Kind().String())
	}
}

func writeStruct(out *strings.Builder, path string, v reflect.Value) {
	for field, value := range v.Fields() {
		if field.Name == "_" {
			continue
		}
		name := field.Name
		if tag := field.Tag.Get("cbor"); tag != "" {
			name = tag
		}
		writeValues(out, path+"."+name, value)
	}
}

func writeMap(out *strings.Builder, path string, v reflect.Value) {
	if v.IsNil() {
		fmt.Fprintf(out, "%s = none\n", path)
	}
	keys := v.MapKeys()
	sort.Slice(keys, func(a, b int) bool { return keys[a].String() < keys[b].String() })
	for _, k := range keys {
		writeValues(out, fmt.Sprintf("%s[%s]", path, k), v.MapIndex(k))
	}
}

func describe(f Frame) string {
	var out strings.Builder
	writeValues(&out, "", reflect.ValueOf(f))
	return out.String()
}

// section is one entry of a golden file, with a title, lines of text, and bytes.
type section struct {
	title, text string
	bytes       []byte
}

func readSections(t *testing.T, file string) []section {
	t.Helper()
	content := testutil.ReadFile(t, file)
	var all []section
	for _, part := range strings.Split(string(content), "\n== ")[1:] {
		title, rest, _ := strings.Cut(part, "\n")
		text, code, ok := strings.Cut("\n"+rest, "\nbytes ")
		testutil.Require(t, ok, "%s: %s has no bytes", file, title)
		raw, err := hex.DecodeString(strings.Join(strings.Fields(code), ""))
		testutil.Require(t, err == nil, "%s: %s: %v", file, title, err)
		if text != "" {
			text = text[1:] + "\n"
		}
		all = append(all, section{title, text, raw})
	}
	return all
}

// recordedSections returns the sections of a golden file. They must have the titles of the known sections, in the same
// order. With the flag -update, it first writes the known sections to the file.
func recordedSections(t *testing.T, file, head string, known []section) []section {
	t.Helper()
	if golden.Updating() {
		writeSections(t, file, head, known)
	}
	recorded := readSections(t, file)
	testutil.Require(t, len(recorded) == len(known), "%d sections are recorded, %d known", len(recorded), len(known))
	for i, want := range recorded {
		testutil.Require(t, want.title == known[i].title, "%s is recorded in place of %s", want.title, known[i].title)
	}
	return recorded
}

func writeSections(t *testing.T, file, head string, all []section) {
	t.Helper()
	out := strings.Builder{}
	out.WriteString(head)
	for _, s := range all {
		fmt.Fprintf(&out, "\n== %s\n%sbytes ", s.title, s.text)
		for rest := s.bytes; len(rest) > 0; {
			n := min(len(rest), 48)
			fmt.Fprintf(&out, "%x\n", rest[:n])
			rest = rest[n:]
		}
		if len(s.bytes) == 0 {
			out.WriteString("\n")
		}
	}
	testutil.WriteFile(t, file, []byte(out.String()))
}
