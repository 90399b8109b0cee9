// Package watchcache holds objects by kind and id with versions, and tells watchers what changes. Any goroutine may
// use it. Readers work on a copy that shares what has not changed, so a long list holds nobody up; a watcher that
// does not keep up is dropped, never waited for.
package watchcache

import (
	"errors"
	"sort"
	"sync"

	"github.com/tidwall/btree"
)

// ErrCompacted says that changes from a version on are no longer kept: list again.
var ErrCompacted = errors.New("changes from that version on are no longer kept: list again")

const (
	kept    = 20_000 // changes
	mayWait = 2_000  // changes for one watcher
)

// Object is one version of a thing. It is not changed any more.
type Object struct {
	Kind    string
	ID      string
	Version int64
	Value   any
	Deleted bool
	line    []byte
}

// WatchEvent is the object as a watcher is sent it, made once by the function of the catalog.
func (o *Object) WatchEvent() []byte { return o.line }

// Cache is a set of objects.
type Cache struct {
	line func(*Object) []byte

	mu       sync.RWMutex
	version  int64 // of the last change
	taken    int64 // the last version that was given out
	dropped  int64 // changes up to it are no longer in the log
	kinds    map[string]*btree.Map[string, *Object]
	log      []*Object // the last changes, in a ring
	next     int
	watchers map[*Watcher]bool
}

// New makes a catalog whose watchers are sent what line makes of a change.
func New(line func(*Object) []byte) *Cache {
	return &Cache{line: line, kinds: map[string]*btree.Map[string, *Object]{}, watchers: map[*Watcher]bool{}}
}

// StartAfter begins above the versions of earlier lives; nothing is known of their changes.
func (c *Cache) StartAfter(above int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.taken, c.dropped = above, above, above
}

// ReserveVersion gives out the next version, for a change that is made later. Changes are made in the order of their versions;
// one that is not made at all leaves a gap.
func (c *Cache) ReserveVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken++
	return c.taken
}

// LastReserved is the last version that was given out.
func (c *Cache) LastReserved() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.taken
}

// Apply makes a change whose version was taken. An object that an earlier life made may be put back as it was, with its
// version, before anything else.
func (c *Cache) Apply(version int64, kind, id string, value any, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.change(version, kind, id, value, gone)
}

// Version is that of the last change.
func (c *Cache) Version() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.version
}

// Put makes or changes an object and returns its new version.
func (c *Cache) Put(kind, id string, value any) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken++
	c.change(c.taken, kind, id, value, false)
	return c.taken
}

// Delete takes an object out; false where there was none.
func (c *Cache) Delete(kind, id string) bool {
	o := c.Get(kind, id)
	if o == nil {
		return false
	}
	c.Apply(c.ReserveVersion(), kind, id, o.Value, true)
	return true
}

// change is made under the lock.
func (c *Cache) change(version int64, kind, id string, value any, gone bool) {
	old := version <= c.dropped // of an earlier life: no watcher hears of it
	c.version = max(c.version, version)
	o := &Object{Kind: kind, ID: id, Version: version, Value: value, Deleted: gone}
	o.line = c.line(o)
	t := c.kinds[kind]
	if t == nil {
		t = &btree.Map[string, *Object]{}
		c.kinds[kind] = t
	}
	if gone {
		t.Delete(id)
	} else {
		t.Set(id, o)
	}
	if old {
		return
	}
	if len(c.log) < kept {
		c.log = append(c.log, o)
	} else {
		c.dropped = c.log[c.next].Version
		c.log[c.next] = o
	}
	c.next = (c.next + 1) % kept
	for w := range c.watchers {
		w.offer(o)
	}
}

// Get finds an object, or nil.
func (c *Cache) Get(kind, id string) *Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if t := c.kinds[kind]; t != nil {
		o, _ := t.Get(id)
		return o
	}
	return nil
}

// List returns up to limit objects of a kind, by id, after one, that match; more tells whether there are others.
// The version is that as of which the list holds.
func (c *Cache) List(kind, after string, limit int, match func(*Object) bool) (all []*Object, version int64, more bool) {
	c.mu.Lock() // a copy marks the tree as shared
	version = c.version
	t := c.kinds[kind]
	if t != nil {
		t = t.Copy()
	}
	c.mu.Unlock()
	if t == nil {
		return nil, version, false
	}
	t.Ascend(after, func(id string, o *Object) bool {
		if id == after && after != "" || !match(o) {
			return true
		}
		if len(all) == limit {
			more = true
			return false
		}
		all = append(all, o)
		return true
	})
	return all, version, more
}

// Watcher gets changes in order.
type Watcher struct {
	c       *Cache
	kinds   map[string]bool
	Changes chan *Object // closed when the watcher fell behind
	from    int64
}

// StartVersion is a version whose changes the watcher surely had: that from which it began.
func (w *Watcher) StartVersion() int64 { return w.from }

// Watch tells all changes of the kinds after a version, and from then on what comes.
func (c *Cache) Watch(from int64, kinds ...string) (*Watcher, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from > c.version || from < c.dropped { // of an earlier life, or too old
		return nil, ErrCompacted
	}
	first := sort.Search(len(c.log), func(i int) bool { return c.at(i).Version > from })
	missed := len(c.log) - first
	w := &Watcher{c: c, kinds: map[string]bool{}, Changes: make(chan *Object, mayWait+missed), from: from}
	for _, k := range kinds {
		w.kinds[k] = true
	}
	for i := first; i < len(c.log); i++ {
		w.offer(c.at(i))
	}
	c.watchers[w] = true
	return w, nil
}

// at is the ith of the changes that are kept, the oldest first.
func (c *Cache) at(i int) *Object {
	if len(c.log) < kept {
		return c.log[i]
	}
	return c.log[(c.next+i)%kept]
}

func (w *Watcher) offer(o *Object) {
	if !w.kinds[o.Kind] {
		return
	}
	select {
	case w.Changes <- o:
	default:
		delete(w.c.watchers, w)
		close(w.Changes)
	}
}

// Close ends the watch.
func (w *Watcher) Close() {
	w.c.mu.Lock()
	delete(w.c.watchers, w)
	w.c.mu.Unlock()
}
