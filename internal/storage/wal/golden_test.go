package wal

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"
	"glenport/internal/testutil"

	"github.com/fxamacker/cbor/v2"
)

// The folders in testdata, each with a text file beside it that says what it holds.
const (
	orderlyFolder   = "orderly"   // a snapshot and three log files, closed in order
	tornFolder      = "torn"      // the same after a kill: the last group is cut short, older files are left
	rewrittenFolder = "rewritten" // written anew after a sync that failed
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

// writeFolders plays the histories that are recorded, and returns the files of each folder.
func writeFolders(t *testing.T) map[string]map[string][]byte {
	t.Helper()
	fs, older := writeOrderly(t)
	orderly := contents(t, fs)
	return map[string]map[string][]byte{
		orderlyFolder:   orderly,
		tornFolder:      writeTorn(t, fs, older),
		rewrittenFolder: writeRewritten(t),
	}
}

// writeOrderly returns a directory with a snapshot, several segments and a clean end, and its files before the
// snapshot.
func writeOrderly(t *testing.T) (fs *faultfs.FS, older map[string][]byte) {
	t.Helper()
	fs = faultfs.New()
	l, _ := mustOpen(t, fs, Options{})
	mustCommit(t, l, true, goldenPut("job", "a", "value 1"))
	mustCommit(t, l, true, goldenPut("job", "b", "value 2"), goldenPut("container", "a/0", "value 3"))
	mustCommit(t, l, false, Change{Kind: "job", Key: "a"}, Put("typed", "all", []any{int64(-1), "text", true, 2.5}))
	mustCommit(t, l, true) // no group
	mustCommit(t, l, false, goldenPut("container", "a/1", ""), goldenPut("container", "a/0", "value 4"))
	mustClose(t, l)
	older = contents(t, fs)
	mustCompact(t, fs)
	fs.InjectError = func(kind, name string) error {
		if kind == "rename" && strings.HasPrefix(name, snapshotPrefix) {
			return syscall.ENOSPC
		}
		return nil
	}
	for i := range 2 { // each opening starts one more segment, for a snapshot that then fails
		l, _ = mustOpen(t, fs, Options{MinSnapshotLog: 300})
		mustCommit(t, l, false, goldenPut("container", fmt.Sprint("b/", i), strings.Repeat("value 5 ", 70)))
		mustCommit(t, l, true, goldenPut("container", fmt.Sprint("c/", i), "value 6"))
		mustCommit(t, l, false, Change{Kind: "container", Key: fmt.Sprint("b/", i)})
		mustClose(t, l)
	}
	fs.InjectError = nil
	return fs, older
}

// writeTorn continues a directory and returns its files after a crash in the last group, with older files still there.
func writeTorn(t *testing.T, fs *faultfs.FS, older map[string][]byte) map[string][]byte {
	t.Helper()
	l, _ := mustOpen(t, fs, Options{})
	mustCommit(t, l, true, goldenPut("job", "c", "value 7"))
	mustCommit(t, l, false, goldenPut("job", "d", "value 8"))
	mustCommit(t, l, false, goldenPut("job", "e", "value 9"))
	files := contents(t, fs)
	mustClose(t, l)
	last := lastOf(files, segmentPrefix)
	files[last] = files[last][:len(files[last])-7]
	maps.Copy(files, older)
	files[snapshotPrefix+"000000000000000f"+vfs.TempSuffix] = []byte("unfinished")
	return files
}

// writeRewritten returns the files of a directory that was rewritten after a sync that failed.
func writeRewritten(t *testing.T) map[string][]byte {
	t.Helper()
	fs := faultfs.New()
	l, _ := mustOpen(t, fs, Options{})
	mustCommit(t, l, true, goldenPut("job", "a", "value 10"))
	fs.InjectError = failOperations("sync", syscall.EIO)
	if err := commitAndWait(l, true, goldenPut("job", "b", "refused")); !errors.Is(err, ErrSyncFailed) {
		t.Fatal(err)
	}
	fs.InjectError = nil
	mustCommit(t, l, true, goldenPut("job", "c", "value 11"))
	files := contents(t, fs)
	mustClose(t, l)
	return files
}

func lastOf(files map[string][]byte, prefix string) string {
	last := ""
	for name := range files {
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, vfs.TempSuffix) {
			last = max(last, name)
		}
	}
	return last
}

