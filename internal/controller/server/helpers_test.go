package server

import (
	"log/slog"
	"testing"

	"glenport/internal/config"
	"glenport/internal/controller/watchcache"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

var discardLog = slog.New(slog.DiscardHandler)

// newCache returns a cache that encodes no changes, for tests without watchers.
func newCache() *watchcache.Cache {
	return watchcache.New(func(*watchcache.Object) []byte { return nil })
}

// openServer opens a server without state folder and connections. Its event loop does not run: the test calls the
// loop's functions itself.
func openServer(t *testing.T) *Server {
	t.Helper()
	s, err := New(Config{
		Name: "controller", Schedulers: []string{"127.0.0.1:1", "127.0.0.1:2"}, Seed: 1,
		SchedulerConfig: &config.Scheduler{
			WorkloadClasses: []string{"matcher"}, Tenants: []string{"offices"},
			MachineTypes: []string{"small", "large"},
			Policy:       scheduler.Config{WorkloadClasses: []scheduler.WorkloadClass{{}}},
		},
	}, newCache(), discardLog)
	testutil.NoError(t, err)
	t.Cleanup(s.closeLoop)
	return s
}

func validJob() Job {
	return Job{ID: "reports", Service: "report", WorkloadClass: "matcher", Cores: 1, MemoryGiB: 1, Count: 1}
}
