package schedulerd

import (
	"encoding/binary"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"glenport/internal/config"
	"glenport/internal/eventloop"
	"glenport/internal/protocol"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/scheduler"
)

// learned is a script that has learned something.
type learned struct {
	*script
	knows    scheduler.Snapshot
	recalled chan scheduler.Snapshot
}

func (l *learned) Snapshot() scheduler.Snapshot { return l.knows }
func (l *learned) Restore(k scheduler.Snapshot) { l.recalled <- k }

func learning(k scheduler.Snapshot) *learned {
	return &learned{&script{events: make(chan scheduler.Event, 10_000)}, k, make(chan scheduler.Snapshot, 1)}
}

// live runs one life of a placer until it is stopped, or leaves it as kill -9 would where its state is copied first.
func live(t *testing.T, s site1, d Scheduler, f func(*Server)) {
	t.Helper()
	h, err := New(s.Placer, d, discard)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- h.Run() }()
	f(h)
	h.Stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A placer comes back with its last list and what it learned, and without what no longer counts.
func TestComesBack(t *testing.T) {
	s := site1{terms(t)}
	s.State = t.TempDir()
	s.ListAddr = listing(t, map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:1"})
	first := learning(scheduler.Snapshot{Machines: []scheduler.MachineSnapshot{{Machine: "a", OutlierLogOdds: 4}, {Machine: "gone", OutlierLogOdds: 4}}})
	live(t, s, first, func(h *Server) {
		h.loop.Post(func() { h.requestList(&protocol.WatchMachineList{Enabled: true}) })
		await[scheduler.MachineListUpdate](&rig{T: t, script: first.script}, func(e scheduler.MachineListUpdate) bool { return e.Mode != scheduler.RestoredSnapshot })
	})
	second := learning(scheduler.Snapshot{})
	live(t, s, second, func(*Server) {
		if e := await[scheduler.MachineListUpdate](&rig{T: t, script: second.script}, nil); e.Mode != scheduler.RestoredSnapshot || len(e.Entries) != 2 {
			t.Errorf("came back with %+v", e)
		}
		k := <-second.recalled
		if len(k.Machines) != 1 || k.Machines[0].Machine != "a" || k.Machines[0].OutlierLogOdds < 3.5 || k.Machines[0].OutlierLogOdds > 4 {
			t.Errorf("recalled %+v", k.Machines)
		}
	})
	name := filepath.Join(s.State, WarmStartFile)
	data, _ := os.ReadFile(name)
	flipped := append([]byte(nil), data...)
	flipped[len(flipped)/2] ^= 1
	for _, broken := range [][]byte{{}, data[:len(data)/2], append([]byte("x"), data...), flipped} { // told, and left
		os.WriteFile(name, broken, 0o644)
		third := learning(scheduler.Snapshot{})
		live(t, s, third, func(*Server) {
			if e := await[scheduler.MachineListUpdate](&rig{T: t, script: third.script}, nil); len(e.Entries) != 0 {
				t.Errorf("%d bytes that are no knowledge are taken for it", len(broken))
			}
		})
	}
	d, err := vfs.OpenLocked(s.State)
	if err != nil {
		t.Fatal(err)
	}
	if err := wal.WriteChecksummed(d, WarmStartFile, WarmStartMagic, WarmStartVersion+1, nil); err != nil {
		t.Fatal(err)
	}
	d.Close()
	var newer *wal.UnsupportedVersionError
	if _, err := New(s.Placer, learning(scheduler.Snapshot{}), discard); !errors.As(err, &newer) {
		t.Errorf("a file from later: %v", err)
	}
}

// The file of an earlier version, the list alone, is read once.
func TestUpgrade(t *testing.T) {
	s := site1{terms(t)}
	s.State, s.Keep = t.TempDir(), filepath.Join(t.TempDir(), "list")
	data, err := protocol.Append(binary.BigEndian.AppendUint64(nil, 1000), &protocol.MachineListUpdate{FullSnapshot: true, Version: 7,
		Entries: []protocol.MachineEntry{{Machine: "a", Address: "127.0.0.1:1", Age: 50}}})
	if err != nil {
		t.Fatal(err)
	}
	// It is older than a day, and no longer believed; one of today is.
	for name, at := range map[string]uint64{"old": 1000, "new": 0} {
		if name == "new" {
			live(t, site1{terms(t)}, &script{events: make(chan scheduler.Event, 10)}, func(h *Server) { at = uint64(h.loop.Now()) })
		}
		binary.BigEndian.PutUint64(data, at)
		os.WriteFile(s.Keep, data, 0o644)
		s.State = t.TempDir()
		d := learning(scheduler.Snapshot{})
		live(t, s, d, func(*Server) {
			if e := await[scheduler.MachineListUpdate](&rig{T: t, script: d.script}, nil); (len(e.Entries) == 1) != (name == "new") {
				t.Errorf("%s: %+v", name, e)
			}
		})
	}
}

// A crash between a bid and its end: the next life knows that it may run, asks its machine first, and takes it over
// or lets its key out again by the machine's word. What is reissuable is not written down.
func TestBidAndCrash(t *testing.T) {
	for _, tc := range []struct {
		name     string
		workload int
		runs     bool
		logged   int
		want     protocol.Verdict
	}{
		{"at-most-once, and it runs", 2, true, 1, protocol.VerdictPlaced},
		{"at-most-once, and it does not", 2, false, 1, protocol.VerdictFailed}, // the script gives up what it is asked
		{"numbered, and it runs", 1, true, 1, protocol.VerdictPlaced},
		{"reissuable", 0, false, 0, protocol.VerdictFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			offered := make(chan *protocol.Offer, 1)
			silent := machineThat(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
				if o, ok := f.(*protocol.Offer); ok {
					offered <- o
				}
				return true
			})
			s := terms(t)
			s.State = t.TempDir()
			r := start(t, s, func(e scheduler.Event) []scheduler.Action {
				if e, ok := e.(scheduler.RequestReceived); ok {
					return []scheduler.Action{scheduler.StartAttempt{ID: e.ID, Machine: "a"}}
				}
				return nil
			}, map[string]string{"a": silent})
			r.door.submit("x", tc.workload)
			o := <-offered
			crashed := t.TempDir() // the folder as a kill -9 leaves it
			if err := os.CopyFS(crashed, os.DirFS(s.State)); err != nil {
				t.Fatal(err)
			}
			held := &protocol.Inventory{}
			if tc.runs {
				held.Containers = []protocol.InventoryItem{{SchedulerIncarnation: r.h.incarnation, AttemptID: o.AttemptID, Running: true, Spec: o.Spec}}
			}
			tell := make(chan bool)
			mute := serve(t, func(c net.Conn) { // greets when it is told to
				if _, err := protocol.ReadFrame(c, protocol.MaxFrame); err != nil {
					return
				}
				<-tell
				put(c, protocol.NewHello(protocol.RoleMachine, "a", 1), held)
				protocol.ReadFrame(c, protocol.MaxFrame)
			})
			s2 := terms(t)
			s2.State, s2.Connect = crashed, 100_000
			give := func(e scheduler.Event) []scheduler.Action {
				if e, ok := e.(scheduler.RequestReceived); ok {
					return []scheduler.Action{scheduler.Fail{ID: e.ID}}
				}
				return nil
			}
			next := start(t, s2, give, map[string]string{"a": mute})
			if n := on1(next.h, func() int { return next.h.ownership.UnresolvedKeys() }); n != tc.logged {
				t.Errorf("%d bids are known to be without an end", n)
			}
			ask := func() *protocol.PlacementReply {
				put(next.door.Conn, &protocol.Submit{TimeToDeadline: 60000, Spec: protocol.ContainerSpec{ContainerID: "y", IdempotencyKey: "k-x", Service: "s", WorkloadClass: tc.workload,
					Cores: 1, Memory: 1, ClientRetry: true}})
				return next.door.answer()
			}
			if tc.logged > 0 {
				if a := ask(); a.Verdict != protocol.VerdictNotAdmitted || !strings.Contains(a.Message, "may run on machine a") {
					t.Errorf("asked again before the machine told: %+v", a)
				}
			}
			close(tell)
			until(t, func() bool { return on1(next.h, func() bool { return next.h.ownership.UnresolvedKeys() == 0 }) })
			if a := ask(); a.Verdict != tc.want {
				t.Errorf("asked again when it had told: %+v", a)
			}
		})
	}
}

