// Package cluster starts clusters on loopback: emulated machines, list and clients, real scheduler processes, and the
// proxies between them that record what passes and inject faults.
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

// Cluster is a running cluster: emulated machines, list and clients, real schedulers, and proxies between them that
// record and inject faults.
type Cluster struct {
	Dir        string
	Machines   []*emulator.Machine
	List       *emulator.MachineList
	Net        *faultproxy.Proxy
	Clients    *emulator.Clients
	Schedulers []*process.Scheduler
	Config     *config.Scheduler // the template that the schedulers' settings derive from
	ListAddr   string            // the list's own, without a proxy
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
				"%d of %d schedulers know their %d machines after 20 s",
				ready,
				len(c.Schedulers),
				len(c.Machines),
			)
		}
	}
}

// WaitForReplies waits until no client waits for a reply, for a time at most.
func (c *Cluster) WaitForReplies(atMost time.Duration) {
	for end := time.Now().Add(atMost); c.Clients.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
}

// FreezeAll stops all machines from answering.
func (c *Cluster) FreezeAll() {
	for _, m := range c.Machines {
		m.Freeze()
	}
}

// UnfreezeAll lets all machines answer again.
func (c *Cluster) UnfreezeAll() {
	for _, m := range c.Machines {
		m.Thaw()
	}
}

// CloseAndAudit closes the cluster and audits its recording.
func (c *Cluster) CloseAndAudit() (*audit.Report, error) {
	path := c.recordingPath()
	if err := c.Close(); err != nil {
		return nil, fmt.Errorf("the record is not whole: %w", err)
	}
	return audit.CheckRecording(path)
}

// Close ends all that was started and finishes the recording. It may be called again.
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

// Shutdown closes the cluster after a failure, or once Close has been called and its error reported.
func (c *Cluster) Shutdown() { _ = c.Close() }
