package btfleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Role says what a process of a fleet is.
type Role string

// The roles of processes.
const (
	RolePlatform Role = "platform"
	RoleEngine   Role = "engine"
	RoleService  Role = "service"
	RoleDaemon   Role = "daemon"
)

// Process is one process of a fleet. It can be started again after its end.
type Process struct {
	Name          string
	Role          Role
	FailureDomain bramleytack.FailureDomainID
	Addresses     Addresses

	program string
	args    []string
	log     string
	launch  *launcher

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// errNotRunning says that a process has ended or was not started.
var errNotRunning = errors.New("btfleet: process does not run")

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "btfleet: log")
	}
	defer log.Close()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = environment()
	dieWithParent(cmd)
	if err := p.launch.start(cmd); err != nil {
		return errors.Wrapf(err, "btfleet: start %s", p.Name)
	}
	p.cmd, p.done, p.err = cmd, make(chan struct{}), nil
	go p.wait(cmd, p.done)
	return nil
}

// environment is that of the harness without settings of daemons.
func environment() []string {
	var env []string
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "BRAMLEYTACK_") {
			env = append(env, v)
		}
	}
	return env
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(done)
}

// PID returns the process id of the last start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errNotRunning
	}
	return errors.Wrapf(p.cmd.Process.Signal(s), "btfleet: %s", p.Name)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended()
	return nil
}

// Terminate asks the process to end.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Freeze stops the process without its knowledge until Continue.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Continue ends a freeze.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// ended is closed at the end of the process.
func (p *Process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running says whether the process runs.
func (p *Process) Running() bool {
	done := p.ended()
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

// Await waits for the end of the process and returns its error.
func (p *Process) Await(ctx context.Context) error {
	done := p.ended()
	if done == nil {
		return errNotRunning
	}
	select {
	case <-done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "btfleet: %s has not ended", p.Name)
	}
}

// stop ends the process, by force after a time.
func (p *Process) stop(timer bramleytack.Timer, grace time.Duration) {
	if !p.Running() {
		return
	}
	_ = p.Terminate()
	limit := timer.After(grace)
	defer limit.Stop()
	select {
	case <-p.ended():
	case <-limit.C():
		_ = p.Kill()
	}
}

// maxTail bounds the log that an error shows.
const maxTail = 2048

// Tail returns the end of the process's log.
func (p *Process) Tail() string {
	f, err := os.Open(filepath.Clean(p.log))
	if err != nil {
		return ""
	}
	defer f.Close()
	if end, err := f.Seek(0, io.SeekEnd); err == nil {
		_, _ = f.Seek(max(end-maxTail, 0), io.SeekStart)
	}
	var b bytes.Buffer
	_, _ = bufio.NewReader(f).WriteTo(&b)
	return b.String()
}
