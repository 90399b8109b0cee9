package watchcache

// watcherBuffer is the number of changes that may wait for a watcher, beside those that it missed before it began.
const watcherBuffer = 2_000

// Watcher receives changes in the order of their versions.
type Watcher struct {
	// Changes is closed by the cache when the watcher falls behind; its client has to list again.
	Changes chan *Object

	cache        *Cache
	kinds        map[string]bool
	startVersion int64
}

// Watch sends the changes of the kinds after a version, those that are in the history first. It returns ErrCompacted
// for a version that is older than the history or that has not been given out. The caller closes the watcher.
func (c *Cache) Watch(after int64, kinds ...string) (*Watcher, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > c.version || after < c.history.compacted {
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
		w.offerLocked(o)
	}
	c.watchers[w] = true
	return w, nil
}

// StartVersion returns the version after which the watch began.
func (w *Watcher) StartVersion() int64 { return w.startVersion }

// offerLocked sends a change without waiting; a watcher whose buffer is full is dropped. The cache's lock is held.
func (w *Watcher) offerLocked(o *Object) {
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

// Close ends the watch. Changes is left open, with what was not received.
func (w *Watcher) Close() {
	w.cache.mu.Lock()
	defer w.cache.mu.Unlock()
	delete(w.cache.watchers, w)
}
