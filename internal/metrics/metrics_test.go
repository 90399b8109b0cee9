package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
)

type fakeSource struct{ ok bool }

func (s fakeSource) Stats(time.Duration) (*protocol.StatusReply, *protocol.RoutesReply, bool) {
	status := &protocol.StatusReply{
		Stats: []protocol.Stat{{Name: "placing p99.9", Value: 0.5, Unit: "ms"}, {Name: "bids", Value: 7}},
	}
	routes := &protocol.RoutesReply{
		Peers: []protocol.BGPPeerStatus{{Address: "192.0.2.1:179", State: "Established", Routes: 3}},
	}
	return status, routes, s.ok
}

func TestMetricsReportStatus(t *testing.T) {
	for _, tc := range []struct {
		name   string
		ok     bool
		want   []string
		absent string
	}{
		{"answers", true, []string{
			"glenport_answers 1", "glenport_placing_p99_9_ms 0.5", "glenport_bids 7",
			`glenport_bgp_established{peer="192.0.2.1:179"} 1`, `glenport_bgp_routes{peer="192.0.2.1:179"} 3`,
		}, "nothing"},
		{"does not answer", false, []string{"glenport_answers 0"}, "glenport_bids"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			response := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil)
			NewServer("", fakeSource{tc.ok}).Handler.ServeHTTP(response, request)
			body := response.Body.String()
			for _, line := range tc.want {
				testutil.Expect(t, strings.Contains(body, line+"\n"), "no line %s in\n%s", line, body)
			}
			testutil.Expect(t, !strings.Contains(body, tc.absent), "%s is present in the output", tc.absent)
		})
	}
}
