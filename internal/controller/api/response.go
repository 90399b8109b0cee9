package api

import (
	"encoding/json"
	"net/http"
)

// writeJSON answers a request that was done with a value, which ends in a newline.
func writeJSON(w http.ResponseWriter, value any) {
	body, err := encodeLine(value)
	if err != nil {
		writeError(w, err)
		return
	}
	writeBody(w, http.StatusOK, contentTypeJSON, body)
}

func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // it fails where the client has gone, and then nobody is left to be answered
}

func encodeLine(value any) ([]byte, error) {
	line, err := json.Marshal(value)
	return append(line, '\n'), err
}
