package btfleet

import (
	"os/exec"
	"runtime"
	"sync"

	"github.com/cockroachdb/errors"
)

// launcher starts processes from one operating system thread. The signal at a
// parent's death follows the thread that started the process, so this thread
// has to last as long as the fleet.
type launcher struct {
	starts chan launch
	done   chan struct{}

	mu     sync.Mutex
	closed bool
}

// launch is a command to start.
type launch struct {
	cmd    *exec.Cmd
	result chan error
}

// errStopped says that the fleet starts no more processes.
var errStopped = errors.New("btfleet: fleet has stopped")

func newLauncher() *launcher {
	l := &launcher{starts: make(chan launch), done: make(chan struct{})}
	go l.run()
	return l
}

func (l *launcher) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case s := <-l.starts:
			s.result <- s.cmd.Start()
		case <-l.done:
			return
		}
	}
}

func (l *launcher) start(cmd *exec.Cmd) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errStopped
	}
	s := launch{cmd: cmd, result: make(chan error, 1)}
	l.starts <- s
	return <-s.result
}

// refuse ends the starts, so that none can follow the end of a fleet.
func (l *launcher) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// close ends the thread. All processes must have ended.
func (l *launcher) close() { close(l.done) }
