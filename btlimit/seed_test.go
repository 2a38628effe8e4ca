package btlimit

import "flag"

// A fixed seed makes each run check the same cases. -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }
