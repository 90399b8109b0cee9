package api

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

func TestOpenAPIDescriptionIsServedUnchanged(t *testing.T) {
	f := startFixture(t, 1)
	response := send(t, newRequest(t, http.MethodGet, f.api.URL+"/v1/openapi.yaml", ""))
	body, contentType := response.read(t), response.header.Get("Content-Type")
	if response.status != http.StatusOK || contentType != "application/yaml" || !bytes.Equal(body, OpenAPI) {
		t.Errorf("got status %d, content type %q, %d bytes", response.status, contentType, len(body))
	}
}

func TestProblemOfAnUnknownPathNamesIt(t *testing.T) {
	f := startFixture(t, 1)
	status, problem := f.do("PATCH", "/v1/jobs", "")
	testutil.Expect(t, status >= 400 && strings.Contains(fmt.Sprint(problem["detail"]), "PATCH /v1/jobs"),
		"got %d %v", status, problem)
}

func TestProblemNamesFieldAndCause(t *testing.T) {
	f := startFixture(t, 1)
	f.do("POST", "/v1/jobs", job("a", 0, 1))
	const wrongType = "a string stands where a int is wanted"
	unknownClass := strings.Replace(job("b", 1, 1), "matcher", "mather", 1)
	tooLarge := `{"service":"` + strings.Repeat("x", 70000) + `"}`
	noVersion := []string{"If-Match", "soon"}
	for _, tc := range []struct {
		name, method, path, body string
		headers                  []string
		code                     int
		field, detail            string
	}{
		{"no JSON", "POST", "/v1/jobs", `{`, nil, 400, "", "unexpected EOF"},
		{"wrong type", "POST", "/v1/jobs", `{"count":"three"}`, nil, 400, "count", wrongType},
		{"unknown field", "POST", "/v1/jobs", `{"cuont":3}`, nil, 422, "cuont", "is unknown"},
		{"no id", "POST", "/v1/jobs", job("", 1, 1), nil, 422, "id", "is not 1 to 63"},
		{"no such workload", "POST", "/v1/jobs", unknownClass, nil, 422, "workload", "is none of matcher"},
		{"no cores", "POST", "/v1/jobs", job("b", 1, 0), nil, 422, "cores", "is not above 0"},
		{"too many", "POST", "/v1/jobs", job("b", 1e6, 1), nil, 422, "count", "is not from 0 to 100000"},
		{"too large", "POST", "/v1/jobs", tooLarge, nil, 413, "", "more than 65536 bytes"},
		{"job exists", "POST", "/v1/jobs", job("a", 1, 1), nil, 409, "", "exists already"},
		{"no version", "PUT", "/v1/jobs/a", job("", 1, 1), noVersion, 422, "If-Match", "is no version"},
		{"another id", "PUT", "/v1/jobs/a", job("b", 1, 1), nil, 422, "id", "is not that of the path"},
		{"unknown job", "GET", "/v1/jobs/none", "", nil, 404, "", "none of that id"},
		{"unknown job, changed", "PUT", "/v1/jobs/none", job("", 1, 1), nil, 404, "", "none of that id"},
		{"unknown container", "GET", "/v1/containers/a.9/why", "", nil, 404, "", "none of that id"},
		{"page", "GET", "/v1/jobs?limit=0", "", nil, 422, "limit", "is not from 1 to 1000"},
		{"selector", "GET", "/v1/jobs?field=colour=red", "", nil, 422, "field", "with a name of id service"},
		{"label", "GET", "/v1/jobs?label=red", "", nil, 422, "label", "is no term such as key=value"},
		{"kind to watch", "GET", "/v1/watch?kinds=cats", "", nil, 422, "kinds", "is none of jobs"},
		{"version never given out", "GET", "/v1/watch?from=99999999", "", nil, 410, "", "list again"},
		{"no such path", "GET", "/v2", "", nil, 404, "", "there is no GET /v2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, p := f.do(tc.method, tc.path, tc.body, tc.headers...)
			if code != tc.code || !strings.Contains(fmt.Sprint(p["detail"]), tc.detail) ||
				tc.field != "" && p["field"] != tc.field {
				t.Errorf("got %d %v", code, p)
			}
		})
	}
}
