package schedulerd

import (
	"errors"
	"fmt"
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
	BidKind  = "bid"  // by number: one that is out or runs, of work that is not reissuable
	SentKind = "sent" // by machine: when bids went to it while it was cold
	LifeKind = "life"
)

const lifeKey = "this"

// state is what a placer keeps on disk. The changes of one turn are one commit; what waits for it is done when it
// is written, or on disk, as recovery decides by the work's effect.
type state struct {
	h       *Host
	dir     folder
	log     *wal.Log
	life    warmstart.LogHistory
	before  warmstart.LogHistory // what the folder said
	kept    *Knowledge
	sent    []warmstart.SlowStartSends
	ledger  *warmstart.SendLedger
	later   []warmstart.SlowStartSends // to starts that no list has told yet; emptied when it does, or after two windows
	since   scheduler.Time             // from then on all that was sent to cold machines is known
	bids    []reconcile.Attempt        // of earlier lives, without an end
	changes []wal.Change               // of this turn
	durable bool
	then    []func(error)
	owed    []wal.Change // ends of bids that the disk did not take; tried again with the next saving
	unsaid  bool         // the log does not hold yet that this life began
	begun   bool
	saving  bool
	unsaved bool // the last saving failed
	working sync.WaitGroup
}

type folder interface {
	vfs.FS
	Close() error
}

// openFolder is disk.Open, but for tests that make it run full.
var openFolder = func(path string) (folder, error) { return vfs.OpenLocked(path) }

// openState reads a folder and writes down that this life begins. What it cannot read or hold stops the start; a full disk
// does not.
func openState(h *Host) (*state, error) {
	s := &state{h: h, ledger: warmstart.NewSendLedger(h.site.Terms.SlowStartPeriod, h.site.Terms.SlowStartWindow)}
	var err error
	if s.dir, err = openFolder(h.site.State); err != nil {
		return nil, err
	}
	fail := func(err error) (*state, error) {
		s.dir.Close()
		return nil, fmt.Errorf("state folder %s: %w", h.site.State, err)
	}
	var figures wal.Stats
	if s.log, figures, err = wal.Open(s.dir, wal.Options{OnModeChange: func(text string, a ...any) {
		h.loop.Post(func() { h.log.Warn(text, a...) })
	}}); err != nil {
		return fail(err)
	}
	if err := s.read(); err != nil {
		s.log.Close()
		return fail(err)
	}
	now := stamp(scheduler.Time(h.loop.Now()))
	s.life = s.before.Next(now)
	if err := s.log.CommitSync(s.lifeChange()); err != nil { // nothing that needs the log is sent before it is there
		s.unsaid = true
		h.log.Warn("this start is not in the log yet: what must be kept waits for it", "why", err)
	}
	h.log.Info("state read", "folder", h.site.State, "records", figures.Records, "groups", figures.Groups, "bytes", figures.Bytes,
		"cut off", figures.TruncatedBytes, "bids that may run", len(s.bids), "log", s.life.Coverage)
	return s, nil
}

func (s *state) lifeChange() wal.Change { return wal.Put(LifeKind, lifeKey, s.life) }

// read takes out of the log what this life needs of the earlier ones.
func (s *state) read() (err error) {
	from := s.log.State()
	if err = from.ForEach(LifeKind, func(_ string, v []byte) error { return cbor.Unmarshal(v, &s.before) }); err != nil {
		return err
	}
	if err = from.ForEach(BidKind, func(_ string, v []byte) error {
		var held reconcile.Attempt
		err := cbor.Unmarshal(v, &held)
		s.bids = append(s.bids, held)
		return err
	}); err != nil {
		return err
	}
	if err = from.ForEach(SentKind, func(_ string, v []byte) error {
		var sent warmstart.SlowStartSends
		err := cbor.Unmarshal(v, &sent)
		s.sent = append(s.sent, sent)
		return err
	}); err != nil {
		return err
	}
	// Knowledge is no promise: a file that cannot be read is told and left, and the placer learns anew. One from
	// a later glenport is left alone.
	var newer *wal.UnsupportedVersionError
	if s.kept, err = ReadKnowledge(s.dir); errors.As(err, &newer) {
		return err
	} else if err != nil {
		s.h.log.Warn("knowledge not used", "why", err)
	} else if s.kept == nil {
		if s.kept, err = readKeptList(s.h.site.Keep); err != nil {
			s.h.log.Warn("kept list not used", "why", err)
		} else if s.kept != nil {
			s.h.log.Info("kept list read, from now on it is in the state folder", "file", s.h.site.Keep)
		}
	}
	return nil
}

