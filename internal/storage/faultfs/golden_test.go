package faultfs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"glenport/internal/golden"
	"glenport/internal/storage/vfs"
)

const goldenFile = "testdata/crashes.txt"

// notes adds lines of text to a digest.
type notes struct{ *golden.Digest }

func (n notes) add(format string, arguments ...any) { n.Printf(format+"\n", arguments...) }

func (n notes) addFiles(fs *FS) {
	names, err := fs.List()
	n.add("%v %v, after %d operations", names, err, fs.OperationCount())
	for _, name := range names {
		data, err := fs.Read(name)
		n.add("%s: %x %v", name, data, err)
	}
}

// historyRunner runs a seeded history of operations, some of which fail, and records their results.
type historyRunner struct {
	random *rand.Rand
	fs     *FS
	notes  notes
	open   []vfs.File
}

var fileNames = []string{"a", "b", "c", "d"}

func (h *historyRunner) drawName() string { return fileNames[h.random.IntN(len(fileNames))] }

func (h *historyRunner) injectError(kind, name string) error {
	if h.random.IntN(12) == 0 {
		return fmt.Errorf("%s of %q fails", kind, name)
	}
	return nil
}

func (h *historyRunner) run() {
	h.fs.InjectError = h.injectError
	for range 60 {
		h.step(h.drawName())
	}
	h.fs.InjectError = nil
}

func (h *historyRunner) step(name string) {
	switch h.random.IntN(11) {
	case 0, 1:
		err := h.addOpenFile(h.fs.Create(name))
		h.notes.add("create %s: %v %t", name, err, errors.Is(err, os.ErrExist))
	case 2:
		err := h.addOpenFile(h.fs.Append(name))
		h.notes.add("append %s: %v %t", name, err, errors.Is(err, os.ErrNotExist))
	case 3:
		h.notes.add("rename %s: %v", name, h.fs.Rename(name, h.drawName()))
	case 4:
		h.notes.add("remove %s: %v", name, h.fs.Remove(name))
	case 5:
		h.notes.add("sync folder: %v", h.fs.Sync())
	case 6:
		data, err := h.fs.Read(name)
		h.notes.add("read %s: %x %v", name, data, err)
	default:
		if len(h.open) > 0 {
			h.changeFile(h.open[h.random.IntN(len(h.open))])
		}
	}
}

func (h *historyRunner) addOpenFile(file vfs.File, err error) error {
	if err == nil {
		h.open = append(h.open, file)
	}
	return err
}

func (h *historyRunner) changeFile(file vfs.File) {
	switch h.random.IntN(5) {
	case 0:
		h.notes.add("sync: %v", file.Sync())
	case 1:
		h.notes.add("truncate: %v", file.Truncate(int64(h.random.IntN(1500))))
	default:
		data := make([]byte, h.random.IntN(1300))
		for i := range data {
			data[i] = byte(h.random.Uint32())
		}
		written, err := file.Write(data)
		h.notes.add("write: %d %v", written, err)
	}
}

// digestOf runs a history and simulates a crash after each operation, in four ways. It returns the digest of the
// results and the number of states after a crash.
func digestOf(seed uint64) (digest string, states int) {
	n := notes{golden.NewDigest()}
	random := rand.New(rand.NewPCG(seed, 7))
	fs := New()
	fs.IgnoreSync = seed%8 == 7
	(&historyRunner{random: random, fs: fs, notes: n}).run()
	n.addFiles(fs)
	for after := range fs.OperationCount() + 1 {
		for i, survival := range []Survival{LoseUnsynced, KeepUnsynced, KeepSome(random), KeepSome(random)} {
			found := fs.Crash(after, survival)
			states++
			n.add("crash after %d, fate %d", after, i)
			n.addFiles(found)
			if i == 3 { // crash the resulting directory again, and damage it
				n.addFiles(found.Crash(found.OperationCount(), LoseUnsynced))
				n.add("%v", found.FlipBit("a", random.IntN(4000)))
				n.addFiles(found)
			}
		}
	}
	return n.Sum(), states
}

// For each seed, the states in which a crash leaves a directory are the recorded ones.
func TestCrashStatesMatchGoldenFile(t *testing.T) {
	var got strings.Builder
	for group := range uint64(4) {
		all, states := notes{golden.NewDigest()}, 0
		for seed := group * 16; seed < group*16+16; seed++ {
			digest, n := digestOf(seed)
			all.add("%s", digest)
			states += n
		}
		fmt.Fprintf(&got, "seeds %d to %d: %d states, digest %s\n", group*16, group*16+15, states, all.Sum())
	}
	golden.CheckText(t, goldenFile, got.String())
}
