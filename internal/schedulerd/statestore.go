package schedulerd

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"glenport/internal/protocol"
	"glenport/internal/schedulerd/reconcile"
	"glenport/internal/schedulerd/recovery"
	"glenport/internal/schedulerd/warmstart"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"
	"glenport/scheduler"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of what a placer's log holds.
const (
	AttemptKind     = "bid"  // by number: one that is out or runs, of work that is not reissuable
	SendKind        = "sent" // by machine: when bids went to it while it was cold
	IncarnationKind = "life"
)

const incarnationKey = "this"

// stateStore is what a placer keeps on disk. The changes of one turn are one commit; what waits for it is done when it
// is written, or on disk, as recovery decides by the work's effect.
type stateStore struct {
	server              *Server
	dir                 stateDir
	log                 *wal.Log
	current             warmstart.LogHistory
	previous            warmstart.LogHistory // what the folder said
	snapshot            *WarmStartSnapshot
	sends               []warmstart.SlowStartSends
	ledger              *warmstart.SendLedger
	pendingSends        []warmstart.SlowStartSends // to starts that no list has told yet; emptied when it does, or after two windows
	sendsKnownSince     scheduler.Time             // from then on all that was sent to cold machines is known
	attempts            []reconcile.Attempt        // of earlier lives, without an end
	changes             []wal.Change               // of this turn
	syncNeeded          bool
	callbacks           []func(error)
	retryDeletes        []wal.Change // ends of bids that the disk did not take; tried again with the next saving
	incarnationUnlogged bool         // the log does not hold yet that this life began
	restored            bool
	saving              bool
	saveFailed          bool // the last saving failed
	writers             sync.WaitGroup
}

type stateDir interface {
	vfs.FS
	Close() error
}

// openStateDir is disk.Open, but for tests that make it run full.
var openStateDir = func(path string) (stateDir, error) { return vfs.OpenLocked(path) }

// openState reads a folder and writes down that this life begins. What it cannot read or hold stops the start; a full disk
// does not.
func openState(h *Server) (*stateStore, error) {
	s := &stateStore{server: h, ledger: warmstart.NewSendLedger(h.config.Terms.SlowStartPeriod, h.config.Terms.SlowStartWindow)}
	var err error
	if s.dir, err = openStateDir(h.config.State); err != nil {
		return nil, err
	}
	fail := func(err error) (*stateStore, error) {
		s.dir.Close()
		return nil, fmt.Errorf("state folder %s: %w", h.config.State, err)
	}
	var figures wal.Stats
	if s.log, figures, err = wal.Open(s.dir, wal.Options{OnModeChange: func(text string, a ...any) {
		h.loop.Post(func() { h.log.Warn(text, a...) })
	}}); err != nil {
		return fail(err)
	}
	if err := s.load(); err != nil {
		s.log.Close()
		return fail(err)
	}
	now := readClocks(scheduler.Time(h.loop.Now()))
	s.current = s.previous.Next(now)
	if err := s.log.CommitSync(s.incarnationChange()); err != nil { // nothing that needs the log is sent before it is there
		s.incarnationUnlogged = true
		h.log.Warn("this start is not in the log yet: what must be kept waits for it", "why", err)
	}
	h.log.Info("state read", "folder", h.config.State, "records", figures.Records, "groups", figures.Groups, "bytes", figures.Bytes,
		"cut off", figures.TruncatedBytes, "bids that may run", len(s.attempts), "log", s.current.Coverage)
	return s, nil
}

func (s *stateStore) incarnationChange() wal.Change {
	return wal.Put(IncarnationKind, incarnationKey, s.current)
}

// load takes out of the log what this life needs of the earlier ones.
func (s *stateStore) load() (err error) {
	from := s.log.State()
	if err = from.ForEach(IncarnationKind, func(_ string, v []byte) error { return cbor.Unmarshal(v, &s.previous) }); err != nil {
		return err
	}
	if err = from.ForEach(AttemptKind, func(_ string, v []byte) error {
		var held reconcile.Attempt
		err := cbor.Unmarshal(v, &held)
		s.attempts = append(s.attempts, held)
		return err
	}); err != nil {
		return err
	}
	if err = from.ForEach(SendKind, func(_ string, v []byte) error {
		var sent warmstart.SlowStartSends
		err := cbor.Unmarshal(v, &sent)
		s.sends = append(s.sends, sent)
		return err
	}); err != nil {
		return err
	}
	// Knowledge is no promise: a file that cannot be read is told and left, and the placer learns anew. One from
	// a later glenport is left alone.
	var newer *wal.UnsupportedVersionError
	if s.snapshot, err = ReadWarmStart(s.dir); errors.As(err, &newer) {
		return err
	} else if err != nil {
		s.server.log.Warn("knowledge not used", "why", err)
	} else if s.snapshot == nil {
		if s.snapshot, err = readLegacyList(s.server.config.Keep); err != nil {
			s.server.log.Warn("kept list not used", "why", err)
		} else if s.snapshot != nil {
			s.server.log.Info("kept list read, from now on it is in the state folder", "file", s.server.config.Keep)
		}
	}
	return nil
}

