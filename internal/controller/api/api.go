// Package api serves jobs, containers, machines, reasons and watches over HTTP, as openapi.yaml beside it says.
package api

import (
	"crypto/sha256"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"glenport/internal/controller/pending"
	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
)

//go:embed openapi.yaml
var OpenAPI []byte

const (
	mostBody     = 64 << 10
	pageDefault  = 100
	pageMost     = 1000
	whyAtOnce    = 100 // containers of a job that are explained in one answer
	sameKeyFor   = 10 * time.Minute
	mostSameKeys = 10_000
	bookmarks    = time.Second
	slowReader   = 5 * time.Second // to take what is written to it
)

// Server answers requests.
type Server struct {
	host *server.Server
	mux  *http.ServeMux

	mu   sync.Mutex
	keys map[string]*made // by Idempotency-Key; emptied with time, and bounded
}

type made struct {
	at      time.Time
	request string
	done    chan struct{}
	status  int
	body    []byte
}

// EncodeWatchEvent is what a watcher is sent for a change.
func EncodeWatchEvent(o *watchcache.Object) []byte {
	sort := "changed"
	if o.Deleted {
		sort = "removed"
	}
	p, err := json.Marshal(map[string]any{"type": sort, "kind": o.Kind, "id": o.ID, "version": o.Version, "object": versioned(o)})
	if err != nil {
		panic(err) // the types here always encode
	}
	return append(p, '\n')
}

// versioned is an object's value with its version.
func versioned(o *watchcache.Object) any {
	switch v := o.Value.(type) {
	case server.Job:
		v.Version = o.Version
		return v
	case server.Container:
		v.Version = o.Version
		return v
	case server.Machine:
		v.Version = o.Version
		return v
	}
	return o.Value
}

// New makes the handler for a keeper.
func New(h *server.Server) http.Handler {
	s := &Server{host: h, mux: http.NewServeMux(), keys: map[string]*made{}}
	for pattern, f := range map[string]http.HandlerFunc{
		"GET /v1/jobs":                s.list(server.KindJobs),
		"POST /v1/jobs":               s.create,
		"GET /v1/jobs/{id}":           s.get(server.KindJobs),
		"PUT /v1/jobs/{id}":           s.change,
		"DELETE /v1/jobs/{id}":        s.remove,
		"GET /v1/jobs/{id}/why":       s.jobWhy,
		"GET /v1/containers":          s.list(server.KindContainers),
		"GET /v1/containers/{id}":     s.get(server.KindContainers),
		"GET /v1/containers/{id}/why": s.why,
		"GET /v1/machines":            s.list(server.KindMachines),
		"GET /v1/machines/{id}":       s.get(server.KindMachines),
		"GET /v1/watch":               s.watch,
		"GET /v1/openapi.yaml": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/yaml")
			w.Write(OpenAPI)
		},
	} {
		s.mux.HandleFunc(pattern, f)
	}
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		problem(w, http.StatusNotFound, "there is no "+r.Method+" "+r.URL.Path, nil)
	})
	return s.mux
}

// NewHTTPServer makes the HTTP server with its limits.
func NewHTTPServer(addr string, h http.Handler) *http.Server {
	return &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10}
}

func problem(w http.ResponseWriter, status int, detail string, more map[string]any) {
	p := map[string]any{"title": http.StatusText(status), "status": status, "detail": detail}
	for k, v := range more {
		p[k] = v
	}
	body, _ := json.Marshal(p)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}

