package schedulerd

import (
	"os"
	"strings"

	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"

	"golang.org/x/sys/unix"
)

// bootIDFile holds an ID of the running system.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// nanosecondsPerTime is the length of one unit of scheduler.Time.
const nanosecondsPerTime = 100_000

// readClocks adds the uptime and the boot of the system to a reading of the clock. Either stays empty if the system
// does not provide it.
func readClocks(clock scheduler.Time) warmstart.Timestamp {
	now := warmstart.Timestamp{Clock: clock}
	var uptime unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime) == nil {
		now.Uptime = scheduler.Time(uptime.Nano() / nanosecondsPerTime)
	}
	if id, err := os.ReadFile(bootIDFile); err == nil {
		now.BootID = strings.TrimSpace(string(id))
	}
	return now
}
