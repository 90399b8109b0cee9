// Package golden folds the results of decision packages into digests that their tests compare with recorded ones, so
// that a refactoring which changes a decision, its order or its time turns a test red.
//
// A digest depends on values and their order alone, not on the names of types and fields: it survives a rename or a
// move. Each record has an ordinal that the test gives its type and never changes. Struct fields count by position, so
// a field that is added, removed or moved changes the digest. Only tests import this package; a test's flag -update
// records its digests anew, which a refactoring never needs.
package golden

import (
	"crypto/sha256"
	"encoding/binary"
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

var update = flag.Bool("update", false, "record the digests anew")

// Digest folds records into a SHA-256 sum.
type Digest struct {
	sum     hash.Hash
	records int
}

// NewDigest returns an empty digest.
func NewDigest() *Digest { return &Digest{sum: sha256.New()} }

// Add folds one record: a stable ordinal of its type and its values in order.
func (d *Digest) Add(ordinal int, values ...any) {
	d.records++
	d.number(uint64(ordinal))
	d.number(uint64(len(values)))
	for _, v := range values {
		d.fold(reflect.ValueOf(v))
	}
}

// Line is the recorded form of the digest: a name, the number of records and the sum.
func (d *Digest) Line(name string) string {
	return fmt.Sprintf("%s: %d %x", name, d.records, d.sum.Sum(nil))
}

// Check compares lines with those recorded in a file, or records them where the flag -update is given.
func Check(t testing.TB, file string, lines []string) {
	t.Helper()
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	recorded := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	for i := range max(len(lines), len(recorded)) {
		if i >= len(lines) || i >= len(recorded) || lines[i] != recorded[i] {
			t.Errorf("digest %d differs\ngot  %q\nwant %q", i, at(lines, i), at(recorded, i))
		}
	}
}

func at(lines []string, i int) string {
	if i >= len(lines) {
		return ""
	}
	return lines[i]
}

func (d *Digest) number(n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	d.sum.Write(b[:]) // a hash returns no error
}

func (d *Digest) text(s string) {
	d.number(uint64(len(s)))
	d.sum.Write([]byte(s))
}

// fold walks a value: struct fields by position, maps in the order of their keys.
func (d *Digest) fold(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			d.number(1)
		} else {
			d.number(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.number(v.Uint())
	case reflect.Float32, reflect.Float64:
		d.number(math.Float64bits(v.Float()))
	case reflect.String:
		d.text(v.String())
	case reflect.Slice, reflect.Array:
		d.number(uint64(v.Len()))
		for i := range v.Len() {
			d.fold(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			d.fold(v.Field(i))
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
	d.number(uint64(len(keys)))
	for _, k := range keys {
		if k.Kind() != reflect.String {
			panic("golden: only maps with text keys are folded")
		}
		d.text(k.String())
		d.fold(v.MapIndex(k))
	}
}
