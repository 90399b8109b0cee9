// Package golden compares test results with results recorded in testdata. A refactoring that changes a decision, its
// order or its time therefore fails a test. Large sets of results are recorded as a hash (a digest), small ones as
// text.
//
// A digest depends only on values and their order, not on the names of types and fields, so it survives renames and
// moves. Each type of record has an ordinal, which the test defines and never changes. Struct fields are hashed by
// position, so adding, removing or moving a field changes the digest. Add hashes a record including its number of
// values. A test whose recorded digests have another format uses Numbers, Text, Value, Bytes and Printf, which add
// nothing to the format on their own.
//
// Only tests import this package. The test flag -update overwrites the recorded files, which a refactoring never needs.
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

var update = flag.Bool("update", false, "overwrite the recorded files in testdata")

// maxDifferences is the maximum number of differing lines in a failure message.
const maxDifferences = 20

// Updating reports whether the flag -update is set, so that the recorded files are overwritten. Tests that record more
// than a text, such as a folder, call it themselves.
func Updating() bool { return *update }

// CheckText compares a text byte for byte, including its last line end, with a recorded file. With the flag -update, it
// overwrites the file instead.
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
		tb.Errorf("%s: the result differs from the recorded one\n%s", file, differences(got, string(want)))
	}
}

// Check compares lines with a recorded file, as CheckText does.
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

// differences lists the lines that differ, with their line ends, and the total numbers of differing, actual and
// recorded lines.
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

// Digest hashes values into a SHA-256 sum.
type Digest struct {
	sum     hash.Hash
	records int // number of records that were added or counted
}

// NewDigest returns an empty digest.
func NewDigest() *Digest { return &Digest{sum: sha256.New()} }

// Add hashes one record: the stable ordinal of its type, the number of its values, and the values in order.
func (d *Digest) Add(ordinal int, values ...any) {
	d.records++
	d.Numbers(uint64(ordinal), uint64(len(values)))
	for _, v := range values {
		d.Value(v)
	}
}

// Count increases the number of records without hashing anything.
func (d *Digest) Count(records int) { d.records += records }

// Numbers hashes each number as eight bytes in big-endian order.
func (d *Digest) Numbers(numbers ...uint64) {
	for _, n := range numbers {
		d.sum.Write(binary.BigEndian.AppendUint64(nil, n))
	}
}

// Text hashes the length of a text and its bytes.
func (d *Digest) Text(s string) {
	d.Numbers(uint64(len(s)))
	d.sum.Write([]byte(s))
}

// Value hashes a value of a basic, slice, array, struct or map type. A bool is hashed as the number 1 or 0, a struct by
// the position of its fields, a map in the order of its keys. Value panics on other kinds, such as pointers.
func (d *Digest) Value(v any) { d.hashValue(reflect.ValueOf(v)) }

// Bytes hashes bytes without their length.
func (d *Digest) Bytes(p []byte) { d.sum.Write(p) }

// Printf hashes formatted text without its length.
func (d *Digest) Printf(format string, args ...any) { d.Bytes(fmt.Appendf(nil, format, args...)) }

// Records returns the number of records that were added or counted.
func (d *Digest) Records() int { return d.records }

// Sum returns the hash of all values so far, in hexadecimal digits.
func (d *Digest) Sum() string { return hex.EncodeToString(d.sum.Sum(nil)) }

// Line returns a recorded form of the digest: a name, the number of records and the hash.
func (d *Digest) Line(name string) string { return fmt.Sprintf("%s: %d %s", name, d.records, d.Sum()) }

// Summary returns another recorded form: the number of records, the given noun for them, and the hash.
func (d *Digest) Summary(noun string) string {
	return fmt.Sprintf("%d %s, sha256 %s", d.records, noun, d.Sum())
}

// hashValue hashes a value by its kind.
func (d *Digest) hashValue(v reflect.Value) {
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
			d.hashValue(v.Index(i))
		}
	case reflect.Struct:
		for _, field := range v.Fields() {
			d.hashValue(field)
		}
	case reflect.Map:
		d.hashMap(v)
	default:
		panic(fmt.Sprintf("golden: values of kind %s cannot be hashed", v.Kind()))
	}
}

func (d *Digest) hashMap(v reflect.Value) {
	keys := v.MapKeys()
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	d.Numbers(uint64(len(keys)))
	for _, k := range keys {
		if k.Kind() != reflect.String {
			panic("golden: only maps with string keys can be hashed")
		}
		d.Text(k.String())
		d.hashValue(v.MapIndex(k))
	}
}