// What went to a machine that counted as warm is on record from the moment a start is heard of that it may have reached: the
// next life has it.
func TestSentBeforeStartIsHeard(t *testing.T) {
	s := terms(t)
	s.State = t.TempDir()
	addr := machineThat(t, "a", &protocol.Inventory{}, func(net.Conn, protocol.Frame) bool { return true })
	r := start(t, s, bidTo(0), map[string]string{"a": addr})
	r.door.submit("x", 0)
	until(t, func() bool { return on1(r.h, func() bool { return len(r.h.machines["a"].attempts) > 0 }) })
	if n := kept(t, copied(t, s.State), SendKind); n != 0 {
		t.Errorf("%d records of what went to a warm machine", n)
	}
	entry := protocol.MachineEntry{Machine: "a", Address: addr, Incarnation: 2, Age: protocol.Duration(2 * eventloop.Second)}
	on1(r.h, func() bool { r.h.applyList(scheduler.DeltaUpdate, 2, []protocol.MachineEntry{entry}); return true })
	until(t, func() bool { return kept(t, copied(t, s.State), SendKind) == 1 })
	next := terms(t)
	next.State = copied(t, s.State) // as a kill -9 leaves it
	next.ListAddr = serve(t, func(c net.Conn) {
		put(c, protocol.NewHello(protocol.RoleMachineList, "list", 1), &protocol.MachineListUpdate{FullSnapshot: true, Version: 2, Entries: []protocol.MachineEntry{entry}})
		protocol.ReadFrame(c, protocol.MaxFrame)
		protocol.ReadFrame(c, protocol.MaxFrame)
		protocol.ReadFrame(c, protocol.MaxFrame)
	})
	d := learning(scheduler.Snapshot{})
	live(t, site1{next}, d, func(h *Server) {
		<-d.recalled // at its begin, when no list has told of that start
		h.loop.Post(func() { h.requestList(&protocol.WatchMachineList{Enabled: true}) })
		if k := <-d.recalled; len(k.Machines) != 1 || k.Machines[0].Machine != "a" || len(k.Machines[0].RecentSends) != 1 {
			t.Errorf("%+v", k.Machines)
		}
	})
}

