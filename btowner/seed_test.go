package btowner

import "flag"

// A fixed seed makes each run check the same cases. -rapid.seed overrides it.
// Wrong counts show up only after long sequences of events.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "100")
}
