// Package watchcache holds versioned objects by kind and ID, and streams their changes to watchers.
//
// Every change has a version, larger than those before it over all kinds. A client lists objects together with the
// version as of which the list holds, and watches from there: no change is missed and none is sent twice. The last
// changes are kept for watches that resume; a watch from an older version gets ErrCompacted, and its client lists
// again.
//
// All methods may be called from any goroutine. A list works on a snapshot, so a long one blocks no change; a watcher
// that does not keep up is dropped, so that it never blocks a change either.
package watchcache

import (
	"errors"
	"sync"

	"github.com/tidwall/btree"
)

// ErrCompacted is returned for a watch from a version whose later changes are no longer known: the client has to list
// again.
var ErrCompacted = errors.New("changes from that version on are no longer kept: list again")

// Object is one version of an object. It is immutable once it is in the cache.
type Object struct {
	Kind    string
	ID      string
	Version int64
	Value   any
	Deleted bool // this version is the object's deletion; Value is its last one

	watchEvent []byte
}

// WatchEvent returns the encoded form of the change that led to this version. It is encoded once for all watchers and
// must not be modified.
func (o *Object) WatchEvent() []byte { return o.watchEvent }

// Cache is a set of objects with the history of their last changes.
type Cache struct {
	encode func(*Object) []byte

	mu           sync.RWMutex
	version      int64 // of the last change
	lastReserved int64
	objects      map[string]*btree.Map[string, *Object] // by kind and ID
	history      history
	watchers     map[*Watcher]bool
}

// New returns an empty cache. It calls encode once for each change, while it holds its lock; watchers get the result as
// Object.WatchEvent.
func New(encode func(*Object) []byte) *Cache {
	return &Cache{encode: encode, objects: map[string]*btree.Map[string, *Object]{}, watchers: map[*Watcher]bool{}}
}

// StartAfter makes versions begin above the given one, which an earlier process may have given out. Changes up to it
// count as compacted. It is called before any change.
func (c *Cache) StartAfter(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.lastReserved, c.history.compacted = version, version, version
}

// ReserveVersion returns the next version, for a change that is applied later. Changes are applied in the order of
// their versions; one that is never applied leaves a gap.
func (c *Cache) ReserveVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReserved++
	return c.lastReserved
}

// LastReserved returns the last version that was given out.
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

// Apply makes the change to an object version whose number was reserved. Before any other change, an object of an
// earlier process may be restored with the version that it had there.
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

// Delete removes an object and reports whether there was one.
func (c *Cache) Delete(kind, id string) bool {
	o := c.Get(kind, id)
	if o == nil {
		return false
	}
	c.Apply(Object{Kind: kind, ID: id, Version: c.ReserveVersion(), Value: o.Value, Deleted: true})
	return true
}

func (c *Cache) applyLocked(o *Object) {
	restored := o.Version <= c.history.compacted // of an earlier process: no watcher can have asked for it
	c.version = max(c.version, o.Version)
	o.watchEvent = c.encode(o)
	c.storeLocked(o)
	if restored {
		return
	}
	c.history.add(o)
	for w := range c.watchers {
		w.offerLocked(o)
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

// Get returns an object, nil where there is none.
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
	After string // the ID behind which the list begins; empty: at the first
	Limit int    // on the number of objects
	Match func(*Object) bool
}

// Page is the result of a query, in the order of IDs.
type Page struct {
	Objects []*Object
	Version int64 // as of which the list holds
	More    bool  // objects match that are beyond the limit
}

// List returns the objects that a query selects.
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

// snapshot returns a copy of the objects of a kind (nil where there never was one) that shares its nodes with them.
func (c *Cache) snapshot(kind string) (*btree.Map[string, *Object], int64) {
	c.mu.Lock() // Copy marks the tree as shared, which is a write
	defer c.mu.Unlock()
	objects := c.objects[kind]
	if objects != nil {
		objects = objects.Copy()
	}
	return objects, c.version
}
