// Package process runs schedulers and controllers as processes, writes their settings files, and is a client of their
// protocol and API.
package process

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"glenport/internal/protocol"
	"glenport/internal/testbed/loopback"
)

const (
	startTimeout  = 10 * time.Second // limit of the wait until a scheduler answers
	pollInterval  = 5 * time.Millisecond
	helloTimeout  = time.Second     // limit of the wait for the hello of a started scheduler
	stopTimeout   = 5 * time.Second // time between a signal and SIGKILL
	statusTimeout = 5 * time.Second
)

// clientName is the name in the hello of the test bed.
const clientName = "testbed"

// Scheduler is a scheduler process with its files.
type Scheduler struct {
	Name    string
	Zone    int
	Address string // of the scheduler's listener; the clients of a cluster use a proxy
	File    string // settings file
	command []string
	log     *os.File
	port    *loopback.Reservation
	mu      sync.Mutex
	process *os.Process
	exited  chan struct{} // closed when the process has exited
}

// NewScheduler reserves a port for a scheduler and opens its log. The caller writes the settings file.
func NewScheduler(name, file, logFile string, command []string) (*Scheduler, error) {
	port, err := loopback.Reserve()
	if err != nil {
		return nil, fmt.Errorf("scheduler %s: %w", name, err)
	}
	log, err := os.Create(logFile)
	if err != nil {
		port.Release()
		return nil, err
	}
	return &Scheduler{Name: name, Address: port.Address, File: file, command: command, log: log, port: port}, nil
}

// Start starts the process, unless it is running, and waits until it answers at its address.
func (p *Scheduler) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		return nil
	}
	launchedAt := time.Now()
	if err := p.launch(); err != nil {
		return err
	}
	return p.waitListening(launchedAt)
}

// launch starts the process from an OS thread that outlives it. The process is killed when its parent dies (Pdeathsig),
// and the kernel regards the thread that started it as the parent.
func (p *Scheduler) launch() error {
	started := make(chan error, 1)
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		command := exec.CommandContext(context.Background(), p.command[0], append(p.command[1:], "-c", p.File)...)
		command.Stderr = p.log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			started <- err
			return
		}
		p.process = command.Process
		started <- nil
		_ = command.Wait() // returns an error if the process was killed
		close(exited)
	}()
	return <-started
}

// waitListening waits until the started process answers. An accepted connection is not enough, as another program may
// listen at the address.
func (p *Scheduler) waitListening(launchedAt time.Time) error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		if p.answersSince(launchedAt) {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("scheduler %s exited during startup; its log is %s", p.Name, p.log.Name())
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("scheduler %s does not answer at %s; its log is %s", p.Name, p.Address, p.log.Name())
		}
	}
}

// answersSince reports whether a scheduler with this name answers whose incarnation is not older than launchedAt.
func (p *Scheduler) answersSince(launchedAt time.Time) bool {
	c, err := DialProtocol(p.Address, helloTimeout, protocol.NewHello(protocol.RoleScheduler, clientName, 1))
	if err != nil {
		return false
	}
	defer loopback.CloseQuietly(c)
	hello, err := ReadUntil[*protocol.Hello](c)
	return err == nil && hello.Name == p.Name && hello.Incarnation >= uint64(launchedAt.UnixMicro())
}

// Stop sends a signal to the process and waits for its exit. It kills the process after stopTimeout.
func (p *Scheduler) Stop(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return
	}
	_ = p.process.Signal(signal) // fails only if the process has exited already
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.process.Kill()
		<-p.exited
	}
	p.process = nil
}

// Close stops the process, closes its log and releases its port.
func (p *Scheduler) Close(signal syscall.Signal) {
	p.Stop(signal)
	if p.log != nil {
		_ = p.log.Close() // nothing is written through this descriptor
	}
	p.port.Release()
}

// Running reports whether the process was started and not stopped since then.
func (p *Scheduler) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process != nil
}

// Status returns the stats of the scheduler by name, each in the unit that the scheduler reports for it.
func (p *Scheduler) Status() (map[string]float64, error) {
	c, err := DialProtocol(
		p.Address,
		statusTimeout,
		protocol.NewHello(protocol.RoleScheduler, "testbed", 1),
		&protocol.StatusRequest{},
	)
	if err != nil {
		return nil, err
	}
	defer loopback.CloseQuietly(c)
	reply, err := ReadUntil[*protocol.StatusReply](c)
	if err != nil {
		return nil, err
	}
	stats := map[string]float64{}
	for _, stat := range reply.Stats {
		stats[stat.Name] = stat.Value
	}
	return stats, nil
}
