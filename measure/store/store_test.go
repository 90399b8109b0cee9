// Package store measures glenport's store beside two libraries: commits a second with a sync each, and what becomes
// of a folder in which one bit was turned over. It is a module of its own, so that glenport does not depend on them.
package store

import (
	"encoding/binary"
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
	size    = 200 // bytes of a value
	records = 1000
)

type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(f string, a ...any) {
	panic(fmt.Sprintf(f, a...))
}

// opened is one of the three, with a commit that returns when it is on disk.
type opened struct {
	commit func(key, value []byte) error
	get    func(key []byte) []byte
	close  func()
}

var engines = map[string]func(dir string) (opened, error){
	"glenport": func(dir string) (opened, error) {
		d, err := vfs.Open(dir)
		if err != nil {
			return opened{}, err
		}
		s, _, err := wal.Open(d, wal.Terms{})
		if err != nil {
			return opened{}, err
		}
		held := map[string][]byte{}
		s.State().Each("k", func(k string, v []byte) error {
			held[k] = v
			return nil
		})
		return opened{func(k, v []byte) error {
			done := make(chan error, 1)
			s.Commit([]wal.Change{{Kind: "k", Key: string(k), Value: v}}, true, func(err error) { done <- err })
			return <-done
		}, func(k []byte) []byte { return held[string(k)] }, func() { s.Close(); d.Close() }}, nil
	},
	"pebble": func(dir string) (opened, error) {
		db, err := pebble.Open(dir, &pebble.Options{FormatMajorVersion: pebble.FormatNewest, Logger: quiet{}})
		if err != nil {
			return opened{}, err
		}
		return opened{func(k, v []byte) error { return db.Set(k, v, pebble.Sync) }, func(k []byte) []byte {
			v, c, err := db.Get(k)
			if err != nil {
				return nil
			}
			defer c.Close()
			return append([]byte(nil), v...)
		}, func() { db.Close() }}, nil
	},
	"bbolt": func(dir string) (opened, error) {
		db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, nil)
		if err != nil {
			return opened{}, err
		}
		db.MaxBatchDelay = time.Millisecond
		if err := db.Update(func(t *bbolt.Tx) error {
			_, err := t.CreateBucketIfNotExists([]byte("k"))
			return err
		}); err != nil {
			return opened{}, err
		}
		return opened{func(k, v []byte) error {
			return db.Batch(func(t *bbolt.Tx) error { return t.Bucket([]byte("k")).Put(k, v) })
		}, func(k []byte) (v []byte) {
			db.View(func(t *bbolt.Tx) error {
				v = append([]byte(nil), t.Bucket([]byte("k")).Get(k)...)
				return nil
			})
			return v
		}, func() { db.Close() }}, nil
	},
}

func key(n int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(n%100_000)) }

func BenchmarkCommit(b *testing.B) {
	for _, clients := range []int{1, 16, 256} {
		for _, name := range []string{"glenport", "pebble", "bbolt"} {
			b.Run(fmt.Sprintf("%s/%d", name, clients), func(b *testing.B) {
				e, err := engines[name](b.TempDir())
				if err != nil {
					b.Fatal(err)
				}
				defer e.close()
				b.SetParallelism(clients)
				var n atomic.Int64
				b.RunParallel(func(p *testing.PB) {
					v := make([]byte, size)
					for p.Next() {
						if err := e.commit(key(n.Add(1)), v); err != nil {
							b.Error(err)
						}
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			})
		}
	}
}

// TestFlip leaves a folder as a crash would after a thousand kept commits, turns one bit over at each of many places,
// and tells how many openings refused, fell over, or went on with less or other than what was kept.
func TestFlip(t *testing.T) {
	if dir := os.Getenv("OPEN_FOLDER"); dir != "" {
		e, err := engines[os.Getenv("OPEN_ENGINE")](dir)
		if err != nil {
			fmt.Println("verdict: refused")
			return
		}
		good := 0
		for n := range int64(records) {
			if string(e.get(key(n))) == string(value(n)) {
				good++
			}
		}
		fmt.Println("verdict: held", good)
		return
	}
	for name, open := range engines {
		dir := t.TempDir()
		e, err := open(dir)
		if err != nil {
			t.Fatal(err)
		}
		for n := range int64(records) {
			if err := e.commit(key(n), value(n)); err != nil {
				t.Fatal(err)
			}
		}
		files := map[string][]byte{}
		largest := ""
		all, _ := os.ReadDir(dir)
		for _, f := range all {
			files[f.Name()], _ = os.ReadFile(filepath.Join(dir, f.Name()))
			if len(files[f.Name()]) > len(files[largest]) {
				largest = f.Name()
			}
		}
		e.close()
		tally := map[string]int{}
		const flips = 60
		for i := range flips {
			copied := t.TempDir()
			p := files[largest]
			at := (2*i + 1) * len(p) / (2 * flips)
			p[at] ^= 4
			for f, data := range files {
				os.WriteFile(filepath.Join(copied, f), data, 0o600)
			}
			p[at] ^= 4
			c := exec.Command(os.Args[0], "-test.run=TestFlip", "-test.v")
			c.Env = append(os.Environ(), "OPEN_FOLDER="+copied, "OPEN_ENGINE="+name)
			out, _ := c.Output()
			var good int
			switch _, rest, ok := strings.Cut(string(out), "verdict: "); {
			case !ok:
				tally["fell over"]++
			case strings.HasPrefix(rest, "refused"):
				tally["refused"]++
			default:
				fmt.Sscanf(rest, "held %d", &good)
				if good == records {
					tally["nothing lost"]++
				} else {
					tally["lost or wrong without a word"]++
				}
			}
		}
		t.Logf("%s: of %d flips in %s (%d bytes): %v", name, flips, largest, len(files[largest]), tally)
	}
}

func value(n int64) []byte {
	v := make([]byte, size)
	binary.BigEndian.PutUint64(v, uint64(n))
	return v
}
