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

// NotKept says that something could not be put on disk, and so was not done.
type NotKept struct{ Why error }

func (n *NotKept) Error() string {
	return "it cannot be kept on disk, and was not done: " + n.Why.Error()
}
func (n *NotKept) Unwrap() error { return n.Why }

// promises are what a keeper has on disk. What is asked of placers and answered to owners waits until it is there.
type promises struct {
	h       *Host
	dir     *vfs.LockedDir
	log     *wal.Log
	ceiling int64
	made    map[string]KeptJob    // jobs that are, by id
	redo    map[string]wal.Change // that could not be kept, by kind and key; emptied when the disk takes them
	redoing bool
}

// openPromises reads the folder and gives what it held to the keeper's host.
func openPromises(h *Host, folder string) (*promises, error) {
	p := &promises{h: h, made: map[string]KeptJob{}, redo: map[string]wal.Change{}}
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
	if err := p.log.CommitSync(wal.Put(CeilingKind, ceilingKey, p.ceiling)); err != nil {
		p.close()
		return nil, fmt.Errorf("state folder %s: %w", folder, err)
	}
	h.events = append(h.events, restored)
	h.log.Info("state read", "folder", folder, "jobs", len(restored.Jobs), "containers", len(restored.Containers),
		"groups", figures.Groups, "bytes", figures.Bytes, "cut off", figures.TruncatedBytes)
	return p, nil
}

func (p *promises) read() (r controller.Restored, err error) {
	h, from := p.h, p.log.State()
	if err = from.ForEach(CeilingKind, func(_ string, v []byte) error { return cbor.Unmarshal(v, &p.ceiling) }); err != nil {
		return r, err
	}
	h.Catalog.Start(p.ceiling)
	if err = from.ForEach(JobKind, func(id string, v []byte) error {
		var k KeptJob
		if err := cbor.Unmarshal(v, &k); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		spec, err := h.spec(&k.Job)
		if err != nil {
			return fmt.Errorf("job %s does not fit the placer's file any more: %w", id, err)
		}
		p.made[id] = k
		h.Catalog.Make(k.Job.Version, Jobs, id, k.Job, false)
		r.Jobs = append(r.Jobs, controller.Set{Job: id, Count: k.Job.Count, Spec: spec})
		return nil
	}); err != nil {
		return r, err
	}
	doors := map[string]int{}
	for i, d := range h.doors {
		doors[d.addr] = i
	}
	err = from.ForEach(ContainerKind, func(id string, v []byte) error {
		var k KeptContainer
		if err := cbor.Unmarshal(v, &k); err != nil {
			return fmt.Errorf("container %s: %w", id, err)
		}
		if d, there := doors[k.Door]; there && k.Container.Door >= 0 {
			k.Container.Door = d
		} else {
			k.Container.Door = -1
		}
		r.Containers = append(r.Containers, k.Container)
		return nil
	})
	if err != nil {
		return r, err
	}
	err = from.ForEach(StrayKind, func(id string, v []byte) error {
		var k KeptStray
		if err := cbor.Unmarshal(v, &k); err != nil {
			return fmt.Errorf("stray %s: %w", id, err)
		}
		if d, there := doors[k.Door]; there {
			r.Strays = append(r.Strays, controller.Stray{Door: d, Key: k.Key})
		}
		return nil
	})
	return r, err
}

func (p *promises) close() error {
	err := p.log.Close()
	p.dir.Close()
	return err
}

// keep commits changes and runs done on the loop. Versions that are given out stay below the ceiling on disk.
func (p *promises) keep(changes []wal.Change, durable bool, done func(error)) {
	if v := p.h.Catalog.Taken(); v+ceilingSteps/2 > p.ceiling {
		p.ceiling = v + ceilingSteps
		changes = append(changes, wal.Put(CeilingKind, ceilingKey, p.ceiling))
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
func (p *promises) again() []wal.Change {
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
func (p *promises) failed(changes []wal.Change) {
	for _, c := range changes {
		if _, newer := p.redo[c.Kind+" "+c.Key]; c.Kind != JobKind && !newer {
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
func (h *Host) publish(kind, id string, value any, gone, ready bool) *published {
	c := &published{version: h.Catalog.Take(), kind: kind, id: id, value: value, gone: gone, ready: ready}
	h.shown = append(h.shown, c)
	h.flush()
	return c
}

func (h *Host) flush() {
	for len(h.shown) > 0 && (h.shown[0].ready || h.shown[0].failed) {
		c := h.shown[0]
		h.shown = h.shown[1:]
		if !c.failed {
			h.Catalog.Make(c.version, c.kind, c.id, c.value, c.gone)
		}
	}
}

// changeJob makes one change of a job: kept first, then shown and carried out. A second change of the same job waits
// for the first, so that each sees what it follows on.
func (h *Host) changeJob(id string, f func(old *Job) (value *KeptJob, e controller.Event, err error), done func(version int64, err error)) {
	if waiting, busy := h.pending[id]; busy {
		h.pending[id] = append(waiting, func() { h.changeJob(id, f, done) })
		return
	}
	var old *Job
	if o := h.Catalog.Get(Jobs, id); o != nil {
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
		c, kept = h.publish(Jobs, id, *old, true, false), wal.Change{Kind: JobKind, Key: id}
	} else {
		c = h.publish(Jobs, id, k.Job, false, false)
		k.Job.Version = c.version
		c.value = k.Job
		kept = wal.Put(JobKind, id, k)
	}
	h.keep([]wal.Change{kept}, true, func(err error) {
		if c.ready, c.failed = err == nil, err != nil; err == nil {
			h.events = append(h.events, e)
			if h.promises != nil {
				if k == nil {
					delete(h.promises.made, id)
				} else {
					h.promises.made[id] = *k
				}
			}
		} else {
			err = &NotKept{err}
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
func (h *Host) keep(changes []wal.Change, durable bool, done func(error)) {
	if h.promises == nil {
		done(nil)
		return
	}
	h.promises.keep(changes, durable, done)
}

// alreadyMade ends a repeat of the request that made a job.
type alreadyMade struct{ version int64 }

func (a *alreadyMade) Error() string { return "it was made by the same request" }
