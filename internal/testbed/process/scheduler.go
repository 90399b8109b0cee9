// Package process starts schedulers and controllers as processes, writes their settings, and talks to them by their
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
	startTimeout  = 10 * time.Second // until a scheduler answers
	pollInterval  = 5 * time.Millisecond
	helloTimeout  = time.Second     // for the hello of a scheduler that was just started
	stopTimeout   = 5 * time.Second // from a signal to SIGKILL
	statusTimeout = 5 * time.Second
)

// clientName is the name by which the test bed introduces itself to schedulers.
const clientName = "testbed"

// Scheduler is a scheduler's process and its files.
type Scheduler struct {
	Name    string
	Zone    int
	Address string // of its own listener; clients of a cluster go through a proxy
	File    string // its settings
	command []string
	log     *os.File
	port    *loopback.Reservation
	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
}

// NewScheduler chooses a port for a scheduler and opens its log; the settings file is the caller's to write.
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

// Start starts the process and waits until it answers at its address.
func (p *Scheduler) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		return nil
	}
	launched := time.Now()
	if err := p.launch(); err != nil {
		return err
	}
	return p.waitListening(launched)
}

// launch starts the process from a thread that outlives it: the process is to die with the test bed, and the kernel
// takes the end of the thread that started it for the end of its parent.
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
		_ = command.Wait() // a process that was killed has no clean exit
		close(exited)
	}()
	return <-started
}

// waitListening waits until the process itself answers: a connection alone does not show that, as another program may
// listen at the address.
func (p *Scheduler) waitListening(launched time.Time) error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		if p.answersSince(launched) {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("scheduler %s ended at once; its log is %s", p.Name, p.log.Name())
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("scheduler %s does not answer at %s; its log is %s", p.Name, p.Address, p.log.Name())
		}
	}
}

// answersSince reports whether the scheduler of this name answers whose incarnation began after a moment.
func (p *Scheduler) answersSince(launched time.Time) bool {
	c, err := DialProtocol(p.Address, helloTimeout, protocol.NewHello(protocol.RoleScheduler, clientName, 1))
	if err != nil {
		return false
	}
	defer loopback.CloseQuietly(c)
	hello, err := ReadUntil[*protocol.Hello](c)
	return err == nil && hello.Name == p.Name && hello.Incarnation >= uint64(launched.UnixMicro())
}

// Stop ends the process by a signal and waits for its exit; it is killed if that takes longer than stopTimeout.
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

// Close stops the process and closes its log.
func (p *Scheduler) Close(signal syscall.Signal) {
	p.Stop(signal)
	if p.log != nil {
		_ = p.log.Close() // written by the process, not through this descriptor
	}
	p.port.Release()
}

// Running reports whether the process was started and not stopped since.
func (p *Scheduler) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process != nil
}

// Status returns the scheduler's stats by name. Times in it are in the unit that the name says.
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
