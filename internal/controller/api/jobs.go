package api

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"glenport/internal/controller/server"
)

const (
	maxBodyBytes         = 64 << 10
	maxIdempotencyKey    = 200 // bytes
	idempotencyKeyHeader = "Idempotency-Key"
)

// errTrailingData rejects a body with more than one JSON value.
var errTrailingData = errors.New("more than one value")

// createJob creates a job. With an idempotency key, a retry of the request gets the response to the first, and a
// request with the same key and another body is rejected.
func (h *handler) createJob(w http.ResponseWriter, r *http.Request) {
	job, body, err := readJob(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	key := r.Header.Get(idempotencyKeyHeader)
	if key == "" {
		created, err := h.create(job, body, key)
		if err != nil {
			writeError(w, err)
			return
		}
		writeBody(w, http.StatusCreated, contentTypeJSON, created)
		return
	}
	if len(key) > maxIdempotencyKey {
		writeError(w, invalidField(idempotencyKeyHeader, "is longer than 200 bytes"))
		return
	}
	h.createJobOnce(w, job, body, key)
}

// createJobOnce creates a job unless an earlier request with the same key and body did. Both requests get the same
// response.
func (h *handler) createJobOnce(w http.ResponseWriter, job server.Job, body []byte, key string) {
	c, first := h.creations.begin(key, body)
	if first {
		response, err := h.create(job, body, key)
		h.creations.finish(key, c, response, err)
		if err != nil {
			writeError(w, err)
			return
		}
	} else {
		<-c.done
	}
	switch {
	case !bytes.Equal(c.body, body):
		field, detail := idempotencyKeyHeader, "the key was used with another body"
		writeProblem(w, problem{Status: http.StatusUnprocessableEntity, Detail: detail, Field: &field})
	case c.response == nil:
		writeProblem(w, problem{Status: http.StatusConflict, Detail: "the first request of that key failed: try again"})
	default:
		writeBody(w, http.StatusCreated, contentTypeJSON, c.response)
	}
}

// create creates a job and returns the body of the response.
func (h *handler) create(job server.Job, body []byte, key string) ([]byte, error) {
	digest := sha256.Sum256(body)
	var err error
	token := server.CreationToken{Key: key, RequestDigest: digest[:]}
	job.Version, err = h.server.SetJob(job, server.MustNotExist, token)
	if err != nil {
		return nil, err
	}
	return encodeLine(job)
}

func (h *handler) updateJob(w http.ResponseWriter, r *http.Request) {
	job, err := h.update(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, job)
}

func (h *handler) update(w http.ResponseWriter, r *http.Request) (job server.Job, err error) {
	version, err := precondition(r)
	if err != nil {
		return job, err
	}
	if job, _, err = readJob(w, r); err != nil {
		return job, err
	}
	id := r.PathValue("id")
	if job.ID != "" && job.ID != id {
		return job, invalidField("id", "is not that of the path")
	}
	job.ID = id
	if h.server.Cache.Get(server.KindJobs, id) == nil {
		return job, server.ErrNotFound
	}
	job.Version, err = h.server.SetJob(job, version, server.CreationToken{})
	return job, err
}

func (h *handler) deleteJob(w http.ResponseWriter, r *http.Request) {
	version, err := precondition(r)
	if err == nil {
		err = h.server.DeleteJob(r.PathValue("id"), version)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readJob returns the job in the request body, and the body itself.
func readJob(w http.ResponseWriter, r *http.Request) (job server.Job, body []byte, err error) {
	if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		return job, nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(&job); err != nil {
		return job, nil, unknownFieldError(err)
	}
	if decoder.More() {
		return job, nil, errTrailingData
	}
	return job, body, nil
}

// unknownFieldError converts the error of encoding/json for an unknown field, which has no type of its own, to an
// *InvalidFieldError. It returns any other error unchanged.
func unknownFieldError(err error) error {
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return invalidField(strings.Trim(field, `"`), "is unknown")
	}
	return err
}

// precondition returns the version in the If-Match header, or 0 without the header.
func precondition(r *http.Request) (int64, error) {
	value := strings.Trim(r.Header.Get("If-Match"), `"`)
	if value == "" {
		return 0, nil
	}
	version, err := strconv.ParseInt(value, 10, 64)
	if err != nil || version <= 0 {
		return 0, invalidField("If-Match", "%q is no version", value)
	}
	return version, nil
}
