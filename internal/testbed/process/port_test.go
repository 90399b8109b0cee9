package process

import (
	"net"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/testbed/loopback"
	"glenport/internal/testutil"
)

func TestReservedPortIsNobodyElses(t *testing.T) {
	port, err := reservePort()
	testutil.NoError(t, err)
	_, number, _ := strings.Cut(port.address, ":")
	testutil.Expect(t, number >= "20000" && number <= "32767", "port %s may be taken by a connection", number)
	if again, err := tryToReserve(port.address); err == nil {
		again.release()
		t.Error("a port was reserved twice")
	}
	port.release()
	again, err := tryToReserve(port.address)
	testutil.Require(t, err == nil, "a port that was given up cannot be reserved: %v", err)
	again.release()
}

// Another program listens at the scheduler's address: its connection must not count as the scheduler's.
func TestStartFailsWhereAnotherProgramListens(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	scheduler, err := NewScheduler("scheduler-0", "none.yaml", log, []string{"/bin/false"})
	testutil.NoError(t, err)
	defer scheduler.port.release()
	other, err := loopback.Listen(scheduler.Address)
	testutil.NoError(t, err)
	defer loopback.CloseQuietly(other)
	go loopback.AcceptAll(other, func(conn net.Conn) { loopback.CloseQuietly(conn) })
	if err := scheduler.Start(); err == nil || !strings.Contains(err.Error(), "ended at once") {
		t.Errorf("got %v", err)
	}
}
