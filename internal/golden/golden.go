// Package golden compares what tests find with what is recorded in testdata, so that a refactoring which changes a
// decision, its order or its time turns a test red. Many results are folded into a digest; few are recorded as text.
//
// A digest depends on values and their order alone, not on the names of types and fields: it survives a rename or a
// move. Each record has an ordinal that the test gives its type and never changes. Struct fields count by position, so
// a field that is added, removed or moved changes the digest. Add folds a record with the number of its values; a test
// whose recorded digests were folded otherwise uses Numbers, Text, Value, Bytes and Printf, which add nothing of their
// own.
//
// Only tests import this package; a test's flag -update records its files anew, which a refactoring never needs.
package golden

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "record the files of testdata anew")

// maxDifferences is the number of differing lines that a failure prints.
const maxDifferences = 20

// Updating reports whether the flag -update asks for the recorded files to be written anew. Tests that record more than
// a text, such as a folder, ask it themselves.
func Updating() bool { return *update }

// CheckText compares a text byte for byte, its last line end included, with that recorded in a file, or records it
// where the flag -update is given.
func CheckText(tb testing.TB, file, got string) {
	tb.Helper()
	if *update {
		record(tb, file, got)
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		tb.Fatal(err)
	}
	if got != string(want) {
		tb.Errorf("%s differs from what is recorded\n%s", file, differences(got, string(want)))
	}
}

// Check compares lines with those recorded in a file as CheckText does.
func Check(tb testing.TB, file string, lines []string) {
	tb.Helper()
	CheckText(tb, file, strings.Join(lines, "\n")+"\n")
}

func record(tb testing.TB, file, text string) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		tb.Fatal(err)
	}
}

// differences lists the lines that differ, with their line ends, and the number of lines where that differs.
func differences(got, want string) string {
	gotLines, wantLines := strings.SplitAfter(got, "\n"), strings.SplitAfter(want, "\n")
	var text strings.Builder
	differing := 0
	for i := range max(len(gotLines), len(wantLines)) {
		gotLine, wantLine := lineAt(gotLines, i), lineAt(wantLines, i)
		if gotLine == wantLine && i < min(len(gotLines), len(wantLines)) {
			continue
		}
		if differing++; differing <= maxDifferences {
			fmt.Fprintf(&text, "line %d: got\n%q\nwant\n%q\n", i+1, gotLine, wantLine)
		}
	}
	fmt.Fprintf(&text, "differing lines: %d; lines: %d, recorded: %d", differing, len(gotLines), len(wantLines))
	return text.String()
}

func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return ""
	}
	return lines[i]
}

// Digest folds values into a SHA-256 sum.
type Digest struct {
	sum     hash.Hash
	records int
}

// NewDigest returns an empty digest.
func NewDigest() *Digest { return &Digest{sum: sha256.New()} }

// Add folds one record: a stable ordinal of its type, the number of its values, and the values in order.
func (d *Digest) Add(ordinal int, values ...any) {
	d.records++
	d.Numbers(uint64(ordinal), uint64(len(values)))
	for _, v := range values {
		d.Value(v)
	}
}

// Count adds to the number of records and folds nothing.
func (d *Digest) Count(records int) { d.records += records }

// Numbers folds each number as eight bytes, the highest first.
func (d *Digest) Numbers(numbers ...uint64) {
	for _, n := range numbers {
		d.sum.Write(binary.BigEndian.AppendUint64(nil, n))
	}
}

// Text folds the length of a text and its bytes.
func (d *Digest) Text(s string) {
	d.Numbers(uint64(len(s)))
	d.sum.Write([]byte(s))
}

// Value folds a value of any kind but pointers: a truth value as the number 1 or 0, struct fields by position, maps in
// the order of their keys.
func (d *Digest) Value(v any) { d.fold(reflect.ValueOf(v)) }

// Bytes folds bytes as they are.
func (d *Digest) Bytes(p []byte) { d.sum.Write(p) }

// Printf folds formatted text as it is.
func (d *Digest) Printf(format string, args ...any) { d.Bytes(fmt.Appendf(nil, format, args...)) }

// Records is the number of records that were added or counted.
func (d *Digest) Records() int { return d.records }

// Sum is the sum of all that was folded, in hexadecimal digits.
func (d *Digest) Sum() string { return hex.EncodeToString(d.sum.Sum(nil)) }

// Line is the recorded form of the digest: a name, the number of records and the sum.
func (d *Digest) Line(name string) string { return fmt.Sprintf("%s: %d %s", name, d.records, d.Sum()) }

// Summary is another recorded form: the number of records, what they are, and the sum.
func (d *Digest) Summary(records string) string {
	return fmt.Sprintf("%d %s, sha256 %s", d.records, records, d.Sum())
}

func (d *Digest) fold(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			d.Numbers(1)
		} else {
			d.Numbers(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.Numbers(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.Numbers(v.Uint())
	case reflect.Float32, reflect.Float64:
		d.Numbers(math.Float64bits(v.Float()))
	case reflect.String:
		d.Text(v.String())
	case reflect.Slice, reflect.Array:
		d.Numbers(uint64(v.Len()))
		for i := range v.Len() {
			d.fold(v.Index(i))
		}
	case reflect.Struct:
		for _, field := range v.Fields() {
			d.fold(field)
		}
	case reflect.Map:
		d.foldMap(v)
	default:
		panic(fmt.Sprintf("golden: values of kind %s are not folded", v.Kind()))
	}
}

func (d *Digest) foldMap(v reflect.Value) {
	keys := v.MapKeys()
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	d.Numbers(uint64(len(keys)))
	for _, k := range keys {
		if k.Kind() != reflect.String {
			panic("golden: only maps with text keys are folded")
		}
		d.Text(k.String())
		d.fold(v.MapIndex(k))
	}
}
