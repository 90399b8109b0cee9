package api

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
)

const (
	bookmarkInterval  = time.Second
	watchWriteTimeout = 5 * time.Second // for a client to take what is written to it
)

var watchedKinds = []string{server.KindJobs, server.KindContainers, server.KindMachines}

// Types of the lines of a watch.
const (
	watchChanged  = "changed"
	watchRemoved  = "removed"
	watchBookmark = "bookmark" // everything up to its version was sent
	watchGone     = "gone"     // the watch ends: its client has to list again
)

// watchEvent is the line of a change. The order of the fields is that on the wire.
type watchEvent struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Object  any    `json:"object"`
	Type    string `json:"type"`
	Version int64  `json:"version"`
}

type bookmarkEvent struct {
	Type    string `json:"type"`
	Version int64  `json:"version"`
}

type goneEvent struct {
	Type   string `json:"type"`
	Detail string `json:"detail"`
}

// EncodeWatchEvent returns the line that a watch sends for a change.
func EncodeWatchEvent(o *watchcache.Object) []byte {
	event := watchEvent{ID: o.ID, Kind: o.Kind, Object: withVersion(o), Type: watchChanged, Version: o.Version}
	if o.Deleted {
		event.Type = watchRemoved
	}
	return mustEncodeLine(event)
}

// mustEncodeLine encodes a line of a watch; all types in them can be encoded.
func mustEncodeLine(event any) []byte {
	line, err := encodeLine(event)
	if err != nil {
		panic(err)
	}
	return line
}

// watch streams changes, one a line, until the client leaves or falls behind.
func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	watcher, err := h.newWatcher(r)
	if err != nil {
		writeError(w, err)
		return
	}
	defer watcher.Close()
	w.Header().Set("Content-Type", contentTypeNDJSON)
	w.WriteHeader(http.StatusOK)
	stream := &watchStream{writer: w, control: http.NewResponseController(w), watcher: watcher, cache: h.server.Cache}
	_ = stream.control.SetReadDeadline(time.Time{}) // a writer without deadlines has none to lift
	stream.run(r.Context())
}

func (h *handler) newWatcher(r *http.Request) (*watchcache.Watcher, error) {
	query := r.URL.Query()
	kinds := splitList(query.Get("kinds"))
	if len(kinds) == 0 {
		kinds = watchedKinds
	}
	for _, kind := range kinds {
		if !slices.Contains(watchedKinds, kind) {
			return nil, invalidField("kinds", "%q is none of jobs, containers, machines", kind)
		}
	}
	from := h.server.Cache.Version()
	if text := query.Get("from"); text != "" {
		version, err := strconv.ParseInt(text, 10, 64)
		if err != nil || version < 0 {
			return nil, invalidField("from", "%q is no version", text)
		}
		from = version
	}
	return h.server.Cache.Watch(from, kinds...)
}

// watchStream writes the changes of a watcher to its client.
type watchStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	watcher *watchcache.Watcher
	cache   *watchcache.Cache
}

// run streams until the watch ends, the client has disconnected, or the context is cancelled.
func (s *watchStream) run(ctx context.Context) {
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	for s.control.Flush() == nil && s.writeNext(ctx, ticker.C) {
	}
}

// writeNext writes what comes next, changes or a bookmark, and reports whether the watch goes on.
func (s *watchStream) writeNext(ctx context.Context, bookmarkDue <-chan time.Time) bool {
	select {
	case change, open := <-s.watcher.Changes:
		if !open {
			s.write(mustEncodeLine(goneEvent{Type: watchGone, Detail: "this watch fell behind: list again"}))
			return false
		}
		return s.writeChanges(change)
	case <-bookmarkDue:
		return s.write(mustEncodeLine(bookmarkEvent{Type: watchBookmark, Version: s.sentVersion()}))
	case <-ctx.Done():
		return false
	}
}

// writeChanges writes a change and those queued behind it, and reports whether the client has taken the lines.
func (s *watchStream) writeChanges(first *watchcache.Object) bool {
	if !s.write(first.WatchEvent()) {
		return false
	}
	for range len(s.watcher.Changes) {
		o, open := <-s.watcher.Changes
		if !open {
			return true // run receives from the closed channel again
		}
		if !s.write(o.WatchEvent()) {
			return false
		}
	}
	return true
}

// write reports whether the client has taken a line in time.
func (s *watchStream) write(line []byte) bool {
	_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout)) // a writer without deadlines is not a network's
	_, err := s.writer.Write(line)
	return err == nil
}

// sentVersion returns a version up to which everything was sent. It reads the cache's version before it looks at the
// queue, so that the result can only be too old: a client that resumes there may get a change twice, but misses none.
func (s *watchStream) sentVersion() int64 {
	version := s.cache.Version()
	if len(s.watcher.Changes) > 0 {
		return s.watcher.StartVersion()
	}
	return version
}