// copied is a folder as a kill -9 leaves it.
func copied(t *testing.T, path string) string {
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(path)); err != nil {
		t.Fatal(err)
	}
	return to
}

// cramped is a folder that may be full, or slow to sync.
type cramped struct {
	stateDir
	full atomic.Bool
	gate sync.RWMutex // syncs wait while it is held
}

type crampedFile struct {
	vfs.File
	c *cramped
}

func (c *cramped) Create(name string) (vfs.File, error) {
	if c.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := c.stateDir.Create(name)
	return crampedFile{f, c}, err
}

func (c *cramped) Append(name string) (vfs.File, error) {
	f, err := c.stateDir.Append(name)
	return crampedFile{f, c}, err
}

func (f crampedFile) Write(p []byte) (int, error) {
	if f.c.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f crampedFile) Sync() error {
	f.c.gate.RLock()
	defer f.c.gate.RUnlock()
	return f.File.Sync()
}

func cramp(t *testing.T, s *config.Placer) *cramped {
	c := &cramped{}
	s.State = t.TempDir()
	openStateDir = func(path string) (stateDir, error) {
		var err error
		c.stateDir, err = vfs.OpenLocked(path)
		return c, err
	}
	t.Cleanup(func() { openStateDir = func(path string) (stateDir, error) { return vfs.OpenLocked(path) } })
	return c
}

// kept are the records of one kind in a folder that nobody holds.
func kept(t *testing.T, path, kind string) (n int) {
	d, err := vfs.OpenLocked(path)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	s, err := wal.Load(d, false)
	if err != nil {
		t.Fatal(err)
	}
	s.ForEach(kind, func(string, []byte) error { n++; return nil })
	return n
}

