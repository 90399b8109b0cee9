package wal

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/storage/faultfs"
	"glenport/internal/testutil"
)

const replacedFile = "testdata/replaced.bin" // magic GOLDENF, version 3, "what it holds"

// WriteChecksummed writes the recorded bytes, and ReadChecksummed reads them.
func TestReplacedFileKeepsItsBytes(t *testing.T) {
	fs := faultfs.New()
	testutil.NoError(t, WriteChecksummed(fs, "f", "GOLDENF", 3, []byte("what it holds")))
	written := mustRead(t, fs, "f")
	golden.CheckText(t, replacedFile, string(written))
	want := testutil.ReadFile(t, replacedFile)
	version, body, err := ReadChecksummed(directoryOf(t, map[string][]byte{"f": want}), "f", "GOLDENF", 3)
	testutil.Expect(t, err == nil && version == 3 && string(body) == "what it holds",
		"version %d, %q, %v", version, body, err)
}

// A damaged file, or one of a later version, is refused.
func TestDamagedChecksummedFileIsRefused(t *testing.T) {
	whole := testutil.ReadFile(t, replacedFile)
	const (
		invalidHeader = "f, at byte 0: the header is truncated or the magic is wrong"
		missingBytes  = "f, at byte 8: the body has 4 bytes, but the header states 13"
		wrongChecksum = "f, at byte 12: the checksum is wrong"
		laterVersion  = "f is of version 3, this glenport knows 1: use the later one"
	)
	for title, tc := range map[string]struct {
		damage func(p []byte) []byte
		known  byte
		want   string
	}{
		"too short":        {func(p []byte) []byte { return p[:15] }, 3, invalidHeader},
		"another magic":    {func(p []byte) []byte { p[0] = 'X'; return p }, 3, invalidHeader},
		"cut short":        {func(p []byte) []byte { return p[:20] }, 3, missingBytes},
		"one bit":          {func(p []byte) []byte { p[20] ^= 1; return p }, 3, wrongChecksum},
		"a later version":  {func(p []byte) []byte { return p }, 2, laterVersion},
		"an older version": {func(p []byte) []byte { return p }, 4, ""},
		"damaged version":  {func(p []byte) []byte { p[7] = 9; return p }, 3, wrongChecksum},
	} {
		directory := directoryOf(t, map[string][]byte{"f": tc.damage(bytes.Clone(whole))})
		_, _, err := ReadChecksummed(directory, "f", "GOLDENF", tc.known)
		if got := fmt.Sprint(err); (err == nil) != (tc.want == "") || err != nil && !strings.HasPrefix(got, tc.want) {
			t.Errorf("%s: %v, want %s", title, err, tc.want)
		}
	}
}