// restore hands over what earlier lives left: the list and what was learned to the module, bids to custody.
func (s *stateStore) restore() {
	h := s.server
	now := readClocks(scheduler.Time(h.loop.Now()))
	for _, b := range s.attempts {
		h.enqueueOwnershipEvent(reconcile.AttemptRestored{Attempt: b})
	}
	s.restored = true
	kept := warmstart.Persisted{History: s.previous, Sends: s.sends}
	var version int64
	var entries []protocol.MachineEntry
	if k := s.snapshot; k != nil {
		kept.TakenAt, kept.Snapshot, kept.Incarnations, kept.ClassNames = k.TakenAt, k.Learned, k.Incarnations, k.Names
		version, entries = k.ListVersion, k.agedEntries(now)
		if d := h.ownership.Limiter(); d != nil && k.Overload != nil && slices.Equal(k.Names, h.classNames()) {
			d.Restore(*k.Overload, warmstart.Weight(warmstart.ConcurrencyLimit, now.Since(k.TakenAt).Age))
		}
		if len(entries) < len(k.Entries) {
			h.log.Info("list of machines not used", "why", "it is too old", "machines", len(k.Entries))
		}
	}
	h.applyList(scheduler.RestoredSnapshot, version, entries)
	h.runIteration() // the module has to know the machines first
	l, ok := h.scheduler.(warmStarter)
	if !ok {
		return
	}
	machines, starts := map[scheduler.MachineID]warmstart.MachineStart{}, map[scheduler.MachineID]uint64{}
	for id, m := range h.machines {
		machines[id], starts[id] = m.restartInfo(), m.incarnation
	}
	b := warmstart.Restore(now, kept, machines, h.classNames(), h.config.Terms.SlowStartWindow)
	l.Restore(b.Snapshot)
	s.pendingSends, s.sendsKnownSince = b.PendingSends, b.Snapshot.SendsKnownSince
	s.ledger.Restore(b, starts)
	for _, old := range s.sends { // what counts no more is forgotten, the rest is put by this life's clock
		s.remove(SendKind, string(old.Machine))
	}
	for _, l := range b.PendingSends {
		s.put(SendKind, string(l.Machine), l)
	}
	for _, m := range b.Snapshot.Machines {
		if len(m.RecentSends) > 0 {
			s.put(SendKind, string(m.Machine), warmstart.SlowStartSends{Machine: m.Machine, Incarnation: starts[m.Machine], Times: m.RecentSends})
		}
	}
	for _, m := range b.Messages {
		h.log.LogAttrs(context.Background(), slog.LevelInfo, m.Text, m.Attrs...)
	}
	s.attempts, s.sends, s.snapshot = nil, nil, nil
	h.loop.After(snapshotInterval, s.save)
}

// restoreListed gives the module what earlier lives sent to machines of which the list tells now, before it sees any ask.
func (s *stateStore) restoreListed() {
	h := s.server
	l, ok := h.scheduler.(warmStarter)
	if !ok || len(s.pendingSends) == 0 {
		return
	}
	var found []scheduler.MachineSnapshot
	if found, s.pendingSends = s.ledger.ResolvePending(scheduler.Time(h.loop.Now()), s.pendingSends, s.machineInfo); len(found) > 0 {
		h.runScheduler()
		l.Restore(scheduler.Snapshot{SendsKnownSince: s.sendsKnownSince, Machines: found})
	}
}

// noteIncarnation puts into the log what may have reached a start that was just heard of, while an earlier one was known.
func (s *stateStore) noteIncarnation(m *machine) {
	if sent, cold := s.ledger.IncarnationObserved(scheduler.Time(s.server.loop.Now()), m.id, m.restartInfo()); cold {
		s.put(SendKind, string(m.id), sent)
	}
}

