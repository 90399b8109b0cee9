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
	startTimeout  = 10 * time.Second // until a scheduler's listener accepts
	stopTimeout   = 5 * time.Second  // from a signal to SIGKILL
	statusTimeout = 5 * time.Second
)

// Scheduler is a scheduler's process and its files.
type Scheduler struct {
	Name    string
	Zone    int
	Address string // of its own listener; clients of a cluster go through a proxy
	File    string // its settings
	command []string
	log     *os.File
	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
}

// NewScheduler chooses a port for a scheduler and opens its log; the settings file is the caller's to write.
func NewScheduler(name, file, logFile string, command []string) (*Scheduler, error) {
	address, err := freePort()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	return &Scheduler{Name: name, Address: address, File: file, command: command, log: log}, nil
}

// Start starts the process and waits until its listener accepts.
func (p *Scheduler) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		return nil
	}
	if err := p.launch(); err != nil {
		return err
	}
	return p.waitListening()
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

func (p *Scheduler) waitListening() error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(5 * time.Millisecond) {
		if c, err := loopback.Dial(p.Address, DialTimeout); err == nil {
			return c.Close()
		}
		select {
		case <-p.exited:
			return fmt.Errorf("scheduler %s exited at once; its log is %s", p.Name, p.log.Name())
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("scheduler %s does not listen", p.Name)
		}
	}
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

// freePort returns a port of the system's choice. It is closed again before the process opens it, which leaves a
// moment for another program to take it: the start then fails with an error.
func freePort() (string, error) {
	l, err := loopback.Listen(loopback.AnyPort)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
