package faultfs

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"glenport/internal/storage/vfs"
)

var update = flag.Bool("update", false, "record the golden file of this package anew")

const goldenFile = "testdata/crashes.txt"

// play does a seeded history of operations, some of which fail, and notes what each returns.
func play(r *rand.Rand, d *FS, note func(format string, a ...any)) {
	names := []string{"a", "b", "c", "d"}
	var open []vfs.File
	d.InjectError = func(kind, name string) error {
		if r.IntN(12) == 0 {
			return fmt.Errorf("%s of %q fails", kind, name)
		}
		return nil
	}
	defer func() { d.InjectError = nil }()
	for range 60 {
		name := names[r.IntN(len(names))]
		switch r.IntN(11) {
		case 0, 1:
			f, err := d.Create(name)
			if err == nil {
				open = append(open, f)
			}
			note("create %s: %v %t", name, err, errors.Is(err, os.ErrExist))
		case 2:
			f, err := d.Append(name)
			if err == nil {
				open = append(open, f)
			}
			note("append %s: %v %t", name, err, errors.Is(err, os.ErrNotExist))
		case 3:
			err := d.Rename(name, names[r.IntN(len(names))])
			note("rename %s: %v", name, err)
		case 4:
			note("remove %s: %v", name, d.Remove(name))
		case 5:
			note("sync folder: %v", d.Sync())
		case 6:
			p, err := d.Read(name)
			note("read %s: %x %v", name, p, err)
		default:
			if len(open) == 0 {
				continue
			}
			f := open[r.IntN(len(open))]
			switch r.IntN(5) {
			case 0:
				note("sync: %v", f.Sync())
			case 1:
				note("truncate: %v", f.Truncate(int64(r.IntN(1500))))
			default:
				p := make([]byte, r.IntN(1300))
				for i := range p {
					p[i] = byte(r.Uint32())
				}
				n, err := f.Write(p)
				note("write: %d %v", n, err)
			}
		}
	}
}

func noteFiles(d *FS, note func(format string, a ...any)) {
	names, err := d.List()
	note("%v %v, after %d operations", names, err, d.OperationCount())
	for _, name := range names {
		p, err := d.Read(name)
		note("%s: %x %v", name, p, err)
	}
}

func digestOf(seed uint64) (digest string, states int) {
	sum := sha256.New()
	note := func(format string, a ...any) { fmt.Fprintf(sum, format+"\n", a...) }
	r := rand.New(rand.NewPCG(seed, 7))
	d := New()
	d.IgnoreSync = seed%8 == 7
	play(r, d, note)
	noteFiles(d, note)
	for after := range d.OperationCount() + 1 {
		for i, fate := range []Survival{LoseUnsynced, KeepUnsynced, KeepSome(r), KeepSome(r)} {
			found := d.Crash(after, fate)
			states++
			note("crash after %d, fate %d", after, i)
			noteFiles(found, note)
			if i == 3 { // a crash of what was found, and damage to it
				noteFiles(found.Crash(found.OperationCount(), LoseUnsynced), note)
				note("%v", found.FlipBit("a", r.IntN(4000)))
				noteFiles(found, note)
			}
		}
	}
	return fmt.Sprintf("%x", sum.Sum(nil)), states
}

// The states in which a crash may leave a folder are the same for the same chance, in every version.
func TestCrashStatesAreKept(t *testing.T) {
	got := ""
	for group := range uint64(4) {
		all, states := sha256.New(), 0
		for seed := group * 16; seed < group*16+16; seed++ {
			digest, n := digestOf(seed)
			fmt.Fprintln(all, digest)
			states += n
		}
		got += fmt.Sprintf("seeds %d to %d: %d states, digest %x\n", group*16, group*16+15, states, all.Sum(nil))
	}
	if *update {
		if err := os.WriteFile(goldenFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