// fail turns an error into a problem that names field and cause.
func fail(w http.ResponseWriter, err error) {
	var invalid *server.InvalidFieldError
	var conflict *server.ConflictError
	var large *http.MaxBytesError
	var notKept *server.NotPersistedError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &invalid):
		problem(w, http.StatusUnprocessableEntity, err.Error(), map[string]any{"field": invalid.Field})
	case errors.As(err, &conflict):
		problem(w, http.StatusConflict, err.Error(), map[string]any{"version": conflict.Version})
	case errors.Is(err, server.ErrNotFound):
		problem(w, http.StatusNotFound, err.Error(), nil)
	case errors.Is(err, watchcache.ErrCompacted):
		problem(w, http.StatusGone, err.Error(), nil)
	case errors.As(err, &notKept):
		w.Header().Set("Retry-After", "5")
		problem(w, http.StatusServiceUnavailable, err.Error(), nil)
	case errors.Is(err, server.ErrStopped):
		problem(w, http.StatusServiceUnavailable, err.Error(), nil)
	case errors.As(err, &large):
		problem(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("more than %d bytes", large.Limit), nil)
	case errors.As(err, &typed):
		problem(w, http.StatusBadRequest, fmt.Sprintf("%s: a %s stands where a %s is wanted", typed.Field, typed.Value, typed.Type),
			map[string]any{"field": typed.Field})
	default:
		problem(w, http.StatusBadRequest, err.Error(), nil)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}

func readJob(w http.ResponseWriter, r *http.Request) (j server.Job, raw []byte, err error) {
	if raw, err = io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody)); err != nil {
		return j, nil, err
	}
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.DisallowUnknownFields()
	if err = d.Decode(&j); err != nil {
		if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			err = &server.InvalidFieldError{Field: strings.Trim(field, `"`), Message: "is unknown"}
		}
		return j, nil, err
	}
	if d.More() {
		return j, nil, errors.New("more than one value")
	}
	return j, raw, nil
}

// create makes a job. With an Idempotency-Key a repeat gets the first answer; with another body it is refused.
func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	j, raw, err := readJob(w, r)
	if err != nil {
		fail(w, err)
		return
	}
	do := func() (int, []byte, error) {
		digest := sha256.Sum256(raw)
		j.Version, err = s.host.SetJob(j, -1, server.CreationToken{Key: r.Header.Get("Idempotency-Key"), RequestDigest: digest[:]})
		if err != nil {
			return 0, nil, err
		}
		body, err := json.Marshal(j)
		return http.StatusCreated, append(body, '\n'), err
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		status, body, err := do()
		if err != nil {
			fail(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		w.Write(body)
		return
	}
	if len(key) > 200 {
		fail(w, &server.InvalidFieldError{Field: "Idempotency-Key", Message: "is longer than 200 bytes"})
		return
	}
	s.mu.Lock()
	for k, m := range s.keys {
		if time.Since(m.at) > sameKeyFor || len(s.keys) >= mostSameKeys {
			delete(s.keys, k)
		}
	}
	m, again := s.keys[key]
	if !again {
		m = &made{at: time.Now(), request: string(raw), done: make(chan struct{})}
		s.keys[key] = m
	}
	s.mu.Unlock()
	if again {
		<-m.done
	} else {
		m.status, m.body, err = do()
		if err != nil { // nothing was made: the key is free for another try
			s.mu.Lock()
			delete(s.keys, key)
			s.mu.Unlock()
		}
		close(m.done)
	}
	switch {
	case err != nil:
		fail(w, err)
	case m.request != string(raw):
		problem(w, http.StatusUnprocessableEntity, "the key was used with another body", map[string]any{"field": "Idempotency-Key"})
	case m.status == 0:
		problem(w, http.StatusConflict, "the first request of that key failed: try again", nil)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(m.status)
		w.Write(m.body)
	}
}

func precondition(r *http.Request) (int64, error) {
	v := strings.Trim(r.Header.Get("If-Match"), `"`)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 {
		return 0, &server.InvalidFieldError{Field: "If-Match", Message: fmt.Sprintf("%q is no version", v)}
	}
	return n, nil
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	version, err := precondition(r)
	if err != nil {
		fail(w, err)
		return
	}
	j, _, err := readJob(w, r)
	if err == nil && j.ID != "" && j.ID != r.PathValue("id") {
		err = &server.InvalidFieldError{Field: "id", Message: "is not that of the path"}
	}
	j.ID = r.PathValue("id")
	if err == nil && s.host.Cache.Get(server.KindJobs, j.ID) == nil {
		err = server.ErrNotFound
	}
	if err == nil {
		j.Version, err = s.host.SetJob(j, version, server.CreationToken{})
	}
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, j)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	version, err := precondition(r)
	if err == nil {
		err = s.host.DeleteJob(r.PathValue("id"), version)
	}
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) get(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o := s.host.Cache.Get(kind, r.PathValue("id"))
		if o == nil {
			fail(w, server.ErrNotFound)
			return
		}
		w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatInt(o.Version, 10)))
		answer(w, http.StatusOK, versioned(o))
	}
}

