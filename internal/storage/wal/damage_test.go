package wal

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"strings"
	"testing"

	"glenport/internal/golden"
)

// goType matches names of Go types in errors of the CBOR library, which are not recorded.
var goType = regexp.MustCompile(`\*?\b[a-z]+\.[A-Z]\w*`)

// damageTrial loads a directory with one damaged file at a time, and adds the results to a digest.
type damageTrial struct {
	files          map[string][]byte
	skipChecksums  bool
	digest         *golden.Digest
	cases, refused int
}

// load loads the directory with one file replaced by data, or removed if data is nil.
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
	d.digest.Printf("%s %s %t %t\n", name, text, errors.As(err, &corruption), errors.As(err, &unsupported))
	if !d.skipChecksums || err == nil {
		d.digest.Printf("%s", describeState(t, state))
	}
}

func (d *damageTrial) flipBits(t *testing.T, name string, data []byte) {
	t.Helper()
	for i := range data {
		flipped := bytes.Clone(data)
		flipped[i] ^= 1 << (i % 8)
		d.load(t, name, flipped)
	}
}

func (d *damageTrial) truncate(t *testing.T, name string, data []byte) {
	t.Helper()
	for size := range data {
		d.load(t, name, data[:size:size])
	}
}

func (d *damageTrial) remove(t *testing.T, name string, _ []byte) {
	t.Helper()
	d.load(t, name, nil)
}

// damageDigests loads each golden folder with a bit flipped in each byte in turn, with each file missing, and with each
// file truncated to every length. It returns digests of the results.
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
			{"cut short", (*damageTrial).truncate, false},
			{"missing", (*damageTrial).remove, false},
			{"flipped bit, checksums ignored", (*damageTrial).flipBits, true},
		} {
			d := &damageTrial{
				files: goldenFiles(t, folder), skipChecksums: damage.skipChecksums, digest: golden.NewDigest(),
			}
			for _, name := range sortedNames(d.files) {
				damage.apply(d, t, name, d.files[name])
			}
			fmt.Fprintf(&out, "%s, %s: %d cases, %d refused, digest %s\n",
				folder, damage.name, d.cases, d.refused, d.digest.Sum())
		}
	}
	return out.String()
}

// Loading damaged folders has the recorded results: which damage is refused with which error and position, and which
// state is loaded otherwise.
func TestDamagedGoldenFoldersLoadAsRecorded(t *testing.T) {
	golden.CheckText(t, "testdata/damage.txt", damageDigests(t))
}
