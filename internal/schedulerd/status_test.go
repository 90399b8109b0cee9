package schedulerd

import (
	"slices"
	"testing"

	"glenport/internal/testutil"
)

// statusNames are the counters of `glenport status`, in their order.
var statusNames = []string{
	"up", "machines known", "list version", "owners", "connections", "timers", "containers known",
	"containers running", "containers taken over", "submissions", "placed", "pushed back", "given up",
	"turned away", "answers nobody heard", "bids", "bids full", "bids erred", "bids stopped", "bids lost",
	"bids timed out", "bids late yes", "bids no connection", "bids reset", "bids not sent", "placing p50",
	"placing p99", "placing p99.9", "placing worst", "turns", "batches", "events", "busy", "deciding",
	"slowest decision", "heap live", "memory", "goroutines",
}

// `glenport status`, the metrics and dashboards depend on the names and the order of the counters.
func TestStatusNamesAreStable(t *testing.T) {
	server, _ := runServer(t, testConfig(t), newScript(nil))
	var got []string
	for _, stat := range onLoop(server, server.inspector.statusReply).Stats {
		got = append(got, stat.Name)
	}
	testutil.Expect(t, slices.Equal(got, statusNames), "got %q", got)
	units := map[string]string{}
	for _, stat := range onLoop(server, server.inspector.statusReply).Stats {
		if stat.Unit != "" {
			units[stat.Name] = stat.Unit
		}
	}
	for name, unit := range map[string]string{
		"up": "s", "placing p50": "ms", "placing p99": "ms", "placing p99.9": "ms", "placing worst": "ms",
		"busy": "s", "deciding": "s", "slowest decision": "ms", "heap live": "MiB", "memory": "MiB",
	} {
		testutil.Expect(t, units[name] == unit, "%s is in %q, want %q", name, units[name], unit)
		delete(units, name)
	}
	testutil.Expect(t, len(units) == 0, "more units: %v", units)
}
