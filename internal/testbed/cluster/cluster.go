// Package cluster starts clusters on loopback: emulated machines, machine list and clients, real scheduler processes,
// and proxies between them that record frames and inject faults.
package cluster

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"glenport/internal/config"
	"glenport/internal/testbed/audit"
	"glenport/internal/testbed/emulator"
	"glenport/internal/testbed/faultproxy"
	"glenport/internal/testbed/process"
)

// readyTimeout bounds the time until all schedulers know all machines.
const readyTimeout = 20 * time.Second

// Cluster is a running cluster.
type Cluster struct {
	Dir        string
	Machines   []*emulator.Machine
	List       *emulator.MachineList
	Net        *faultproxy.Proxy
	Clients    *emulator.Clients
	Schedulers []*process.Scheduler
	Config     *config.Scheduler // template of the schedulers' settings
	ListAddr   string            // address of the machine list, not of its proxy
	recording  *faultproxy.Writer
}

func (c *Cluster) recordingPath() string { return filepath.Join(c.Dir, "record") }

// waitReady waits until every scheduler knows every machine.
func (c *Cluster) waitReady() error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, stats := range c.StatusByScheduler() {
			if int(stats["machines known"]) == len(c.Machines) && stats["list version"] > 0 {
				ready++
			}
		}
		if ready == len(c.Schedulers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf(
				"only %d of %d schedulers know all %d machines after 20 s",
				ready,
				len(c.Schedulers),
				len(c.Machines),
			)
		}
	}
}

// WaitForReplies waits until all submissions have a reply, but not longer than timeout.
func (c *Cluster) WaitForReplies(timeout time.Duration) {
	for end := time.Now().Add(timeout); c.Clients.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
}

// FreezeAll freezes all machines.
func (c *Cluster) FreezeAll() {
	for _, m := range c.Machines {
		m.Freeze()
	}
}

// UnfreezeAll thaws all machines.
func (c *Cluster) UnfreezeAll() {
	for _, m := range c.Machines {
		m.Thaw()
	}
}

// CloseAndAudit closes the cluster and audits its recording.
func (c *Cluster) CloseAndAudit() (*audit.Report, error) {
	path := c.recordingPath()
	if err := c.Close(); err != nil {
		return nil, fmt.Errorf("recording is incomplete: %w", err)
	}
	return audit.CheckRecording(path)
}

// Close stops all processes and emulated peers and ends the recording. It may be called repeatedly.
func (c *Cluster) Close() error {
	for _, p := range c.Schedulers {
		p.Close(syscall.SIGTERM)
	}
	if c.List != nil {
		c.List.Close()
	}
	if c.Net != nil {
		c.Net.Close()
	}
	for _, m := range c.Machines {
		m.Close()
	}
	c.List, c.Net, c.Machines, c.Schedulers = nil, nil, nil, nil
	if c.recording == nil {
		return nil
	}
	recording := c.recording
	c.recording = nil
	return recording.Close()
}

// Shutdown closes the cluster and ignores the error. It is for cleanup after a failure or after a call of Close.
func (c *Cluster) Shutdown() { _ = c.Close() }
