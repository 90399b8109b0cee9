package api

import (
	"encoding/json"
	"net/http"
)

// writeJSON writes a response with status 200 and a value as a line of JSON.
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
	_, _ = w.Write(body) // fails only if the client has disconnected
}

// encodeLine returns the JSON of a value with a newline.
func encodeLine(value any) ([]byte, error) {
	line, err := json.Marshal(value)
	return append(line, '\n'), err
}