func (s *Server) list(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit := pageDefault
		if v := q.Get("limit"); v != "" {
			n, err := strconv.Atoi(v)
			if err != nil || n < 1 || n > pageMost {
				fail(w, &server.InvalidFieldError{Field: "limit", Message: fmt.Sprintf("%q is not from 1 to %d", v, pageMost)})
				return
			}
			limit = n
		}
		match, err := selector(kind, q.Get("label"), q.Get("field"))
		if err != nil {
			fail(w, err)
			return
		}
		all, version, more := s.host.Cache.List(kind, q.Get("after"), limit, match)
		out := struct {
			Items   []any  `json:"items"`
			Version int64  `json:"version"`
			After   string `json:"after,omitempty"`
		}{[]any{}, version, ""}
		for _, o := range all {
			out.Items = append(out.Items, versioned(o))
			if more {
				out.After = o.ID
			}
		}
		answer(w, http.StatusOK, out)
	}
}

// selector reads "a=b,c!=d" for fields and "k=v" for labels.
func selector(kind, labels, fields string) (func(*watchcache.Object) bool, error) {
	type term struct {
		name, value string
		not         bool
	}
	var byField, byLabel []term
	known := map[string]string{server.KindJobs: "id service workload customer count", server.KindContainers: "id job state machine placer leaving",
		server.KindMachines: "id hall kind state"}[kind]
	for _, x := range split(fields) {
		name, value, ok := strings.Cut(x, "=")
		t := term{strings.TrimSuffix(name, "!"), value, strings.HasSuffix(name, "!")}
		if !ok || !strings.Contains(" "+known+" ", " "+t.name+" ") || t.name == "" {
			return nil, &server.InvalidFieldError{Field: "field", Message: fmt.Sprintf("%q is no term such as name=value, with a name of %s", x, known)}
		}
		byField = append(byField, t)
	}
	for _, x := range split(labels) {
		name, value, ok := strings.Cut(x, "=")
		if !ok || name == "" {
			return nil, &server.InvalidFieldError{Field: "label", Message: fmt.Sprintf("%q is no term such as key=value", x)}
		}
		byLabel = append(byLabel, term{name, value, false})
	}
	return func(o *watchcache.Object) bool {
		for _, t := range byField {
			if (fieldOf(o.Value, t.name) == t.value) == t.not {
				return false
			}
		}
		for _, t := range byLabel {
			if j, ok := o.Value.(server.Job); !ok || j.Labels[t.name] != t.value {
				return false
			}
		}
		return true
	}, nil
}