// What must be written down and cannot be is not sent; other work goes on. With room again, in the same life, it is sent,
// and the log holds nothing that ended meanwhile. A start that finds no room is no other.
func TestFullDisk(t *testing.T) {
	for _, name := range []string{"it runs full", "full at the start"} {
		t.Run(name, func(t *testing.T) {
			offered, end := make(chan string, 10), make(chan struct{}, 10)
			addr := machineThat(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
				if o, ok := f.(*protocol.Offer); ok {
					put(c, &protocol.Accept{AttemptID: o.AttemptID, Running: true})
					offered <- o.Spec.ContainerID
					if o.Spec.ContainerID == "before" {
						go func() {
							<-end
							put(c, &protocol.Result{AttemptID: o.AttemptID, Outcome: protocol.OutcomeFinished})
						}()
					}
				}
				return true
			})
			defer close(end)
			s := terms(t)
			c := cramp(t, s)
			if name != "it runs full" { // a folder there is
				live(t, site1{s}, learning(scheduler.Snapshot{}), func(*Server) {})
				c.full.Store(true)
			}
			r := start(t, s, bidTo(0), map[string]string{"a": addr})
			if name == "it runs full" {
				r.door.submit("before", 2)
				<-offered
				if a := r.door.answer(); a.Verdict != protocol.VerdictPlaced {
					t.Fatalf("%+v", a)
				}
				c.full.Store(true)
				end <- struct{}{}
				await(r, func(e scheduler.AttemptEnded) bool { return e.ID == "before" })
				r.door.next() // its fate
			}
			r.door.submit("once", 2)
			if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeNotSent || e.ID != "once" {
				t.Errorf("%+v", e)
			}
			r.door.answer()
			r.door.submit("again", 0)
			if got := <-offered; got != "again" {
				t.Errorf("%s was sent", got)
			}
			r.door.answer()
			c.full.Store(false)
			r.door.submit("after", 2)
			if a := r.door.answer(); a.Verdict != protocol.VerdictPlaced || a.ContainerID != "after" {
				t.Errorf("with room again: %+v", a)
			}
			if on1(r.h, func() bool { r.h.state.save(); return r.h.state.incarnationUnlogged }) {
				t.Error("the log does not hold this life")
			}
			r.h.Stop()
			until(t, func() bool { return !r.h.loop.Post(func() {}) })
			until(t, func() bool { d, err := vfs.OpenLocked(s.State); return err == nil && d.Close() == nil })
			if bids, lives := kept(t, s.State, AttemptKind), kept(t, s.State, IncarnationKind); bids != 1 || lives != 1 {
				t.Errorf("%d bids and %d lives in the log, want that of what runs and one", bids, lives)
			}
		})
	}
}

// A bid that waits for a slow disk longer than a link may take is not sent, whatever is heard meanwhile, and tells nothing
// of its machine.
func TestSlowDisk(t *testing.T) {
	offered := make(chan string, 10)
	addr := machineThat(t, "a", &protocol.Inventory{}, func(c net.Conn, f protocol.Frame) bool {
		if o, ok := f.(*protocol.Offer); ok {
			offered <- o.Spec.ContainerID
		}
		return true
	})
	s := terms(t)
	s.Connect = 50 * eventloop.Millisecond
	c := cramp(t, s)
	r := start(t, s, bidTo(0), map[string]string{"a": addr})
	until(t, func() bool { return on1(r.h, func() bool { return r.h.machines["a"].ready }) })
	c.gate.Lock()
	r.door.submit("once", 2)
	if e := await[scheduler.AttemptEnded](r, nil); e.Outcome != scheduler.OutcomeNotSent {
		t.Errorf("%+v", e)
	}
	on1(r.h, func() bool {
		r.h.applyList(scheduler.DeltaUpdate, 2, []protocol.MachineEntry{{Machine: "a", Address: addr, State: protocol.MachineDraining, Incarnation: 1, Age: -1}})
		return true
	})
	c.gate.Unlock()
	r.door.submit("again", 0)
	if got := <-offered; got != "again" {
		t.Errorf("%s was sent", got)
	}
}

// A folder that another instance holds, or that cannot be written, stops the start with a word.
func TestFolder(t *testing.T) {
	s := site1{terms(t)}
	s.State = t.TempDir()
	live(t, s, learning(scheduler.Snapshot{}), func(*Server) {
		var owned *vfs.LockedError
		if _, err := New(s.Placer, learning(scheduler.Snapshot{}), discard); !errors.As(err, &owned) {
			t.Errorf("%v", err)
		}
	})
	s.State = filepath.Join(s.State, WarmStartFile, "below a file")
	if _, err := New(s.Placer, learning(scheduler.Snapshot{}), discard); err == nil {
		t.Error("a folder that cannot be is opened")
	}
}
