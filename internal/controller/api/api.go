// Package api serves the controller's HTTP API, which openapi.yaml describes: jobs, containers and machines, the
// reasons why containers are pending, and watches.
package api

import (
	_ "embed" // for OpenAPI
	"net/http"
	"time"

	"glenport/internal/controller/server"
)

// OpenAPI is the OpenAPI description of the API, served at /v1/openapi.yaml.
//
//go:embed openapi.yaml
var OpenAPI []byte

// Limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

const (
	contentTypeJSON    = "application/json"
	contentTypeYAML    = "application/yaml"
	contentTypeNDJSON  = "application/x-ndjson"
	contentTypeProblem = "application/problem+json"
)

// handler handles the API requests to one controller.
type handler struct {
	server    *server.Server
	creations creations
}

// New returns an HTTP handler that serves the whole API.
func New(s *server.Server) http.Handler {
	h := &handler{server: s, creations: creations{byKey: map[string]*creation{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/jobs", h.list(server.KindJobs))
	mux.HandleFunc("POST /v1/jobs", h.createJob)
	mux.HandleFunc("GET /v1/jobs/{id}", h.get(server.KindJobs))
	mux.HandleFunc("PUT /v1/jobs/{id}", h.updateJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", h.deleteJob)
	mux.HandleFunc("GET /v1/jobs/{id}/why", h.explainJob)
	mux.HandleFunc("GET /v1/containers", h.list(server.KindContainers))
	mux.HandleFunc("GET /v1/containers/{id}", h.get(server.KindContainers))
	mux.HandleFunc("GET /v1/containers/{id}/why", h.explainContainer)
	mux.HandleFunc("GET /v1/machines", h.list(server.KindMachines))
	mux.HandleFunc("GET /v1/machines/{id}", h.get(server.KindMachines))
	mux.HandleFunc("GET /v1/watch", h.watch)
	mux.HandleFunc("GET /v1/openapi.yaml", serveOpenAPI)
	mux.HandleFunc("/", unknownPath)
	return mux
}

// NewHTTPServer returns an HTTP server that limits the time to read a request and the size of its headers. It sets no
// write timeout, because a watch has no time limit.
func NewHTTPServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func serveOpenAPI(w http.ResponseWriter, _ *http.Request) {
	writeBody(w, http.StatusOK, contentTypeYAML, OpenAPI)
}

func unknownPath(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, problem{Status: http.StatusNotFound, Detail: "there is no " + r.Method + " " + r.URL.Path})
}
