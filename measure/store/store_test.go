// Package store compares glenport's write-ahead log with two storage libraries: synced commits per second, and the
// behavior on a directory in which one bit is flipped. It is a separate module, so that glenport does not depend on the
// libraries.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"
)

const (
	valueSize = 200 // bytes
	records   = 1000
	keys      = 100_000
	flips     = 60
)

// Environment variables of the subprocess that opens a damaged directory.
const (
	dirVariable    = "OPEN_FOLDER"
	engineVariable = "OPEN_ENGINE"
)

// engine is an open storage engine.
type engine struct {
	commit func(key, value []byte) error // returns after the value is synced to disk
	get    func(key []byte) []byte
	close  func() error
}

var engines = map[string]func(dir string) (engine, error){
	"glenport": openWAL,
	"pebble":   openPebble,
	"bbolt":    openBolt,
}

func openWAL(path string) (engine, error) {
	dir, err := vfs.OpenLocked(path)
	if err != nil {
		return engine{}, err
	}
	log, _, err := wal.Open(dir, wal.Options{})
	if err != nil {
		return engine{}, errors.Join(err, dir.Close())
	}
	loaded := map[string][]byte{}
	err = log.State().ForEach("k", func(key string, value []byte) error {
		loaded[key] = value
		return nil
	})
	return engine{
		commit: func(key, value []byte) error {
			return log.CommitSync(wal.Change{Kind: "k", Key: string(key), Value: value})
		},
		get:   func(key []byte) []byte { return loaded[string(key)] },
		close: func() error { return errors.Join(log.Close(), dir.Close()) },
	}, err
}

// silentLogger discards the messages of pebble, but panics on a fatal one.
type silentLogger struct{}

func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf(format, args...))
}

func openPebble(path string) (engine, error) {
	db, err := pebble.Open(path, &pebble.Options{FormatMajorVersion: pebble.FormatNewest, Logger: silentLogger{}})
	if err != nil {
		return engine{}, err
	}
	return engine{
		commit: func(key, value []byte) error { return db.Set(key, value, pebble.Sync) },
		get: func(key []byte) []byte {
			value, closer, err := db.Get(key)
			if err != nil {
				return nil // missing or damaged; the caller counts the value as lost
			}
			copied := bytes.Clone(value)
			if err := closer.Close(); err != nil {
				return nil
			}
			return copied
		},
		close: db.Close,
	}, nil
}

func openBolt(path string) (engine, error) {
	bucket := []byte("k")
	db, err := bbolt.Open(filepath.Join(path, "db"), 0o600, nil)
	if err != nil {
		return engine{}, err
	}
	db.MaxBatchDelay = time.Millisecond
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
	if err != nil {
		return engine{}, errors.Join(err, db.Close())
	}
	return engine{
		commit: func(key, value []byte) error {
			return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) })
		},
		get: func(key []byte) (value []byte) {
			err := db.View(func(tx *bbolt.Tx) error {
				value = bytes.Clone(tx.Bucket(bucket).Get(key))
				return nil
			})
			if err != nil {
				return nil
			}
			return value
		},
		close: db.Close,
	}, nil
}

func keyOf(n int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(n%keys)) }

func valueOf(n int64) []byte {
	value := make([]byte, valueSize)
	binary.BigEndian.PutUint64(value, uint64(n))
	return value
}

func BenchmarkCommit(b *testing.B) {
	for _, clients := range []int{1, 16, 256} {
		for _, name := range []string{"glenport", "pebble", "bbolt"} {
			b.Run(fmt.Sprintf("%s/%d", name, clients), func(b *testing.B) { runCommits(b, name, clients) })
		}
	}
}

func runCommits(b *testing.B, name string, clients int) {
	b.Helper()
	e, err := engines[name](b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer func() {
		if err := e.close(); err != nil {
			b.Error(err)
		}
	}()
	b.SetParallelism(clients)
	var n atomic.Int64
	b.RunParallel(func(p *testing.PB) {
		value := make([]byte, valueSize)
		for p.Next() {
			if err := e.commit(keyOf(n.Add(1)), value); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// TestFlip commits a thousand records and copies the files as a crash leaves them. In each copy it flips one bit of the
// largest file and opens the directory. It logs how many opens were refused, crashed, or silently lost or changed
// records. It compares the engines, and fails only if a trial cannot be run.
func TestFlip(t *testing.T) {
	if dir := os.Getenv(dirVariable); dir != "" {
		openDamaged(os.Getenv(engineVariable), dir)
		return
	}
	for name := range engines {
		t.Run(name, func(t *testing.T) { flipBits(t, name) })
	}
}

// openDamaged runs in the subprocess. It prints how many of the committed values an engine finds in a directory.
func openDamaged(name, dir string) {
	e, err := engines[name](dir)
	if err != nil {
		fmt.Println("verdict: refused")
		return
	}
	found := 0
	for n := range int64(records) {
		if bytes.Equal(e.get(keyOf(n)), valueOf(n)) {
			found++
		}
	}
	fmt.Println("verdict: held", found)
}

func flipBits(t *testing.T, name string) {
	t.Helper()
	files := filesAfterCrash(t, name)
	largest := ""
	for file, data := range files {
		if len(data) > len(files[largest]) {
			largest = file
		}
	}
	outcomes := map[string]int{}
	for i := range flips {
		damaged := bytes.Clone(files[largest])
		damaged[(2*i+1)*len(damaged)/(2*flips)] ^= 4
		dir := t.TempDir()
		for file, data := range files {
			if file == largest {
				data = damaged
			}
			if err := os.WriteFile(filepath.Join(dir, file), data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		outcomes[openInSubprocess(t, name, dir)]++
	}
	t.Logf("%s: of %d flips in %s (%d bytes): %v", name, flips, largest, len(files[largest]), outcomes)
}

// filesAfterCrash commits all records and returns the files of the directory, read before the engine is closed.
func filesAfterCrash(t *testing.T, name string) map[string][]byte {
	t.Helper()
	dir := t.TempDir()
	e, err := engines[name](dir)
	if err != nil {
		t.Fatal(err)
	}
	for n := range int64(records) {
		if err := e.commit(keyOf(n), valueOf(n)); err != nil {
			t.Fatal(err)
		}
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		if files[entry.Name()], err = os.ReadFile(filepath.Join(dir, entry.Name())); err != nil {
			t.Fatal(err)
		}
	}
	if err := e.close(); err != nil {
		t.Fatal(err)
	}
	return files
}

// openInSubprocess opens a directory in a subprocess, as a library may crash on it, and returns the outcome.
func openInSubprocess(t *testing.T, name, dir string) string {
	t.Helper()
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=TestFlip", "-test.v")
	command.Env = append(os.Environ(), dirVariable+"="+dir, engineVariable+"="+name)
	output, err := command.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	_, verdict, ok := strings.Cut(string(output), "verdict: ")
	if !ok {
		return "crashed"
	}
	if strings.HasPrefix(verdict, "refused") {
		return "refused"
	}
	found := 0
	if _, err := fmt.Sscanf(verdict, "held %d", &found); err != nil {
		t.Fatal(err)
	}
	if found == records {
		return "nothing lost"
	}
	return "silently lost or wrong"
}
