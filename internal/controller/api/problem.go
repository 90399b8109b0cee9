package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"
)

// storageRetryAfter is the Retry-After, in seconds, of a change that could not be written to disk.
const storageRetryAfter = "5"

// problem is the body of a response with an error status (RFC 9457). Its fields are in the order on the wire.
type problem struct {
	Detail  string  `json:"detail"`
	Field   *string `json:"field,omitempty"` // the invalid field of the request, if there is one
	Status  int     `json:"status"`
	Title   string  `json:"title"`             // set by writeProblem
	Version *int64  `json:"version,omitempty"` // of the object, in a conflict

	RetryAfter string `json:"-"` // value of the header, in seconds; empty: no header
}

func writeProblem(w http.ResponseWriter, p problem) {
	p.Title = http.StatusText(p.Status)
	body, err := encodeLine(p)
	if err != nil {
		panic(err) // cannot happen: a problem has only strings and integers
	}
	if p.RetryAfter != "" {
		w.Header().Set("Retry-After", p.RetryAfter)
	}
	writeBody(w, p.Status, contentTypeProblem, body)
}

// writeError writes the problem of an error.
func writeError(w http.ResponseWriter, err error) {
	writeProblem(w, problemOf(err))
}

// problemOf returns the problem of an error of the server, the cache or the request's body. Any other error comes from
// decoding the body and is answered with status 400.
func problemOf(err error) problem {
	var (
		invalid      *server.InvalidFieldError
		conflict     *server.ConflictError
		notPersisted *server.NotPersistedError
		tooLarge     *http.MaxBytesError
		wrongType    *json.UnmarshalTypeError
	)
	p := problem{Status: http.StatusBadRequest, Detail: err.Error()}
	switch {
	case errors.As(err, &invalid):
		p.Status, p.Field = http.StatusUnprocessableEntity, &invalid.Field
	case errors.As(err, &conflict):
		p.Status, p.Version = http.StatusConflict, &conflict.Version
	case errors.Is(err, server.ErrNotFound):
		p.Status = http.StatusNotFound
	case errors.Is(err, watchcache.ErrCompacted):
		p.Status = http.StatusGone
	case errors.As(err, &notPersisted):
		p.Status, p.RetryAfter = http.StatusServiceUnavailable, storageRetryAfter
	case errors.Is(err, server.ErrStopped):
		p.Status = http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		p.Status, p.Detail = http.StatusRequestEntityTooLarge, fmt.Sprintf("more than %d bytes", tooLarge.Limit)
	case errors.As(err, &wrongType):
		p.Field = &wrongType.Field
		p.Detail = fmt.Sprintf("%s: a %s stands where a %s is wanted", wrongType.Field, wrongType.Value, wrongType.Type)
	}
	return p
}

// invalidField returns the error for an invalid field, query parameter or header.
func invalidField(field, format string, args ...any) error {
	return &server.InvalidFieldError{Field: field, Message: fmt.Sprintf(format, args...)}
}
