package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Get sends a GET request to the API and decodes the response.
func (c *Controller) Get(path string, into any) error {
	return c.Do(http.MethodGet, path, nil, into)
}

// Do sends a request to the API and decodes the response, unless into is nil.
func (c *Controller) Do(method, path string, in, into any) error {
	status, data, err := c.request(method, path, "", in)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: %s", method, path, data)
	}
	if into != nil {
		return json.Unmarshal(data, into)
	}
	return nil
}

// ChangeJob creates, changes or deletes a job and returns its version. Retries use the same idempotency key. The key is
// sent only with a creation, for which the API defines it: net/http silently resends requests with this header after a
// lost connection, and the response to a change or delete that was applied twice may be an error.
func (c *Controller) ChangeJob(method, path, key string, in any) (status int, version int64, err error) {
	if method != http.MethodPost {
		key = ""
	}
	status, data, err := c.request(method, path, key, in)
	var job struct{ Version int64 }
	if err == nil && status < http.StatusMultipleChoices && len(data) > 0 {
		err = json.Unmarshal(data, &job)
	}
	return status, job.Version, err
}

func (c *Controller) request(method, path, key string, in any) (status int, data []byte, err error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.APIAddr+path, body)
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read to its end
	data, err = io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// Watch opens a watch for objects of a kind. The stream has one JSON line per event.
func (c *Controller) Watch(kind string) (io.ReadCloser, error) {
	url := "http://" + c.APIAddr + "/v1/watch?kinds=" + kind
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}