// describeFolder says in words what the files of a folder hold, and checks that each header and group is encoded again
// to the same bytes.
func describeFolder(t *testing.T, files map[string][]byte) string {
	t.Helper()
	var out strings.Builder
	for _, name := range sortedNames(files) {
		data := files[name]
		fmt.Fprintf(&out, "file %s, %d bytes\n", name, len(data))
		magic := ""
		switch {
		case strings.HasSuffix(name, vfs.TempSuffix):
			fmt.Fprintf(&out, "  unfinished\n")
			continue
		case strings.HasPrefix(name, segmentPrefix):
			magic = segmentMagic
		case strings.HasPrefix(name, snapshotPrefix):
			magic = snapshotMagic
		}
		first, err := parseFileHeader(name, magic, data, false)
		testutil.NoError(t, err)
		if got := newFileHeader(magic, first); !bytes.Equal(got, data[:headerSize]) {
			t.Errorf("%s: the header is encoded as %x, want %x", name, got, data[:headerSize])
		}
		start, version := data[:versionOffset], data[versionOffset]
		fmt.Fprintf(&out, "  header: %s, version %d, first group %d\n", start, version, first)
		describeGroups(t, &out, name, data[headerSize:])
	}
	return out.String()
}

func describeGroups(t *testing.T, out *strings.Builder, name string, data []byte) {
	t.Helper()
	for len(data) > 0 {
		g, ok := parseGroup(data, false)
		if !ok {
			fmt.Fprintf(out, "  %d bytes of a torn group\n", len(data))
			return
		}
		fmt.Fprintf(out, "  group %d, on disk before it: up to %d", g.sequence, g.durableThrough)
		body := describeChanges(t, out, g.body)
		if got := appendGroup(nil, g.sequence, g.durableThrough, body); !bytes.Equal(got, data[:g.size]) {
			t.Errorf("%s: group %d is encoded as\n%x, want\n%x", name, g.sequence, got, data[:g.size])
		}
		data = data[g.size:]
	}
}

// describeChanges returns the changes of a group encoded again.
func describeChanges(t *testing.T, out *strings.Builder, body []byte) []byte {
	t.Helper()
	if len(body) == 0 {
		fmt.Fprintf(out, ", the end of a snapshot\n")
		return nil
	}
	var changes []Change
	testutil.NoError(t, cbor.Unmarshal(body, &changes))
	fmt.Fprintf(out, ", %d changes\n", len(changes))
	for _, c := range changes {
		if c.Value == nil {
			fmt.Fprintf(out, "    remove %q %q\n", c.Kind, c.Key)
		} else {
			fmt.Fprintf(out, "    put %q %q = %q\n", c.Kind, c.Key, c.Value)
		}
	}
	encoded, err := cbor.Marshal(changes)
	testutil.NoError(t, err)
	return encoded
}

// describeState says in words what is read from a folder.
func describeState(t *testing.T, s *State) string {
	t.Helper()
	var out strings.Builder
	const read = "read: the log from group %d on, the last is %d, %d groups, %d records, %d bytes, %d of them cut off\n"
	fmt.Fprintf(&out, read, s.FirstGroup, s.LastGroup, s.Groups, s.Records, s.Bytes, s.TruncatedBytes)
	for _, kind := range s.Kinds() {
		fmt.Fprintf(&out, "kind %q, %d records\n", kind, s.Count(kind))
		err := s.ForEach(kind, func(key string, value []byte) error {
			fmt.Fprintf(&out, "  %q = %q\n", key, value)
			return nil
		})
		testutil.NoError(t, err)
	}
	return out.String()
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

// record writes the golden files anew.
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

// A folder that an earlier version wrote is read value by value as it was written, and its parts are encoded again to
// the same bytes.
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
				t.Errorf("%d records and %d bytes cut off after one more, before %d",
					again.Records, again.TruncatedBytes, state.Records)
			}
		})
	}
}

// The same history leaves the same files, byte for byte.
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

// A snapshot of several chunks has the bytes that it always had.
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
	parts := 0
	for rest := data[headerSize:]; len(rest) > 0; parts++ {
		chunk, ok := parseGroup(rest, false)
		testutil.Require(t, ok, "a part is damaged")
		rest = rest[chunk.size:]
	}
	if parts != 4 { // two of two records, one of one, the end
		t.Errorf("%d parts", parts)
	}
}
