package schedulerd

import (
	"os"
	"strings"

	"glenport/internal/schedulerd/warmstart"
	"glenport/scheduler"

	"golang.org/x/sys/unix"
)

// bootIDFile contains a random ID that changes with each boot of the system.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// nanosecondsPerTime is the length of one unit of scheduler.Time.
const nanosecondsPerTime = 100_000

// readClocks returns a timestamp of the clock reading, the uptime and the boot ID of the system. Uptime and boot ID are
// left empty if the system does not provide them.
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
