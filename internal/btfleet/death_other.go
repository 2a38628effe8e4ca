//go:build !linux

package btfleet

import "os/exec"

// dieWithParent does nothing where the kernel has no signal at a parent's
// death.
func dieWithParent(*exec.Cmd) {}
