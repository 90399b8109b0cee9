package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func put(key, value string) Change { return Change{Kind: "k", Key: key, Value: []byte(value)} }

func commit1(s *Log, durable bool, all ...Change) error {
	done := make(chan error, 1)
	s.Commit(all, durable, func(err error) { done <- err })
	return <-done
}

func mustOpen(t *testing.T, d vfs.FS, terms Options) (*Log, Stats) {
	t.Helper()
	s, f, err := Open(d, terms)
	if err != nil {
		t.Fatal(err)
	}
	return s, f
}

func held(s *State) map[string]string {
	out := map[string]string{}
	s.ForEach("k", func(k string, v []byte) error {
		out[k] = string(v)
		return nil
	})
	return out
}

// filled is a folder with ten groups in one log.
func filled(t *testing.T) *faultfs.FS {
	d := faultfs.New()
	s, _ := mustOpen(t, d, Options{})
	for i := range 10 {
		if err := commit1(s, true, put(fmt.Sprint(i), strings.Repeat("x", 100))); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return d
}

const first = "log-0000000000000001"

func snapshotOf(d vfs.FS) string {
	names, _ := d.List()
	for _, n := range names {
		if strings.HasPrefix(n, snapshotPrefix) {
			return n
		}
	}
	return ""
}

// What is damaged is told with its place; only what a crash may leave is read over.
func TestDamage(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(t *testing.T, d *faultfs.FS)
		want  string // of the error; empty: nine or ten groups are read
		left  int
	}{
		{"nothing", func(*testing.T, *faultfs.FS) {}, "", 10},
		{"a truncated tail", func(t *testing.T, d *faultfs.FS) {
			p, _ := d.Read(first)
			f, _ := d.Append(first)
			f.Truncate(int64(len(p) - 80)) // the mark of the orderly end, and a part of the last group
			f.Sync()
		}, "", 9},
		{"a corrupt middle", func(t *testing.T, d *faultfs.FS) { d.FlipBit(first, 8*400) }, "group 3 is damaged; it was kept, as group 4", 0},
		{"a corrupt length in the middle", func(t *testing.T, d *faultfs.FS) { d.FlipBit(first, 8*(headerSize+4)) }, "group 1 is damaged", 0},
		{"a corrupt beginning", func(t *testing.T, d *faultfs.FS) { d.FlipBit(first, 8*3) }, "at byte 0: it does not begin", 0},
		{"a version from later", func(t *testing.T, d *faultfs.FS) { rewrite(t, d, first, FormatVersion+1) }, "use the later one", 0},
		{"a file is missing", func(t *testing.T, d *faultfs.FS) {
			if err := d.Rename(first, "log-0000000000000004"); err != nil {
				t.Fatal(err)
			}
		}, "a file is missing", 0},
		{"an unfinished snapshot", func(t *testing.T, d *faultfs.FS) { d.Create("snapshot-000000000000000b.new") }, "", 10},
		{"a snapshot cut short", func(t *testing.T, d *faultfs.FS) {
			if _, _, err := Compact(d); err != nil {
				t.Fatal(err)
			}
			f, _ := d.Append(snapshotOf(d))
			f.Truncate(300)
		}, "part 0 of it is damaged", 0},
		{"a snapshot without its log", func(t *testing.T, d *faultfs.FS) {
			Compact(d)
			d.Remove(strings.Replace(snapshotOf(d), snapshotPrefix, segmentPrefix, 1))
		}, "the log from group 13 on is missing", 0},
		{"compacted", func(t *testing.T, d *faultfs.FS) { Compact(d); Compact(d) }, "", 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := filled(t)
			tc.spoil(t, d)
			before, _ := d.List()
			s, f, err := Open(d, Options{})
			if tc.want != "" {
				after, _ := d.List()
				if err == nil || !strings.Contains(err.Error(), tc.want) {
					t.Errorf("%v", err)
				}
				if len(before) != len(after) {
					t.Error("a damaged folder was changed")
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if f.Records != tc.left || len(held(s.State())) != tc.left {
				t.Errorf("%+v", f)
			}
			if err := commit1(s, true, put("more", "y")); err != nil {
				t.Error(err)
			}
		})
	}
}

// rewrite gives a file another version, with a right checksum.
func rewrite(t *testing.T, d *faultfs.FS, name string, version byte) {
	p, err := d.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	h := newFileHeader(segmentMagic, 1)
	h[7] = version
	h = binary.BigEndian.AppendUint32(h[:16], crc32.Checksum(h[:16], castagnoli))
	d.Remove(name)
	f, _ := d.Create(name)
	f.Write(append(h, p[headerSize:]...))
}

// A full disk refuses what does not fit and loses nothing; a sync that failed is never believed again.
func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name  string
		kind  string
		err   error
		after bool // the next commit succeeds once the fault is gone
	}{
		{"full disk", "write", syscall.ENOSPC, true},
		{"failing sync", "sync", syscall.EIO, true},
		{"full, and not to be taken back", "write truncate", syscall.EIO, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := faultfs.New()
			modes := 0
			s, _ := mustOpen(t, d, Options{OnModeChange: func(string, ...any) { modes++ }})
			commit1(s, true, put("a", "1"))
			d.InjectError = func(kind, _ string) error {
				if strings.Contains(tc.kind, kind) {
					return tc.err
				}
				return nil
			}
			if err := commit1(s, true, put("b", "2")); !errors.Is(err, tc.err) {
				t.Errorf("%v", err)
			}
			d.InjectError = nil
			err := commit1(s, true, put("c", "3"))
			if (err == nil) != tc.after || !tc.after && !errors.Is(err, ErrSyncFailed) {
				t.Errorf("after it: %v", err)
			}
			s.Close()
			if modes != 2 {
				t.Errorf("%d changes of mode told, want kept no longer and kept again", modes)
			}
			r, err := Load(d, false)
			if err != nil {
				t.Fatal(err)
			}
			got := held(r)
			if got["a"] != "1" || tc.after && (got["c"] != "3" || got["b"] != "") {
				t.Errorf("%v", got)
			}
		})
	}
	t.Run("read-only folder", func(t *testing.T) {
		d := faultfs.New()
		d.InjectError = func(string, string) error { return syscall.EROFS }
		if _, _, err := Open(d, Options{}); !errors.Is(err, syscall.EROFS) {
			t.Errorf("%v", err)
		}
	})
	t.Run("owned by another", func(t *testing.T) {
		dir := t.TempDir()
		one, err := vfs.OpenLocked(dir)
		if err != nil {
			t.Fatal(err)
		}
		var owned *vfs.LockedError
		if _, err := vfs.OpenLocked(dir); !errors.As(err, &owned) || !strings.Contains(owned.Holder, fmt.Sprint(os.Getpid())) {
			t.Errorf("%v", err)
		}
		one.Close()
		two, err := vfs.OpenLocked(dir)
		if err != nil {
			t.Fatal(err)
		}
		two.Close()
	})
}