func split(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func fieldOf(v any, name string) string {
	switch v := v.(type) {
	case server.Job:
		return map[string]string{"id": v.ID, "service": v.Service, "workload": v.WorkloadClass, "customer": v.Tenant,
			"count": strconv.Itoa(v.Count)}[name]
	case server.Container:
		return map[string]string{"id": v.ID, "job": v.Job, "state": v.State, "machine": v.Machine, "placer": v.Scheduler,
			"leaving": strconv.FormatBool(v.Terminating)}[name]
	case server.Machine:
		return map[string]string{"id": v.ID, "hall": strconv.Itoa(v.Zone), "kind": v.MachineType, "state": v.State}[name]
	}
	return ""
}

// Reason is one as the API shows it.
type Reason struct {
	pending.Reason
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Explanation is the answer for one container.
type Explanation struct {
	Container string   `json:"container"`
	State     string   `json:"state"`
	Reasons   []Reason `json:"reasons"`
}

func (s *Server) explain(id string) (Explanation, error) {
	reasons, state, err := s.host.PendingReasons(id)
	out := Explanation{id, state, []Reason{}}
	for _, r := range reasons {
		out.Reasons = append(out.Reasons, Reason{r, int64(r.Until / 10)})
	}
	return out, err
}

func (s *Server) why(w http.ResponseWriter, r *http.Request) {
	out, err := s.explain(r.PathValue("id"))
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, http.StatusOK, out)
}

func (s *Server) jobWhy(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if s.host.Cache.Get(server.KindJobs, id) == nil {
		fail(w, server.ErrNotFound)
		return
	}
	waitingOnes, _, _ := s.host.Cache.List(server.KindContainers, id+".", whyAtOnce, func(o *watchcache.Object) bool {
		c := o.Value.(server.Container)
		return c.Job == id && c.State != "running" && c.State != "done"
	})
	out := struct {
		Items []Explanation `json:"items"`
	}{[]Explanation{}}
	for _, o := range waitingOnes {
		if x, err := s.explain(o.ID); err == nil && len(x.Reasons) > 0 {
			out.Items = append(out.Items, x)
		}
	}
	answer(w, http.StatusOK, out)
}

// watch streams changes as lines. A reader that does not take them in time is let go.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	kinds := split(q.Get("kinds"))
	if len(kinds) == 0 {
		kinds = []string{server.KindJobs, server.KindContainers, server.KindMachines}
	}
	for _, k := range kinds {
		if k != server.KindJobs && k != server.KindContainers && k != server.KindMachines {
			fail(w, &server.InvalidFieldError{Field: "kinds", Message: fmt.Sprintf("%q is none of jobs, containers, machines", k)})
			return
		}
	}
	from := s.host.Cache.Version()
	if v := q.Get("from"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			fail(w, &server.InvalidFieldError{Field: "from", Message: fmt.Sprintf("%q is no version", v)})
			return
		}
		from = n
	}
	watcher, err := s.host.Cache.Watch(from, kinds...)
	if err != nil {
		fail(w, err)
		return
	}
	defer watcher.Close()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	put := func(p []byte) bool {
		out.SetWriteDeadline(time.Now().Add(slowReader))
		_, err := w.Write(p)
		return err == nil
	}
	tick := time.NewTicker(bookmarks)
	defer tick.Stop()
	out.SetReadDeadline(time.Time{})
	if out.Flush() != nil {
		return
	}
	for {
		select {
		case o, ok := <-watcher.Changes:
			if !ok {
				put([]byte(`{"type":"gone","detail":"this watch fell behind: list again"}` + "\n"))
				return
			}
			if !put(o.WatchEvent()) {
				return
			}
			for n := len(watcher.Changes); n > 0 && ok; n-- {
				if o, ok = <-watcher.Changes; ok && !put(o.WatchEvent()) {
					return
				}
			}
		case <-tick.C:
			if !put(fmt.Appendf(nil, `{"type":"bookmark","version":%d}`+"\n", s.bookmark(watcher))) {
				return
			}
		case <-r.Context().Done():
			return
		}
		if out.Flush() != nil {
			return
		}
	}
}

// bookmark is a version up to which everything was sent. Read before the queue is looked at, it can only be too
// old, which costs a repeat and loses nothing.
func (s *Server) bookmark(w *watchcache.Watcher) int64 {
	v := s.host.Cache.Version()
	if len(w.Changes) > 0 {
		return w.StartVersion()
	}
	return v
}
