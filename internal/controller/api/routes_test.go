package api

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

func TestDescriptionIsServedAsItIs(t *testing.T) {
	f := startFixture(t, 1)
	response := send(t, newRequest(t, http.MethodGet, f.api.URL+"/v1/openapi.yaml", ""))
	body, contentType := response.read(t), response.header.Get("Content-Type")
	if response.status != http.StatusOK || contentType != "application/yaml" || !bytes.Equal(body, OpenAPI) {
		t.Errorf("got %d, %q, %d bytes", response.status, contentType, len(body))
	}
}

func TestProblemOfAnUnknownPathNamesIt(t *testing.T) {
	f := startFixture(t, 1)
	status, problem := f.do("PATCH", "/v1/jobs", "")
	testutil.Expect(t, status >= 400 && strings.Contains(fmt.Sprint(problem["detail"]), "PATCH /v1/jobs"),
		"got %d %v", status, problem)
}