// A folder of the system's holds a bounded amount, while work goes on, and is read as it was written.
func TestCompaction(t *testing.T) {
	d, err := vfs.OpenLocked(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	s, _ := mustOpen(t, d, Options{MinSnapshotLog: 20_000})
	want := map[string]string{}
	var made atomic.Int64 // snapshots; each is written beside the work, so how many 3,000 commits lead to is chance
	for i := 0; i < 3000 || made.Load() < 3 && i < 300_000; i++ {
		k, v := fmt.Sprint(i%50), strings.Repeat(fmt.Sprint(i), 20)
		want[k] = v
		s.Commit([]Change{put(k, v)}, false, func(err error) {
			made.Store(int64(s.Counters().Snapshots))
			if err != nil {
				t.Error(err)
			}
		})
		if i%20 == 0 { // or all is one group
			commit1(s, false)
		}
	}
	if err := commit1(s, true); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	n := s.Counters()
	if n.Snapshots < 3 {
		t.Errorf("%+v", n)
	}
	r, err := Load(d, false)
	if err != nil {
		t.Fatal(err)
	}
	if !maps.Equal(held(r), want) {
		t.Error("not what was written")
	}
	if names, _ := d.List(); len(names) > 4 {
		t.Errorf("%v", names)
	}
}

// Random histories of commits and crashes against a reference: after each crash the folder holds the state after
// some commit, never one before the last that was said to be on disk. Crashes come during recovery too.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := faultfs.New()
		past := []map[string]string{{}}
		floor := 0
		for range rapid.IntRange(1, 5).Draw(t, "lives") {
			s, _, err := Open(d, Options{MinSnapshotLog: rapid.SampledFrom([]int{300, 5000}).Draw(t, "small")})
			if err != nil {
				t.Fatalf("not opened: %v", err)
			}
			got := held(s.State())
			at := -1
			for i := len(past) - 1; i >= floor; i-- {
				if maps.Equal(past[i], got) {
					at = i
					break
				}
			}
			if at < 0 {
				t.Fatalf("found %v, which is no state from commit %d on", got, floor)
			}
			past, floor = past[:at+1], at // what was read counts from now on
			opened := d.OperationCount()
			var ends []int // operations when each durable commit was acknowledged
			var which []int
			for range rapid.IntRange(0, 12).Draw(t, "commits") {
				next := maps.Clone(past[len(past)-1])
				var all []Change
				for range rapid.IntRange(1, 3).Draw(t, "changes") {
					k := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
					if rapid.Bool().Draw(t, "put") {
						next[k] = rapid.StringN(0, 80, 900).Draw(t, "value")
						all = append(all, put(k, next[k]))
					} else {
						delete(next, k)
						all = append(all, Change{Kind: "k", Key: k})
					}
				}
				durable := rapid.Bool().Draw(t, "durable")
				if err := commit1(s, durable, all...); err != nil {
					t.Fatal(err)
				}
				past = append(past, next)
				if durable {
					ends, which = append(ends, d.OperationCount()), append(which, len(past)-1)
				}
			}
			s.Close()
			crash := rapid.IntRange(opened, d.OperationCount()).Draw(t, "crash after")
			for i, e := range ends {
				if e <= crash {
					floor = which[i]
				}
			}
			seed := rapid.Uint64().Draw(t, "fate")
			d = d.Crash(crash, faultfs.KeepSome(rand.New(rand.NewPCG(seed, 1))))
			if rapid.Bool().Draw(t, "crash in recovery") {
				before := d.OperationCount()
				s, _, err := Open(d, Options{})
				if err != nil {
					t.Fatalf("not opened: %v", err)
				}
				s.Close()
				again := rapid.IntRange(before, d.OperationCount()).Draw(t, "after")
				d = d.Crash(again, faultfs.KeepSome(rand.New(rand.NewPCG(seed, 2))))
			}
		}
	})
}

