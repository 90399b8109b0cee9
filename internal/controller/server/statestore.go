package server

import (
	"errors"
	"fmt"
	"sort"

	"glenport/internal/controller"
	"glenport/internal/eventloop"
	"glenport/internal/storage/vfs"
	"glenport/internal/storage/wal"

	"github.com/fxamacker/cbor/v2"
)

const (
	ceilingKey   = "version"
	ceilingSteps = 1_000_000 // versions between two ceilings; the next is written when half are used
	keepAgain    = eventloop.Second
)

// NotPersistedError says that something could not be put on disk, and so was not done.
type NotPersistedError struct{ Err error }

func (n *NotPersistedError) Error() string {
	return "it cannot be kept on disk, and was not done: " + n.Err.Error()
}
func (n *NotPersistedError) Unwrap() error { return n.Err }

// recordLog are what a keeper has on disk. What is asked of placers and answered to owners waits until it is there.
type recordLog struct {
	h       *Server
	dir     *vfs.Dir
	log     *wal.Log
	ceiling int64
	made    map[string]JobRecord  // jobs that are, by id
	redo    map[string]wal.Change // that could not be kept, by kind and key; emptied when the disk takes them
	redoing bool
}

// openRecords reads the folder and gives what it held to the keeper's host.
func openRecords(h *Server, folder string) (*recordLog, error) {
	p := &recordLog{h: h, made: map[string]JobRecord{}, redo: map[string]wal.Change{}}
	var err error
	if p.dir, err = vfs.OpenLocked(folder); err != nil {
		return nil, err
	}
	var figures wal.Stats
	p.log, figures, err = wal.Open(p.dir, wal.Options{OnModeChange: func(text string, a ...any) {
		h.loop.Post(func() { h.log.Warn(text, a...) })
	}})
	if err != nil {
		p.dir.Close()
		return nil, fmt.Errorf("state folder %s: %w", folder, err)
	}
	restored, err := p.read()
	if err != nil {
		p.close()
		return nil, fmt.Errorf("state folder %s: %w", folder, err)
	}
	// No version of this life is one of an earlier: the ceiling is raised before any is given out.
	p.ceiling += ceilingSteps
	if err := p.log.CommitSync(wal.Put(RecordVersionCeiling, ceilingKey, p.ceiling)); err != nil {
		p.close()
		return nil, fmt.Errorf("state folder %s: %w", folder, err)
	}
	h.events = append(h.events, restored)
	h.log.Info("state read", "folder", folder, "jobs", len(restored.Jobs), "containers", len(restored.Containers),
		"groups", figures.Groups, "bytes", figures.Bytes, "cut off", figures.TruncatedBytes)
	return p, nil
}

func (p *recordLog) read() (r controller.StateRestored, err error) {
	h, from := p.h, p.log.State()
	if err = from.ForEach(RecordVersionCeiling, func(_ string, v []byte) error { return cbor.Unmarshal(v, &p.ceiling) }); err != nil {
		return r, err
	}
	h.Cache.StartAfter(p.ceiling)
	if err = from.ForEach(RecordJob, func(id string, v []byte) error {
		var k JobRecord
		if err := cbor.Unmarshal(v, &k); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		spec, err := h.spec(&k.Job)
		if err != nil {
			return fmt.Errorf("job %s does not fit the placer's file any more: %w", id, err)
		}
		p.made[id] = k
		h.Cache.Apply(k.Job.Version, KindJobs, id, k.Job, false)
		r.Jobs = append(r.Jobs, controller.JobSet{Job: id, Count: k.Job.Count, Spec: spec})
		return nil
	}); err != nil {
		return r, err
	}
	doors := map[string]int{}
	for i, d := range h.doors {
		doors[d.addr] = i
	}
	err = from.ForEach(RecordContainer, func(id string, v []byte) error {
		var k ContainerRecord
		if err := cbor.Unmarshal(v, &k); err != nil {
			return fmt.Errorf("container %s: %w", id, err)
		}
		if d, there := doors[k.SchedulerAddress]; there && k.Container.Scheduler >= 0 {
			k.Container.Scheduler = d
		} else {
			k.Container.Scheduler = -1
		}
		r.Containers = append(r.Containers, k.Container)
		return nil
	})
	if err != nil {
		return r, err
	}
	err = from.ForEach(RecordOrphan, func(id string, v []byte) error {
		var k OrphanRecord
		if err := cbor.Unmarshal(v, &k); err != nil {
			return fmt.Errorf("stray %s: %w", id, err)
		}
		if d, there := doors[k.SchedulerAddress]; there {
			r.Orphans = append(r.Orphans, controller.Orphan{Scheduler: d, IdempotencyKey: k.IdempotencyKey})
		}
		return nil
	})
	return r, err
}

