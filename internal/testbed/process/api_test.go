package process

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"glenport/internal/testutil"
)

// A server is killed after it has applied a change and before it has answered, on a reused connection. The client must
// get an error: a change that is silently resent finds the job gone, which looks like a lost job.
func TestChangeWithoutReplyIsNotResent(t *testing.T) {
	for _, method := range []string{http.MethodDelete, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			var changes atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != method {
					_, err := w.Write([]byte("[]"))
					testutil.NoError(t, err)
					return
				}
				changes.Add(1)
				panic(http.ErrAbortHandler) // closes the connection without a reply
			}))
			defer server.Close()
			controller := &Controller{APIAddr: strings.TrimPrefix(server.URL, "http://")}
			status, _, err := controller.request(http.MethodGet, "/v1/jobs", "", nil)
			testutil.NoError(t, err)
			testutil.Expect(t, status == http.StatusOK, "GET: status %d", status)
			_, _, err = controller.ChangeJob(method, "/v1/jobs/a", "key-1", nil)
			testutil.Expect(t, err != nil, "a change without a reply returned no error")
			testutil.Expect(t, changes.Load() == 1, "the change was sent %d times", changes.Load())
		})
	}
}