// A folder whose sync failed is written anew in the same process once that goes again. Wherever the system stops on the
// way, what was acknowledged stands, in each state that the disk may be found in; and the file that failed is not asked again.
func TestWrittenAnew(t *testing.T) {
	for _, fails := range []string{"sync", "sync folder", "create", "rename", "remove", "write"} {
		t.Run("a sync fails, then "+fails, func(t *testing.T) {
			d := faultfs.New()
			s, _ := mustOpen(t, d, Options{})
			type mark struct {
				ops  int
				want map[string]string
			}
			var marks []mark
			want := map[string]string{}
			commit := func(key string) error {
				err := commit1(s, true, put(key, key))
				if err == nil {
					want[key] = key
					marks = append(marks, mark{d.OperationCount(), maps.Clone(want)})
				}
				return err
			}
			commit("a")
			commit("b")
			names, _ := d.List()
			old, broke := names[len(names)-1], false
			var after []string // of the file that failed
			failing := "sync"
			d.InjectError = func(kind, name string) error {
				if broke && name == old && kind != "remove" {
					after = append(after, kind)
				}
				if kind != failing || failing == "sync" && kind == "sync" && !broke && name != old {
					return nil
				}
				broke = broke || name == old
				return syscall.ENOSPC
			}
			if err := commit("c"); !errors.Is(err, ErrSyncFailed) {
				t.Fatalf("%v", err)
			}
			failing = fails
			for range 2 {
				if err := commit("d"); !errors.Is(err, ErrSyncFailed) && fails != "remove" {
					t.Errorf("%v", err)
				}
			}
			failing = ""
			for _, key := range []string{"e", "f"} {
				if err := commit(key); err != nil {
					t.Errorf("%s with room again: %v", key, err)
				}
			}
			s.Close()
			if len(after) > 0 {
				t.Errorf("the file that failed was asked again: %v", after)
			}
			for ops := marks[0].ops; ops <= d.OperationCount(); ops++ {
				owed := map[string]string{}
				for _, m := range marks {
					if m.ops <= ops {
						owed = m.want
					}
				}
				for seed := range uint64(6) {
					fate := []faultfs.Survival{faultfs.LoseUnsynced, faultfs.KeepUnsynced}[seed%2]
					if seed > 1 {
						fate = faultfs.KeepSome(rand.New(rand.NewPCG(seed, uint64(ops))))
					}
					again, _, err := Open(d.Crash(ops, fate), Options{})
					if err != nil {
						t.Fatalf("stopped after %d operations, fate %d: %v", ops, seed, err)
					}
					got := held(again.State())
					again.Close()
					for key := range owed {
						if got[key] != key {
							t.Fatalf("stopped after %d operations, fate %d: %s is lost of %v", ops, seed, key, got)
						}
					}
				}
			}
		})
	}
}
