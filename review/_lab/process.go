package main

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// process is one program of the project that a case has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has ended
	ended  sync.Once
}

// started holds all processes that the case has started.
var started struct {
	mu   sync.Mutex
	all  []*process
	over bool // no more are started
}

var errOver = errors.New("the case is over")

// endAll kills the processes that still run.
func endAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	started.over = true
	for _, p := range started.all {
		p.end(syscall.SIGKILL)
	}
}

// startProgram starts bin/glenport with arguments and further variables of the environment. Its log goes to a file.
func startProgram(dir, log string, env []string, args ...string) (*process, error) {
	file, err := os.OpenFile(filepath.Join(dir, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command("bin/glenport", args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = file, file
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.over {
		return nil, errOver
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	if err := p.launch(); err != nil {
		return nil, err
	}
	started.all = append(started.all, p)
	return p, nil
}

// launch starts the process from a thread that outlives it. The process is killed when the lab dies in any way: the
// kernel takes the thread that started it for its parent.
func (p *process) launch() error {
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	go func() {
		runtime.LockOSThread()
		err := p.cmd.Start()
		result <- err
		if err == nil {
			_ = p.cmd.Wait() // an error if it was killed
			close(p.exited)
		}
	}()
	return <-result
}

// end sends a signal to the process and waits until it has ended.
func (p *process) end(signal syscall.Signal) {
	if p != nil {
		p.ended.Do(func() { p.endOnce(signal) })
	}
}

func (p *process) endOnce(signal syscall.Signal) {
	_ = p.cmd.Process.Signal(signal)
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// freeAddr returns a free loopback address.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// waitFor polls a condition until it holds or the time is over.
func waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
