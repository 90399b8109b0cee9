package watchcache

// watcherBuffer is the number of changes that may queue for a watcher, in addition to those that it receives from the
// history when it begins.
const watcherBuffer = 2_000

// Watcher receives changes in the order of their versions.
type Watcher struct {
	// Changes is closed by the cache when its buffer is full. The client has to list again.
	Changes chan *Object

	cache        *Cache
	kinds        map[string]bool
	startVersion int64
}

// Watch returns a watcher that receives the changes of the given kinds after a version, beginning with those in the
// history. It returns ErrCompacted for a version that is older than the history or has not been assigned yet. The
// caller must close the watcher.
func (c *Cache) Watch(after int64, kinds ...string) (*Watcher, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > c.version || after < c.history.compactedVersion {
		return nil, ErrCompacted
	}
	missed := c.history.since(after)
	w := &Watcher{
		Changes:      make(chan *Object, watcherBuffer+len(missed)),
		cache:        c,
		kinds:        map[string]bool{},
		startVersion: after,
	}
	for _, kind := range kinds {
		w.kinds[kind] = true
	}
	for _, o := range missed {
		w.sendOrDropLocked(o)
	}
	c.watchers[w] = true
	return w, nil
}

// StartVersion returns the version after which the watch began.
func (w *Watcher) StartVersion() int64 { return w.startVersion }

// sendOrDropLocked sends a change to the watcher without blocking, and drops the watcher if its buffer is full. The
// caller holds the cache's lock.
func (w *Watcher) sendOrDropLocked(o *Object) {
	if !w.kinds[o.Kind] {
		return
	}
	select {
	case w.Changes <- o:
	default:
		delete(w.cache.watchers, w)
		close(w.Changes)
	}
}

// Close ends the watch. Changes stays open and keeps the changes that were not received.
func (w *Watcher) Close() {
	w.cache.mu.Lock()
	defer w.cache.mu.Unlock()
	delete(w.cache.watchers, w)
}
