package wal

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"
	"glenport/internal/testutil"
)

// The folders in testdata. A text file of the same name describes each of them.
const (
	orderlyFolder   = "orderly"   // a snapshot and three segments with a clean end
	tornFolder      = "torn"      // the same after a crash: the last group is truncated, and obsolete files are left
	rewrittenFolder = "rewritten" // rewritten after a failed sync
)

var goldenFolders = []string{orderlyFolder, tornFolder, rewrittenFolder}

func goldenPut(kind, key, value string) Change {
	return Change{Kind: kind, Key: key, Value: []byte(value)}
}

// contents returns the files of a directory by name.
func contents(t *testing.T, fs vfs.FS) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	for _, name := range mustList(t, fs) {
		files[name] = mustRead(t, fs, name)
	}
	return files
}

// directoryOf returns a directory in memory with these files.
func directoryOf(t *testing.T, files map[string][]byte) *faultfs.FS {
	t.Helper()
	fs := faultfs.New()
	for name, data := range files {
		mustCreate(t, fs, name, data)
	}
	return fs
}

func sortedNames(files map[string][]byte) []string { return slices.Sorted(maps.Keys(files)) }

func goldenFiles(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("testdata", folder))
	testutil.NoError(t, err)
	files := map[string][]byte{}
	for _, e := range entries {
		files[e.Name()] = testutil.ReadFile(t, filepath.Join("testdata", folder, e.Name()))
	}
	return files
}

// record writes the golden files.
func record(t *testing.T) {
	t.Helper()
	for folder, files := range writeFolders(t) {
		dir := filepath.Join("testdata", folder)
		testutil.NoError(t, os.RemoveAll(dir))
		testutil.NoError(t, os.MkdirAll(dir, 0o755))
		for name, data := range files {
			testutil.WriteFile(t, filepath.Join(dir, name), data)
		}
		text := describeFolder(t, files) + describeState(t, mustLoad(t, directoryOf(t, files)))
		testutil.WriteFile(t, dir+".txt", []byte(text))
	}
	testutil.WriteFile(t, "testdata/damage.txt", []byte(damageDigests(t)))
	testutil.WriteFile(t, "testdata/operations.txt", []byte(describeOperations(t)))
}

// A folder that an earlier version wrote is loaded with the recorded values, and encoding its parts again gives the
// same bytes.
func TestGoldenFoldersAreRead(t *testing.T) {
	if golden.Updating() {
		record(t)
	}
	for _, folder := range goldenFolders {
		t.Run(folder, func(t *testing.T) {
			files := goldenFiles(t, folder)
			fs := directoryOf(t, files)
			state := mustLoad(t, fs)
			text := describeFolder(t, files) + describeState(t, state)
			golden.CheckText(t, filepath.Join("testdata", folder+".txt"), text)
			l, _ := mustOpen(t, fs, Options{})
			mustCommit(t, l, true, goldenPut("more", "x", "y"))
			mustClose(t, l)
			again := mustLoad(t, fs)
			if again.Records != state.Records+1 || again.TruncatedBytes != 0 {
				t.Errorf("%d records, %d bytes truncated after one more commit; %d records before",
					again.Records, again.TruncatedBytes, state.Records)
			}
		})
	}
}

// The same histories write the recorded files, byte for byte.
func TestGoldenFoldersAreWritten(t *testing.T) {
	for folder, files := range writeFolders(t) {
		want := goldenFiles(t, folder)
		if fmt.Sprint(sortedNames(files)) != fmt.Sprint(sortedNames(want)) {
			t.Errorf("%s: files %v, want %v", folder, sortedNames(files), sortedNames(want))
		}
		for name, p := range files {
			testutil.Expect(t, bytes.Equal(p, want[name]), "%s/%s is\n%x, want\n%x", folder, name, p, want[name])
		}
	}
}

// A snapshot of several chunks has the recorded bytes.
func TestSnapshotOfSeveralChunksKeepsItsBytes(t *testing.T) {
	fs := faultfs.New()
	l, _ := mustOpen(t, fs, Options{})
	for i := range 5 {
		mustCommit(t, l, i == 4, goldenPut("k", strconv.Itoa(i), strings.Repeat(strconv.Itoa(i), 600_000)))
	}
	mustClose(t, l)
	mustCompact(t, fs)
	data := mustRead(t, fs, newestSnapshot(t, fs))
	const want = "3000185 bytes, aab7a79d53be2b30abc66e8e27954d81fea33afbd01265248260550fd82cbdc4"
	testutil.Equal(t, fmt.Sprintf("%d bytes, %x", len(data), sha256.Sum256(data)), want)
	chunks := 0
	for rest := data[headerSize:]; len(rest) > 0; chunks++ {
		chunk, ok := parseGroup(rest, false)
		testutil.Require(t, ok, "a chunk is damaged")
		rest = rest[chunk.size:]
	}
	if chunks != 4 { // two with two records, one with one record, the end
		t.Errorf("%d chunks", chunks)
	}
}
