package api

import (
	"fmt"
	"strings"
	"testing"
)

func TestDescriptionIsServedAsItIs(t *testing.T) {
	f := startFixture(t, 1)
	response, body := f.get("/v1/openapi.yaml")
	if response.StatusCode != 200 || response.Header.Get("Content-Type") != "application/yaml" ||
		body != string(OpenAPI) {
		t.Errorf("got %s, %q, %d bytes", response.Status, response.Header.Get("Content-Type"), len(body))
	}
}

func TestProblemOfAnUnknownPathNamesIt(t *testing.T) {
	f := startFixture(t, 1)
	if status, problem := f.do(
		"PATCH",
		"/v1/jobs",
		"",
	); status < 400 ||
		!strings.Contains(fmt.Sprint(problem["detail"]), "PATCH /v1/jobs") {
		t.Errorf("got %d %v", status, problem)
	}
}
