package api

import (
	"fmt"
	"net/http"
	"strconv"

	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
)

const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// objectPage is one page of a list.
type objectPage struct {
	Items   []any  `json:"items"`
	Version int64  `json:"version"`         // a watch from this version misses no change
	After   string `json:"after,omitempty"` // the after parameter for the next page; empty on the last page
}

// get returns the handler that serves one object of a kind.
func (h *handler) get(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o := h.server.Cache.Get(kind, r.PathValue("id"))
		if o == nil {
			writeError(w, server.ErrNotFound)
			return
		}
		w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatInt(o.Version, 10)))
		writeJSON(w, withVersion(o))
	}
}

// list returns the handler that serves the list of a kind.
func (h *handler) list(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		page, err := h.page(kind, r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, page)
	}
}

func (h *handler) page(kind string, r *http.Request) (page objectPage, err error) {
	query := r.URL.Query()
	limit, err := pageSize(query.Get("limit"))
	if err != nil {
		return page, err
	}
	s, err := parseSelector(kind, query.Get("label"), query.Get("field"))
	if err != nil {
		return page, err
	}
	found := h.server.Cache.List(watchcache.Query{
		Kind: kind, After: query.Get("after"), Limit: limit, Match: s.matches,
	})
	page = objectPage{Items: []any{}, Version: found.Version}
	for _, o := range found.Objects {
		page.Items = append(page.Items, withVersion(o))
	}
	if found.More {
		page.After = found.Objects[len(found.Objects)-1].ID
	}
	return page, nil
}

func pageSize(limit string) (int, error) {
	if limit == "" {
		return defaultPageSize, nil
	}
	n, err := strconv.Atoi(limit)
	if err != nil || n < 1 || n > maxPageSize {
		return 0, invalidField("limit", "%q is not from 1 to %d", limit, maxPageSize)
	}
	return n, nil
}

// withVersion returns an object's value with the version that the cache assigned.
func withVersion(o *watchcache.Object) any {
	switch value := o.Value.(type) {
	case server.Job:
		value.Version = o.Version
		return value
	case server.Container:
		value.Version = o.Version
		return value
	case server.Machine:
		value.Version = o.Version
		return value
	}
	return o.Value
}
