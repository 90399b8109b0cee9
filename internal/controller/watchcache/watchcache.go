// Package watchcache holds versioned objects by kind and ID, and streams their changes to watchers.
//
// Every change has a version. Versions increase across all kinds. A list carries the version at which it was taken, and
// a client that watches from that version misses no change and receives none twice. The cache keeps the most recent
// changes for watches that resume. A watch from an older version fails with ErrCompacted, and its client lists again.
//
// All methods may be called from any goroutine. Neither lists nor watchers delay changes: a list reads a snapshot, and
// a watcher that does not keep up is dropped.
package watchcache

import (
	"errors"
	"sync"

	"github.com/tidwall/btree"
)

// ErrCompacted is returned for a watch from a version after which changes have been discarded. The client has to list
// again.
var ErrCompacted = errors.New("changes from that version on are no longer kept: list again")

// Object is one version of an object. It is immutable once it is in the cache.
type Object struct {
	Kind    string
	ID      string
	Version int64
	Value   any
	Deleted bool // this version is the deletion; Value is the last value before it

	watchEvent []byte
}

// WatchEvent returns the encoded change that produced this version. All watchers share the bytes, which must not be
// modified.
func (o *Object) WatchEvent() []byte { return o.watchEvent }

// Cache holds objects and the history of their most recent changes.
type Cache struct {
	encode func(*Object) []byte

	mu           sync.RWMutex
	version      int64 // of the last change
	lastReserved int64
	objects      map[string]*btree.Map[string, *Object] // by kind and ID
	history      history
	watchers     map[*Watcher]bool
}

// New returns an empty cache. The cache calls encode once for each change, with its lock held. Watchers read the result
// with Object.WatchEvent.
func New(encode func(*Object) []byte) *Cache {
	return &Cache{encode: encode, objects: map[string]*btree.Map[string, *Object]{}, watchers: map[*Watcher]bool{}}
}

// StartAfter makes versions start above the given one, up to which an earlier process may have assigned versions.
// Changes up to that version count as compacted. StartAfter must be called before any change.
func (c *Cache) StartAfter(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.lastReserved, c.history.compactedVersion = version, version, version
}

// ReserveVersion returns the next version, for a change that is applied later. Changes must be applied in the order of
// their versions. A version that is never applied leaves a gap.
func (c *Cache) ReserveVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReserved++
	return c.lastReserved
}

// LastReserved returns the last version that was assigned.
func (c *Cache) LastReserved() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.lastReserved
}

// Version returns the version of the last change.
func (c *Cache) Version() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.version
}

// Apply applies a change whose version was reserved. Before any other change, Apply may also restore an object of an
// earlier process with its version from that process.
func (c *Cache) Apply(o Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyLocked(&o)
}

// Put creates or updates an object and returns its new version.
func (c *Cache) Put(kind, id string, value any) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReserved++
	c.applyLocked(&Object{Kind: kind, ID: id, Version: c.lastReserved, Value: value})
	return c.lastReserved
}

// Delete removes an object and reports whether it existed.
func (c *Cache) Delete(kind, id string) bool {
	o := c.Get(kind, id)
	if o == nil {
		return false
	}
	c.Apply(Object{Kind: kind, ID: id, Version: c.ReserveVersion(), Value: o.Value, Deleted: true})
	return true
}

func (c *Cache) applyLocked(o *Object) {
	restored := o.Version <= c.history.compactedVersion // of an earlier process: no watch can begin before it
	c.version = max(c.version, o.Version)
	o.watchEvent = c.encode(o)
	c.storeLocked(o)
	if restored {
		return
	}
	c.history.add(o)
	for w := range c.watchers {
		w.sendOrDropLocked(o)
	}
}

func (c *Cache) storeLocked(o *Object) {
	objects := c.objects[o.Kind]
	if objects == nil {
		objects = &btree.Map[string, *Object]{}
		c.objects[o.Kind] = objects
	}
	if o.Deleted {
		objects.Delete(o.ID)
	} else {
		objects.Set(o.ID, o)
	}
}

// Get returns an object, or nil if it does not exist.
func (c *Cache) Get(kind, id string) *Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if objects := c.objects[kind]; objects != nil {
		o, _ := objects.Get(id)
		return o
	}
	return nil
}

// Query selects objects for a list.
type Query struct {
	Kind  string
	After string // the list begins after this ID; empty: with the first object
	Limit int    // maximum number of objects
	Match func(*Object) bool
}

// Page is the result of a query, ordered by ID.
type Page struct {
	Objects []*Object
	Version int64 // of the cache when the list was taken
	More    bool  // more objects match than the limit allows
}

// List returns the objects that match a query.
func (c *Cache) List(q Query) Page {
	objects, version := c.snapshot(q.Kind)
	page := Page{Version: version}
	if objects == nil {
		return page
	}
	objects.Ascend(q.After, func(id string, o *Object) bool {
		if id == q.After && q.After != "" || !q.Match(o) {
			return true
		}
		if len(page.Objects) == q.Limit {
			page.More = true
			return false
		}
		page.Objects = append(page.Objects, o)
		return true
	})
	return page
}

// snapshot returns a copy-on-write copy of the objects of a kind, nil if the kind never had any, and the cache's
// version.
func (c *Cache) snapshot(kind string) (*btree.Map[string, *Object], int64) {
	c.mu.Lock() // Copy marks the tree as shared, which is a write
	defer c.mu.Unlock()
	objects := c.objects[kind]
	if objects != nil {
		objects = objects.Copy()
	}
	return objects, c.version
}
