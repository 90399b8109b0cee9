package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Get reads an object or a list of the API.
func (c *Controller) Get(path string, into any) error {
	return c.Do(http.MethodGet, path, nil, into)
}

// Do sends a request and decodes its response, unless into is nil.
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

// ChangeJob creates, changes or deletes a job and returns its version. The idempotency key, which a retry has too, goes
// with a creation only, as the API defines it: net/http resends any request that has the header by itself after its
// connection is lost, and a change that was sent twice unnoticed may be answered as if it had never been possible.
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
	defer func() { _ = response.Body.Close() }() // it has been read to its end
	data, err = io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// Watch opens a watch of a kind of object, one JSON line for each event.
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
