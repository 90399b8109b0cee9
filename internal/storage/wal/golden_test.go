package wal

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update", false, "record the golden folders of this package anew")

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

func mustCommit(t *testing.T, s *Log, durable bool, all ...Change) {
	t.Helper()
	if err := commit1(s, durable, all...); err != nil {
		t.Fatal(err)
	}
}

func mustClose(t *testing.T, s *Log) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// contents are the files of a folder by name.
func contents(t *testing.T, d vfs.FS) map[string][]byte {
	t.Helper()
	names, err := d.List()
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, name := range names {
		if files[name], err = d.Read(name); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// folderOf is a folder in memory with these files.
func folderOf(t *testing.T, files map[string][]byte) *faultfs.FS {
	t.Helper()
	d := faultfs.New()
	for name, p := range files {
		f, err := d.Create(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Write(p); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// writeFolders plays the history that is recorded, and returns the files of each folder.
func writeFolders(t *testing.T) map[string]map[string][]byte {
	d := faultfs.New()
	s, _ := mustOpen(t, d, Options{})
	mustCommit(t, s, true, goldenPut("job", "a", "value 1"))
	mustCommit(t, s, true, goldenPut("job", "b", "value 2"), goldenPut("container", "a/0", "value 3"))
	mustCommit(t, s, false, Change{Kind: "job", Key: "a"}, Put("typed", "all", []any{int64(-1), "text", true, 2.5}))
	mustCommit(t, s, true) // no group
	mustCommit(t, s, false, goldenPut("container", "a/1", ""), goldenPut("container", "a/0", "value 4"))
	mustClose(t, s)
	older := contents(t, d)
	if _, _, err := Compact(d); err != nil {
		t.Fatal(err)
	}
	failSnapshot := func(kind, name string) error {
		if kind == "rename" && strings.HasPrefix(name, snapshotPrefix) {
			return syscall.ENOSPC
		}
		return nil
	}
	d.InjectError = failSnapshot
	for i := range 2 { // each opening begins one more log file, for a snapshot that then fails
		s, _ = mustOpen(t, d, Options{MinSnapshotLog: 300})
		mustCommit(t, s, false, goldenPut("container", fmt.Sprint("b/", i), strings.Repeat("value 5 ", 70)))
		mustCommit(t, s, true, goldenPut("container", fmt.Sprint("c/", i), "value 6"))
		mustCommit(t, s, false, Change{Kind: "container", Key: fmt.Sprint("b/", i)})
		mustClose(t, s)
	}
	d.InjectError = nil
	out := map[string]map[string][]byte{orderlyFolder: contents(t, d)}

	s, _ = mustOpen(t, d, Options{})
	mustCommit(t, s, true, goldenPut("job", "c", "value 7"))
	mustCommit(t, s, false, goldenPut("job", "d", "value 8"))
	mustCommit(t, s, false, goldenPut("job", "e", "value 9"))
	torn := contents(t, d)
	mustClose(t, s)
	last := lastOf(torn, segmentPrefix)
	torn[last] = torn[last][:len(torn[last])-7]
	for name, p := range older {
		torn[name] = p
	}
	torn[snapshotPrefix+"000000000000000f"+vfs.TempSuffix] = []byte("unfinished")
	out[tornFolder] = torn

	d = faultfs.New()
	s, _ = mustOpen(t, d, Options{})
	mustCommit(t, s, true, goldenPut("job", "a", "value 10"))
	d.InjectError = func(kind, _ string) error {
		if kind == "sync" {
			return syscall.EIO
		}
		return nil
	}
	if err := commit1(s, true, goldenPut("job", "b", "refused")); !errors.Is(err, ErrSyncFailed) {
		t.Fatal(err)
	}
	d.InjectError = nil
	mustCommit(t, s, true, goldenPut("job", "c", "value 11"))
	out[rewrittenFolder] = contents(t, d)
	mustClose(t, s)
	return out
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

// describeFolder says in words what the files of a folder hold, and checks that each header and group is encoded again to
// the same bytes.
func describeFolder(t *testing.T, files map[string][]byte) string {
	t.Helper()
	var out strings.Builder
	for _, name := range sortedNames(files) {
		p := files[name]
		fmt.Fprintf(&out, "file %s, %d bytes\n", name, len(p))
		sort := ""
		switch {
		case strings.HasSuffix(name, vfs.TempSuffix):
			fmt.Fprintf(&out, "  unfinished\n")
			continue
		case strings.HasPrefix(name, segmentPrefix):
			sort = segmentMagic
		case strings.HasPrefix(name, snapshotPrefix):
			sort = snapshotMagic
		}
		first, err := parseFileHeader(name, sort, p, false)
		if err != nil {
			t.Fatal(err)
		}
		if got := newFileHeader(sort, first); !bytes.Equal(got, p[:headerSize]) {
			t.Errorf("%s: the header is encoded as %x, want %x", name, got, p[:headerSize])
		}
		fmt.Fprintf(&out, "  header: %s, version %d, first group %d\n", p[:7], p[7], first)
		describeGroups(t, &out, name, p[headerSize:])
	}
	return out.String()
}

func describeGroups(t *testing.T, out *strings.Builder, name string, p []byte) {
	t.Helper()
	for len(p) > 0 {
		f, ok := parseGroup(p, false)
		if !ok {
			fmt.Fprintf(out, "  %d bytes of a torn group\n", len(p))
			return
		}
		fmt.Fprintf(out, "  group %d, on disk before it: up to %d", f.sequence, f.durableThrough)
		body := f.body
		if len(body) > 0 {
			var all []Change
			if err := cbor.Unmarshal(body, &all); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(out, ", %d changes\n", len(all))
			for _, c := range all {
				if c.Value == nil {
					fmt.Fprintf(out, "    remove %q %q\n", c.Kind, c.Key)
				} else {
					fmt.Fprintf(out, "    put %q %q = %q\n", c.Kind, c.Key, c.Value)
				}
			}
			var err error
			if body, err = cbor.Marshal(all); err != nil {
				t.Fatal(err)
			}
		} else {
			fmt.Fprintf(out, ", the end of a snapshot\n")
		}
		if got := appendGroup(nil, f.sequence, f.durableThrough, body); !bytes.Equal(got, p[:f.size]) {
			t.Errorf("%s: group %d is encoded as\n%x, want\n%x", name, f.sequence, got, p[:f.size])
		}
		p = p[f.size:]
	}
}

// describeState says in words what is read from a folder.
func describeState(t *testing.T, s *State) string {
	t.Helper()
	var out strings.Builder
	fmt.Fprintf(&out, "read: the log from group %d on, the last is %d, %d groups, %d records, %d bytes, %d of them cut off\n",
		s.FirstGroup, s.LastGroup, s.Groups, s.Records, s.Bytes, s.TruncatedBytes)
	for _, kind := range s.Kinds() {
		fmt.Fprintf(&out, "kind %q, %d records\n", kind, s.Count(kind))
		err := s.ForEach(kind, func(key string, value []byte) error {
			fmt.Fprintf(&out, "  %q = %q\n", key, value)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out.String()
}

func sortedNames(files map[string][]byte) []string {
	return slices.Sorted(maps.Keys(files))
}

func goldenFiles(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("testdata", folder))
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, e := range entries {
		if files[e.Name()], err = os.ReadFile(filepath.Join("testdata", folder, e.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func record(t *testing.T) {
	for folder, files := range writeFolders(t) {
		dir := filepath.Join("testdata", folder)
		if err := os.RemoveAll(dir); err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		for name, p := range files {
			if err := os.WriteFile(filepath.Join(dir, name), p, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		state, err := Load(folderOf(t, files), false)
		if err != nil {
			t.Fatal(err)
		}
		text := describeFolder(t, files) + describeState(t, state)
		if err := os.WriteFile(dir+".txt", []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for file, text := range map[string]string{"testdata/damage.txt": damageDigests(t), "testdata/operations.txt": operationsOf(t)} {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// A folder that an earlier version wrote is read value by value as it was written, and its parts are encoded again to the
// same bytes.
func TestGoldenFoldersAreRead(t *testing.T) {
	if *update {
		record(t)
	}
	for _, folder := range goldenFolders {
		t.Run(folder, func(t *testing.T) {
			files := goldenFiles(t, folder)
			want, err := os.ReadFile(filepath.Join("testdata", folder+".txt"))
			if err != nil {
				t.Fatal(err)
			}
			d := folderOf(t, files)
			state, err := Load(d, false)
			if err != nil {
				t.Fatal(err)
			}
			if got := describeFolder(t, files) + describeState(t, state); got != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
			s, _ := mustOpen(t, d, Options{})
			mustCommit(t, s, true, goldenPut("more", "x", "y"))
			mustClose(t, s)
			again, err := Load(d, false)
			if err != nil {
				t.Fatal(err)
			}
			if again.Records != state.Records+1 || again.TruncatedBytes != 0 {
				t.Errorf("%d records and %d bytes cut off after one more, before %d", again.Records, again.TruncatedBytes, state.Records)
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
			if !bytes.Equal(p, want[name]) {
				t.Errorf("%s/%s is\n%x, want\n%x", folder, name, p, want[name])
			}
		}
	}
}

// Go's names of types in the errors of the CBOR library are no part of what is recorded.
var goType = regexp.MustCompile(`\*?\b[a-z]+\.[A-Z]\w*`)

// damageDigests reads each golden folder with each of its bytes damaged in turn, each of its files missing, and each cut
// short at every length, and folds what came of it into a digest.
func damageDigests(t *testing.T) string {
	var out strings.Builder
	for _, folder := range goldenFolders {
		files := goldenFiles(t, folder)
		for _, kind := range []string{"flipped bit", "cut short", "missing", "flipped bit, checksums ignored"} {
			digest, cases, refused := sha256.New(), 0, 0
			try := func(name string, p []byte, trust bool) {
				damaged := map[string][]byte{}
				for n, good := range files {
					damaged[n] = good
				}
				if damaged[name] = p; p == nil {
					delete(damaged, name)
				}
				state, err := Load(folderOf(t, damaged), trust)
				cases++
				if err != nil {
					refused++
				}
				var corrupt *CorruptionError
				var newer *UnsupportedVersionError
				text := goType.ReplaceAllString(fmt.Sprint(err), "TYPE")
				fmt.Fprintf(digest, "%s %s %t %t\n", name, text, errors.As(err, &corrupt), errors.As(err, &newer))
				if !trust || err == nil {
					fmt.Fprint(digest, describeState(t, state))
				}
			}
			for _, name := range sortedNames(files) {
				p := files[name]
				switch kind {
				case "missing":
					try(name, nil, false)
				case "cut short":
					for n := range p {
						try(name, p[:n:n], false)
					}
				default:
					for i := range p {
						flipped := bytes.Clone(p)
						flipped[i] ^= 1 << (i % 8)
						try(name, flipped, kind != "flipped bit")
					}
				}
			}
			fmt.Fprintf(&out, "%s, %s: %d cases, %d refused, digest %x\n", folder, kind, cases, refused, digest.Sum(nil))
		}
	}
	return out.String()
}

// What becomes of damage does not change: which is refused, with which error and place, and what is read in spite of it.
func TestDamageOfGoldenFoldersIsJudgedAlike(t *testing.T) {
	want, err := os.ReadFile("testdata/damage.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := damageDigests(t); got != string(want) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// A snapshot of several chunks has the bytes that it always had.
func TestSnapshotOfSeveralChunksKeepsItsBytes(t *testing.T) {
	d := faultfs.New()
	s, _ := mustOpen(t, d, Options{})
	for i := range 5 {
		mustCommit(t, s, i == 4, goldenPut("k", fmt.Sprint(i), strings.Repeat(fmt.Sprint(i), 600_000)))
	}
	mustClose(t, s)
	if _, _, err := Compact(d); err != nil {
		t.Fatal(err)
	}
	p, err := d.Read(snapshotOf(d))
	if err != nil {
		t.Fatal(err)
	}
	const want = "3000185 bytes, aab7a79d53be2b30abc66e8e27954d81fea33afbd01265248260550fd82cbdc4"
	if got := fmt.Sprintf("%d bytes, %x", len(p), sha256.Sum256(p)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	parts := 0
	for rest := p[headerSize:]; len(rest) > 0; parts++ {
		f, ok := parseGroup(rest, false)
		if !ok {
			t.Fatal("a part is damaged")
		}
		rest = rest[f.size:]
	}
	if parts != 4 { // two of two records, one of one, the end
		t.Errorf("%d parts", parts)
	}
}

// A file that is replaced as a whole has the bytes that it always had, and is read again.
func TestReplacedFileKeepsItsBytes(t *testing.T) {
	const file = "testdata/replaced.bin" // sort GOLDENF, version 3, "what it holds"
	d := faultfs.New()
	if err := WriteChecksummed(d, "f", "GOLDENF", 3, []byte("what it holds")); err != nil {
		t.Fatal(err)
	}
	written, err := d.Read("f")
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(file, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, want) {
		t.Errorf("written as\n%x, want\n%x", written, want)
	}
	version, body, err := ReadChecksummed(folderOf(t, map[string][]byte{"f": want}), "f", "GOLDENF", 3)
	if err != nil || version != 3 || string(body) != "what it holds" {
		t.Errorf("version %d, %q, %v", version, body, err)
	}
	for title, tc := range map[string]struct {
		damage func(p []byte) []byte
		known  byte
		want   string
	}{
		"too short":     {func(p []byte) []byte { return p[:15] }, 3, "f, at byte 0: it does not begin as such a file does"},
		"another sort":  {func(p []byte) []byte { p[0] = 'X'; return p }, 3, "f, at byte 0: it does not begin as such a file does"},
		"cut short":     {func(p []byte) []byte { return p[:20] }, 3, "f, at byte 8: 4 bytes follow where 13 should"},
		"one bit":       {func(p []byte) []byte { p[20] ^= 1; return p }, 3, "f, at byte 12: its checksum is wrong"},
		"a later one":   {func(p []byte) []byte { return p }, 2, "f is of version 3, this glenport knows 1: use the later one"},
		"an older one":  {func(p []byte) []byte { return p }, 4, ""},
		"damaged later": {func(p []byte) []byte { p[7] = 9; return p }, 3, "f, at byte 12: its checksum is wrong"},
	} {
		_, _, err := ReadChecksummed(folderOf(t, map[string][]byte{"f": tc.damage(bytes.Clone(want))}), "f", "GOLDENF", tc.known)
		if got := fmt.Sprint(err); (err == nil) != (tc.want == "") || !strings.HasPrefix(got, tc.want) && err != nil {
			t.Errorf("%s: %v, want %s", title, err, tc.want)
		}
	}
}

// outcome says what an error is, by what callers may ask of it.
func outcome(err error) string {
	return fmt.Sprintf("failed %t, sync failed %t, closed %t, disk %t", err != nil, errors.Is(err, ErrSyncFailed),
		errors.Is(err, ErrClosed), errors.Is(err, syscall.EIO))
}

// history opens a folder, commits, makes a snapshot, opens it again and commits, and notes what came of each step. No
// snapshot is written beside the work in it, so the order of its operations is fixed.
func history(t *testing.T, d *faultfs.FS, note func(format string, a ...any)) {
	opened := func() *Log {
		s, _, err := Open(d, Options{OnModeChange: func(string, ...any) { note("mode changed") }})
		note("open: %s", outcome(err))
		return s
	}
	commits := func(s *Log, from int) {
		if s == nil {
			return
		}
		for i := from; i < from+3; i++ {
			err := commit1(s, i%2 == 0, goldenPut("k", fmt.Sprint(i), "value"), Change{Kind: "k", Key: fmt.Sprint(i - 2)})
			note("commit %d: %s", i, outcome(err))
		}
		note("keep: %s", outcome(s.CommitSync(goldenPut("kept", fmt.Sprint(from), "value"))))
		note("close: %s", outcome(s.Close()))
		note("commit after it: %s", outcome(commit1(s, true)))
		n := s.Counters()
		note("%d commits, %d groups, %d syncs, %d snapshots, %d refused", n.Commits, n.Groups, n.Syncs, n.Snapshots, n.Rejected)
	}
	commits(opened(), 1)
	_, _, err := Compact(d)
	note("compact: %s", outcome(err))
	commits(opened(), 11)
	note("replace: %s", outcome(WriteChecksummed(d, "replaced", "GOLDENF", 1, []byte("body"))))
}

// operationsOf lists the operations on files of a history, and folds into a digest what follows when each of them, or it
// and all later ones of its kind, fails.
func operationsOf(t *testing.T) string {
	var out strings.Builder
	play := func(note func(format string, a ...any), fails func(n int, kind string) bool) int {
		d, n := faultfs.New(), 0
		d.InjectError = func(kind, name string) error {
			note("  %s %s", kind, name)
			n++
			if fails(n-1, kind) {
				return syscall.EIO
			}
			return nil
		}
		history(t, d, note)
		d.InjectError = nil
		state, err := Load(d, false)
		if err != nil {
			note("not read: %v", err)
		} else {
			note("%s", describeState(t, state))
		}
		names, err := d.List()
		note("%v %v", names, err)
		return n
	}
	operations := play(func(format string, a ...any) { fmt.Fprintf(&out, format+"\n", a...) },
		func(int, string) bool { return false })
	digest := sha256.New()
	note := func(format string, a ...any) { fmt.Fprintf(digest, format+"\n", a...) }
	for failing := range operations {
		play(note, func(n int, _ string) bool { return n == failing })
		var of string
		play(note, func(n int, kind string) bool {
			if n == failing {
				of = kind
			}
			return n >= failing && kind == of && n < failing+5
		})
	}
	fmt.Fprintf(&out, "each of %d operations failing: digest %x\n", operations, digest.Sum(nil))
	return out.String()
}

// The order in which files are written, synced, renamed and removed does not change, nor what follows when one of these
// operations fails.
func TestOrderOfOperationsIsKept(t *testing.T) {
	want, err := os.ReadFile("testdata/operations.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := operationsOf(t); got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
