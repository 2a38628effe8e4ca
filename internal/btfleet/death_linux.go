package btfleet

import (
	"os/exec"
	"syscall"
)

// dieWithParent has the kernel kill the process when its parent ends. The
// process gets a group of its own, so that an interrupt at the terminal goes
// to the harness only, which then stops the fleet in order.
func dieWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