func (m *machine) restartInfo() warmstart.MachineStart {
	return warmstart.MachineStart{Incarnation: m.incarnation, StartedAt: m.startedAt}
}

// machineInfo is how a machine stands, where it is known.
func (s *stateStore) machineInfo(id scheduler.MachineID) (warmstart.MachineStart, bool) {
	m := s.server.machines[id]
	if m == nil {
		return warmstart.MachineStart{}, false
	}
	return m.restartInfo(), true
}

func (s *stateStore) put(kind, key string, value any) {
	s.changes = append(s.changes, wal.Put(kind, key, value))
}

func (s *stateStore) remove(kind, key string) {
	s.changes = append(s.changes, wal.Change{Kind: kind, Key: key})
}

// afterCommit runs f on the loop once the changes of this turn are written, or on disk.
func (s *stateStore) afterCommit(sync bool, f func(error)) {
	s.syncNeeded = s.syncNeeded || sync
	s.callbacks = append(s.callbacks, f)
}

// commit commits what the turn changed.
func (s *stateStore) commit() {
	if len(s.changes) == 0 && len(s.callbacks) == 0 {
		return
	}
	then, changes := s.callbacks, s.changes
	if s.incarnationUnlogged {
		changes = append([]wal.Change{s.incarnationChange()}, changes...)
	}
	unsaid := s.incarnationUnlogged
	s.log.Commit(changes, s.syncNeeded || unsaid, func(err error) {
		if len(then) == 0 && err == nil && !unsaid {
			return
		}
		s.server.loop.Post(func() {
			if s.incarnationUnlogged = s.incarnationUnlogged && err != nil; err != nil {
				s.commitFailed(changes)
			}
			for _, f := range then {
				f(err)
			}
		})
	})
	s.changes, s.callbacks, s.syncNeeded = nil, nil, false
}

// commitFailed remembers what the log should know and does not, of what has happened: that bids ended, that machines told. A bid
// that could not be written was not sent.
func (s *stateStore) commitFailed(changes []wal.Change) {
	for _, c := range changes {
		switch {
		case c.Kind == AttemptKind && c.Value == nil:
			s.retryDeletes = append(s.retryDeletes, c)
		case c.Kind == IncarnationKind:
			s.incarnationUnlogged = true
		}
	}
}

func attemptKey(number uint64) string { return fmt.Sprintf("%016x", number) }

// logAttempt puts into the log what must be there before a bid is sent; whether that is anything, and whether on disk.
func (s *stateStore) logAttempt(b *attempt) (write, sync bool) {
	if write, sync = recovery.MustPersist(s.server.config.Terms.WorkloadClasses[b.container.request.WorkloadClass].Idempotency); write {
		b.inLog = true
		s.put(AttemptKind, attemptKey(b.number), b.record())
	}
	return s.logSend(b.machine) || write, sync
}

// logSend counts what goes to a cold machine.
func (s *stateStore) logSend(m *machine) bool {
	sent, cold := s.ledger.RecordSend(scheduler.Time(s.server.loop.Now()), m.id, m.restartInfo())
	if cold {
		s.put(SendKind, string(m.id), sent)
	}
	return cold
}

// save writes what was learned, and lets go of machines that are warm.
func (s *stateStore) save() {
	h := s.server
	h.loop.After(snapshotInterval, s.save)
	for _, id := range s.ledger.Expire(scheduler.Time(h.loop.Now()), s.machineInfo) {
		s.remove(SendKind, string(id))
	}
	s.changes, s.retryDeletes = append(s.retryDeletes, s.changes...), nil
	if s.saving {
		return
	}
	s.saving = true
	k := h.collectSnapshot(false)
	s.writers.Go(func() {
		err := k.write(s.dir)
		h.loop.Post(func() {
			if s.saving = false; err != nil && !s.saveFailed {
				h.log.Warn("knowledge not kept", "why", err)
			} else if err == nil && s.saveFailed {
				h.log.Info("knowledge kept again")
			}
			s.saveFailed = err != nil
		})
	})
}

// close keeps what is left to keep. The loop runs no more.
func (s *stateStore) close() {
	s.changes = append(s.retryDeletes, s.changes...)
	s.commit()
	s.writers.Wait()
	if s.restored { // or it has nothing better to keep than what is there
		if err := s.server.collectSnapshot(true).write(s.dir); err != nil {
			s.server.log.Warn("knowledge not kept", "why", err)
		}
	}
	if err := s.log.Close(); err != nil {
		s.server.log.Error("state not kept", "why", err)
	}
	s.dir.Close()
}