// begin hands over what earlier lives left: the list and what was learned to the module, bids to custody.
func (s *state) begin() {
	h := s.h
	now := stamp(scheduler.Time(h.loop.Now()))
	for _, b := range s.bids {
		h.tell(reconcile.AttemptRestored{Attempt: b})
	}
	s.begun = true
	kept := warmstart.Persisted{History: s.before, Sends: s.sent}
	var version int64
	var entries []protocol.MachineEntry
	if k := s.kept; k != nil {
		kept.TakenAt, kept.Snapshot, kept.Incarnations, kept.ClassNames = k.At, k.Learned, k.Starts, k.Names
		version, entries = k.ListIs, k.aged(now)
		if d := h.custody.Limiter(); d != nil && k.Door != nil && slices.Equal(k.Names, h.names()) {
			d.Restore(*k.Door, warmstart.Weight(warmstart.ConcurrencyLimit, now.Since(k.At).Age))
		}
		if len(entries) < len(k.Entries) {
			h.log.Info("list of machines not used", "why", "it is too old", "machines", len(k.Entries))
		}
	}
	h.learn(scheduler.RestoredSnapshot, version, entries)
	h.turn() // the module has to know the machines first
	l, ok := h.decider.(learner)
	if !ok {
		return
	}
	machines, starts := map[scheduler.MachineID]warmstart.MachineStart{}, map[scheduler.MachineID]uint64{}
	for id, m := range h.machines {
		machines[id], starts[id] = m.start(), m.incarnation
	}
	b := warmstart.Restore(now, kept, machines, h.names(), h.site.Terms.SlowStartWindow)
	l.Restore(b.Snapshot)
	s.later, s.since = b.PendingSends, b.Snapshot.SendsKnownSince
	s.ledger.Restore(b, starts)
	for _, old := range s.sent { // what counts no more is forgotten, the rest is put by this life's clock
		s.drop(SentKind, string(old.Machine))
	}
	for _, l := range b.PendingSends {
		s.put(SentKind, string(l.Machine), l)
	}
	for _, m := range b.Snapshot.Machines {
		if len(m.RecentSends) > 0 {
			s.put(SentKind, string(m.Machine), warmstart.SlowStartSends{Machine: m.Machine, Incarnation: starts[m.Machine], Times: m.RecentSends})
		}
	}
	for _, text := range b.Messages {
		h.log.Info("recall", "text", text)
	}
	s.bids, s.sent, s.kept = nil, nil, nil
	h.loop.After(knowledgeEvery, s.save)
}

// named gives the module what earlier lives sent to machines of which the list tells now, before it sees any ask.
func (s *state) named() {
	h := s.h
	l, ok := h.decider.(learner)
	if !ok || len(s.later) == 0 {
		return
	}
	var found []scheduler.MachineSnapshot
	if found, s.later = s.ledger.ResolvePending(scheduler.Time(h.loop.Now()), s.later, s.start); len(found) > 0 {
		h.decide()
		l.Restore(scheduler.Snapshot{SendsKnownSince: s.since, Machines: found})
	}
}

// noteIncarnation puts into the log what may have reached a start that was just heard of, while an earlier one was known.
func (s *state) noteIncarnation(m *machine) {
	if sent, cold := s.ledger.IncarnationObserved(scheduler.Time(s.h.loop.Now()), m.id, m.start()); cold {
		s.put(SentKind, string(m.id), sent)
	}
}

func (m *machine) start() warmstart.MachineStart {
	return warmstart.MachineStart{Incarnation: m.incarnation, StartedAt: m.startedAt}
}

