package process

import (
	"net"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/testbed/loopback"
	"glenport/internal/testutil"
)

// Another program listens at the address of the scheduler: a connection to it must not count as a started scheduler.
func TestStartFailsIfAnotherProgramListens(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	scheduler, err := NewScheduler("scheduler-0", "none.yaml", log, []string{"/bin/false"})
	testutil.NoError(t, err)
	defer scheduler.port.Release()
	other, err := loopback.Listen(scheduler.Address)
	testutil.NoError(t, err)
	defer loopback.CloseQuietly(other)
	go loopback.AcceptAll(other, func(conn net.Conn) { loopback.CloseQuietly(conn) })
	if err := scheduler.Start(); err == nil || !strings.Contains(err.Error(), "exited during startup") {
		t.Errorf("start returned %v", err)
	}
}
