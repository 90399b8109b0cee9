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
	watchWriteTimeout = 5 * time.Second // for a client to receive a line
)

var watchedKinds = []string{server.KindJobs, server.KindContainers, server.KindMachines}

// Types of watch events.
const (
	watchChanged  = "changed"
	watchRemoved  = "removed"
	watchBookmark = "bookmark" // all changes up to its version have been sent
	watchGone     = "gone"     // the watch ends, and the client has to list again
)

// watchEvent is the event of a change. Its fields are in the order on the wire.
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

// EncodeWatchEvent returns the line of a change in a watch.
func EncodeWatchEvent(o *watchcache.Object) []byte {
	event := watchEvent{ID: o.ID, Kind: o.Kind, Object: withVersion(o), Type: watchChanged, Version: o.Version}
	if o.Deleted {
		event.Type = watchRemoved
	}
	return mustEncodeLine(event)
}

// mustEncodeLine encodes a watch event. It panics on an error, which no type of event can cause.
func mustEncodeLine(event any) []byte {
	line, err := encodeLine(event)
	if err != nil {
		panic(err)
	}
	return line
}

// watch streams changes, one per line, until the client disconnects or falls behind.
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
	_ = stream.control.SetReadDeadline(time.Time{}) // fails only for a writer without deadlines
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

// watchStream writes the changes of a watcher to the client.
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

// writeNext waits for changes or the next bookmark and writes them. It reports whether the watch continues.
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

// writeChanges writes a change and all changes queued behind it, and reports whether the writes succeeded.
func (s *watchStream) writeChanges(first *watchcache.Object) bool {
	if !s.write(first.WatchEvent()) {
		return false
	}
	for range len(s.watcher.Changes) {
		o, open := <-s.watcher.Changes
		if !open {
			return true // the next writeNext handles the closed channel
		}
		if !s.write(o.WatchEvent()) {
			return false
		}
	}
	return true
}

// write writes a line and reports whether the client received it in time.
func (s *watchStream) write(line []byte) bool {
	_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout)) // fails only for a writer without deadlines
	_, err := s.writer.Write(line)
	return err == nil
}

// sentVersion returns a version up to which all changes have been sent. It reads the cache's version before it checks
// the queue, so that the result can only be too old: a client that resumes from it may receive a change twice, but
// misses none.
func (s *watchStream) sentVersion() int64 {
	version := s.cache.Version()
	if len(s.watcher.Changes) > 0 {
		return s.watcher.StartVersion()
	}
	return version
}
