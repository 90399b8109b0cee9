package wal

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"maps"
	"regexp"
	"strings"
	"testing"

	"glenport/internal/golden"
)

// goType matches Go's names of types in errors of the CBOR library: they are no part of what is recorded.
var goType = regexp.MustCompile(`\*?\b[a-z]+\.[A-Z]\w*`)

// fold adds text to a digest; a hash returns no errors.
func fold(digest hash.Hash, format string, arguments ...any) {
	if _, err := fmt.Fprintf(digest, format, arguments...); err != nil {
		panic(err)
	}
}

// damageTrial loads a directory with one file damaged at a time, and folds what came of it into a digest.
type damageTrial struct {
	files          map[string][]byte
	skipChecksums  bool
	digest         hash.Hash
	cases, refused int
}

// load replaces one file, or removes it when data is nil.
func (d *damageTrial) load(t *testing.T, name string, data []byte) {
	t.Helper()
	damaged := maps.Clone(d.files)
	if damaged[name] = data; data == nil {
		delete(damaged, name)
	}
	state, err := Load(directoryOf(t, damaged), d.skipChecksums)
	d.cases++
	if err != nil {
		d.refused++
	}
	var corruption *CorruptionError
	var unsupported *UnsupportedVersionError
	text := goType.ReplaceAllString(fmt.Sprint(err), "TYPE")
	fold(d.digest, "%s %s %t %t\n", name, text, errors.As(err, &corruption), errors.As(err, &unsupported))
	if !d.skipChecksums || err == nil {
		fold(d.digest, "%s", describeState(t, state))
	}
}

func (d *damageTrial) flipBits(t *testing.T, name string, data []byte) {
	for i := range data {
		flipped := bytes.Clone(data)
		flipped[i] ^= 1 << (i % 8)
		d.load(t, name, flipped)
	}
}

func (d *damageTrial) cutShort(t *testing.T, name string, data []byte) {
	for size := range data {
		d.load(t, name, data[:size:size])
	}
}

func (d *damageTrial) remove(t *testing.T, name string, _ []byte) { d.load(t, name, nil) }

// damageDigests loads each golden folder with each of its bytes damaged in turn, each of its files missing, and each
// cut short at every length.
func damageDigests(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	for _, folder := range goldenFolders {
		for _, damage := range []struct {
			name          string
			apply         func(d *damageTrial, t *testing.T, name string, data []byte)
			skipChecksums bool
		}{
			{"flipped bit", (*damageTrial).flipBits, false},
			{"cut short", (*damageTrial).cutShort, false},
			{"missing", (*damageTrial).remove, false},
			{"flipped bit, checksums ignored", (*damageTrial).flipBits, true},
		} {
			d := &damageTrial{files: goldenFiles(t, folder), skipChecksums: damage.skipChecksums, digest: sha256.New()}
			for _, name := range sortedNames(d.files) {
				damage.apply(d, t, name, d.files[name])
			}
			fmt.Fprintf(
				&out,
				"%s, %s: %d cases, %d refused, digest %x\n",
				folder,
				damage.name,
				d.cases,
				d.refused,
				d.digest.Sum(nil),
			)
		}
	}
	return out.String()
}

// What becomes of damage does not change: which is refused, with which error and place, and what is read in spite of
// it.
func TestDamageOfGoldenFoldersIsJudgedAlike(t *testing.T) {
	golden.CheckText(t, "testdata/damage.txt", damageDigests(t))
}