// start is how a machine stands, where it is known.
func (s *state) start(id scheduler.MachineID) (warmstart.MachineStart, bool) {
	m := s.h.machines[id]
	if m == nil {
		return warmstart.MachineStart{}, false
	}
	return m.start(), true
}

func (s *state) put(kind, key string, value any) {
	s.changes = append(s.changes, wal.Put(kind, key, value))
}

func (s *state) drop(kind, key string) {
	s.changes = append(s.changes, wal.Change{Kind: kind, Key: key})
}

// after runs f on the loop once the changes of this turn are written, or on disk.
func (s *state) after(sync bool, f func(error)) {
	s.durable = s.durable || sync
	s.then = append(s.then, f)
}

// turnOver commits what the turn changed.
func (s *state) turnOver() {
	if len(s.changes) == 0 && len(s.then) == 0 {
		return
	}
	then, changes := s.then, s.changes
	if s.unsaid {
		changes = append([]wal.Change{s.lifeChange()}, changes...)
	}
	unsaid := s.unsaid
	s.log.Commit(changes, s.durable || unsaid, func(err error) {
		if len(then) == 0 && err == nil && !unsaid {
			return
		}
		s.h.loop.Post(func() {
			if s.unsaid = s.unsaid && err != nil; err != nil {
				s.failed(changes)
			}
			for _, f := range then {
				f(err)
			}
		})
	})
	s.changes, s.then, s.durable = nil, nil, false
}

// failed remembers what the log should know and does not, of what has happened: that bids ended, that machines told. A bid
// that could not be written was not sent.
func (s *state) failed(changes []wal.Change) {
	for _, c := range changes {
		switch {
		case c.Kind == BidKind && c.Value == nil:
			s.owed = append(s.owed, c)
		case c.Kind == LifeKind:
			s.unsaid = true
		}
	}
}

func bidKey(number uint64) string { return fmt.Sprintf("%016x", number) }

// noteBid puts into the log what must be there before a bid is sent; whether that is anything, and whether on disk.
func (s *state) noteBid(b *bid) (write, sync bool) {
	if write, sync = recovery.MustPersist(s.h.site.Terms.WorkloadClasses[b.c.ask.WorkloadClass].Idempotency); write {
		b.logged = true
		s.put(BidKind, bidKey(b.number), b.held())
	}
	return s.noteSend(b.at) || write, sync
}

// noteSend counts what goes to a cold machine.
func (s *state) noteSend(m *machine) bool {
	sent, cold := s.ledger.RecordSend(scheduler.Time(s.h.loop.Now()), m.id, m.start())
	if cold {
		s.put(SentKind, string(m.id), sent)
	}
	return cold
}

// save writes what was learned, and lets go of machines that are warm.
func (s *state) save() {
	h := s.h
	h.loop.After(knowledgeEvery, s.save)
	for _, id := range s.ledger.Expire(scheduler.Time(h.loop.Now()), s.start) {
		s.drop(SentKind, string(id))
	}
	s.changes, s.owed = append(s.owed, s.changes...), nil
	if s.saving {
		return
	}
	s.saving = true
	k := h.known(false)
	s.working.Go(func() {
		err := k.write(s.dir)
		h.loop.Post(func() {
			if s.saving = false; err != nil && !s.unsaved {
				h.log.Warn("knowledge not kept", "why", err)
			} else if err == nil && s.unsaved {
				h.log.Info("knowledge kept again")
			}
			s.unsaved = err != nil
		})
	})
}

// close keeps what is left to keep. The loop runs no more.
func (s *state) close() {
	s.changes = append(s.owed, s.changes...)
	s.turnOver()
	s.working.Wait()
	if s.begun { // or it has nothing better to keep than what is there
		if err := s.h.known(true).write(s.dir); err != nil {
			s.h.log.Warn("knowledge not kept", "why", err)
		}
	}
	if err := s.log.Close(); err != nil {
		s.h.log.Error("state not kept", "why", err)
	}
	s.dir.Close()
}
