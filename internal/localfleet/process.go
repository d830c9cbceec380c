// Package localfleet runs a small fleet on loopback: a fake platform, fake
// targets and entry hosts, each as a process of its own. The demonstration,
// the capacity measurements and the tests that kill, pause or partition whole
// processes use it.
package localfleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrProcess means that a process could not be started, signalled or stopped.
var ErrProcess = errors.New("localfleet: process")

// Process is a program that can be started repeatedly. Its output is appended to a log file.
type Process struct {
	Name string
	// LogPath is the file with the output of all runs.
	LogPath string

	binary string
	args   []string

	// mu guards cmd, done and err, which belong to the last run. done is closed when it has ended, with its error
	// in err.
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func newProcess(dir, binary, name string, args ...string) *Process {
	return &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), binary: binary, args: args}
}

// Start starts a run of the program and does not wait for it to be ready.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(ErrProcess, err.Error())
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(errors.Wrap(ErrProcess, err.Error()), out.Close())
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = errors.Join(err, out.Close())
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process of the last run.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.Wrapf(ErrProcess, "%s was never started", p.Name)
	}
	return p.cmd.Process.Signal(sig)
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits until it has ended. It does nothing if the process does not run.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return errors.Wrap(ErrProcess, err.Error())
	}
	<-p.done
	return nil
}

// Stop ends the process with SIGTERM, waits until it has ended and returns the error of its run. After the timeout the
// process is killed, which is an error.
func (p *Process) Stop(timeout time.Duration) error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(ErrProcess, err.Error())
	}
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(timeout):
		return errors.Join(errors.Wrapf(ErrProcess, "%s did not stop within %s", p.Name, timeout), p.Kill())
	}
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// PID returns the process id of the last run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}
