package btfleet

import (
	"os/exec"
	"runtime"
)

// launcher starts processes from one operating system thread. The signal at a
// parent's death follows the thread that started the process, so this thread
// has to last as long as the fleet.
type launcher struct {
	starts chan launch
	done   chan struct{}
}

// launch is a command to start.
type launch struct {
	cmd    *exec.Cmd
	result chan error
}

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
	s := launch{cmd: cmd, result: make(chan error, 1)}
	l.starts <- s
	return <-s.result
}

func (l *launcher) close() { close(l.done) }
