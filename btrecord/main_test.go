package btrecord

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that CI repeats the same
// runs. A -rapid.seed flag on the command line takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
