package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"
)

const (
	apiTimeout = 20 * time.Second // of one request
	listLimit  = "?limit=1000"    // query of a list request; the API's maximum
)

// Values of --output.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// apiClient sends requests to a controller's API and prints the responses.
type apiClient struct {
	address string
	format  string
	out     io.Writer
}

// listResponse is the API's response to a list request.
type listResponse[T any] struct{ Items []T }

// problemError is the problem document (RFC 9457) of a response with an error status.
type problemError struct{ Title, Detail string }

// Error implements error.
func (e *problemError) Error() string { return e.Title + ": " + e.Detail }

// withAPI adds the flags of an API client to a command, and makes the command call run with that client.
func withAPI(c *cobra.Command, run func(ctx context.Context, client *apiClient, args []string) error) *cobra.Command {
	client := &apiClient{}
	c.Flags().StringVar(&client.address, "api", "127.0.0.1:7500", "the address of the controller's API")
	c.Flags().StringVarP(&client.format, "output", "o", formatTable, "format of the output: table, json or yaml")
	c.RunE = func(c *cobra.Command, args []string) error {
		switch client.format {
		case formatTable, formatJSON, formatYAML:
		default:
			return fmt.Errorf("--output %q is none of table, json, yaml", client.format)
		}
		client.out = c.OutOrStdout()
		return run(c.Context(), client, args)
	}
	return c
}

// do sends a request and decodes the response into result. body and result may be nil. A response with an error status
// is returned as an error, a *problemError if it has a problem document.
func (c *apiClient) do(ctx context.Context, method, path string, body, result any) error {
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: apiTimeout}).Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read completely
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return problemOf(method, path, response.Status, data)
	}
	if result == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("decode the answer to %s %s: %w", method, path, err)
	}
	return nil
}

// newRequest returns a request with body encoded as JSON, or without a body if it is nil.
func (c *apiClient) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	url := "http://" + c.address + path
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
}

// problemOf returns the problem document of a response as an error, or another error if there is none.
func problemOf(method, path, status string, document []byte) error {
	problem := &problemError{}
	if err := json.Unmarshal(document, problem); err != nil || problem.Title == "" {
		return fmt.Errorf("%s %s: status %s without a problem document", method, path, status)
	}
	return problem
}

func (c *apiClient) get(ctx context.Context, path string, result any) error {
	return c.do(ctx, http.MethodGet, path, nil, result)
}

// print prints a value as JSON or YAML, or the table of header and rows, depending on the format.
func (c *apiClient) print(value any, header string, rows func(p *printer)) error {
	switch c.format {
	case formatJSON:
		encoded, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.out, string(encoded))
		return err
	case formatYAML:
		encoded, err := json.Marshal(value)
		if err != nil {
			return err
		}
		if encoded, err = yaml.JSONToYAML(encoded); err != nil {
			return err
		}
		_, err = c.out.Write(encoded)
		return err
	}
	return printTable(c.out, header, rows)
}