func (p *recordLog) close() error {
	err := p.log.Close()
	p.dir.Close()
	return err
}

// keep commits changes and runs done on the loop. Versions that are given out stay below the ceiling on disk.
func (p *recordLog) keep(changes []wal.Change, durable bool, done func(error)) {
	if v := p.h.Cache.LastReserved(); v+ceilingSteps/2 > p.ceiling {
		p.ceiling = v + ceilingSteps
		changes = append(changes, wal.Put(RecordVersionCeiling, ceilingKey, p.ceiling))
		durable = true
	}
	for _, c := range changes {
		delete(p.redo, c.Kind+" "+c.Key)
	}
	changes = append(p.again(), changes...)
	if len(changes) == 0 && !durable {
		done(nil)
		return
	}
	p.log.Commit(changes, durable, func(err error) {
		p.h.loop.Post(func() {
			if err != nil {
				p.failed(changes)
			}
			done(err)
		})
	})
}

// again are changes that a disk did not take before, in order.
func (p *recordLog) again() []wal.Change {
	var all []wal.Change
	for _, c := range p.redo {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].Kind < all[j].Kind || all[i].Kind == all[j].Kind && all[i].Key < all[j].Key
	})
	clear(p.redo)
	return all
}

// failed remembers what the keeper went through and the log does not know: containers and the ceiling. A job that was
// not kept was not changed.
func (p *recordLog) failed(changes []wal.Change) {
	for _, c := range changes {
		if _, newer := p.redo[c.Kind+" "+c.Key]; c.Kind != RecordJob && !newer {
			p.redo[c.Kind+" "+c.Key] = c
		}
	}
	if p.redoing {
		return
	}
	p.redoing = true
	p.h.loop.After(keepAgain, func() {
		if p.redoing = false; len(p.redo) > 0 {
			p.keep(nil, false, func(error) {})
		}
	})
}

// published is a change of the catalog that waits for those before it, and perhaps for the disk.
type published struct {
	version  int64
	kind, id string
	value    any
	gone     bool
	ready    bool
	failed   bool
}

// publish puts a change behind those that wait; ready ones at the head are shown.
func (h *Server) publish(kind, id string, value any, gone, ready bool) *published {
	c := &published{version: h.Cache.ReserveVersion(), kind: kind, id: id, value: value, gone: gone, ready: ready}
	h.shown = append(h.shown, c)
	h.flush()
	return c
}

func (h *Server) flush() {
	for len(h.shown) > 0 && (h.shown[0].ready || h.shown[0].failed) {
		c := h.shown[0]
		h.shown = h.shown[1:]
		if !c.failed {
			h.Cache.Apply(c.version, c.kind, c.id, c.value, c.gone)
		}
	}
}

// changeJob makes one change of a job: kept first, then shown and carried out. A second change of the same job waits
// for the first, so that each sees what it follows on.
func (h *Server) changeJob(id string, f func(old *Job) (value *JobRecord, e controller.Event, err error), done func(version int64, err error)) {
	if waiting, busy := h.pending[id]; busy {
		h.pending[id] = append(waiting, func() { h.changeJob(id, f, done) })
		return
	}
	var old *Job
	if o := h.Cache.Get(KindJobs, id); o != nil {
		j := o.Value.(Job)
		j.Version = o.Version
		old = &j
	}
	k, e, err := f(old)
	if err != nil {
		var same *alreadyMade
		if errors.As(err, &same) {
			done(same.version, nil)
		} else {
			done(0, err)
		}
		return
	}
	h.pending[id] = nil
	var c *published
	var kept wal.Change
	if k == nil {
		c, kept = h.publish(KindJobs, id, *old, true, false), wal.Change{Kind: RecordJob, Key: id}
	} else {
		c = h.publish(KindJobs, id, k.Job, false, false)
		k.Job.Version = c.version
		c.value = k.Job
		kept = wal.Put(RecordJob, id, k)
	}
	h.keep([]wal.Change{kept}, true, func(err error) {
		if c.ready, c.failed = err == nil, err != nil; err == nil {
			h.events = append(h.events, e)
			if h.records != nil {
				if k == nil {
					delete(h.records.made, id)
				} else {
					h.records.made[id] = *k
				}
			}
		} else {
			err = &NotPersistedError{err}
		}
		h.flush()
		done(c.version, err)
		waiting := h.pending[id]
		delete(h.pending, id)
		for _, f := range waiting {
			f()
		}
	})
}

// keep commits where anything is kept, and else goes on at once.
func (h *Server) keep(changes []wal.Change, durable bool, done func(error)) {
	if h.records == nil {
		done(nil)
		return
	}
	h.records.keep(changes, durable, done)
}

// alreadyMade ends a repeat of the request that made a job.
type alreadyMade struct{ version int64 }

func (a *alreadyMade) Error() string { return "it was made by the same request" }
