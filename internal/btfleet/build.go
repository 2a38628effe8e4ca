package btfleet

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// The programs of a fleet.
const (
	programDaemon  = "bramleytackd"
	programStandin = "bramleytack-standin"
)

// Build compiles the programs of a fleet into a directory and returns it. The
// working directory must be inside the module.
func Build(ctx context.Context, dir string) (string, error) {
	for _, name := range []string{programDaemon, programStandin} {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(dir, name), "bramleytack/cmd/"+name)
		if out, err := cmd.CombinedOutput(); err != nil {
			return "", errors.Wrapf(err, "btfleet: build %s: %s", name, out)
		}
	}
	return dir, nil
}
