package btramp

import "flag"

// A fixed seed makes each run check the same cases. -rapid.seed overrides it.
// Levels above the base need long sequences of events.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "200")
}
