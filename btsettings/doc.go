// Package btsettings reads and checks the settings of a daemon.
//
// Settings come from a YAML file, from environment variables with the prefix
// BRAMLEYTACK_ and from flags; a later source beats an earlier one. The fields
// are listed in one table, which serves the file, the flags and the error
// messages. All faults are found in one pass and reported together, each with
// its file, line, field path and what is allowed.
//
// # Usage
//
//	settings, err := btsettings.Load(os.Args[1:], os.ReadFile)
//	var findings bramleytack.Findings
//	if errors.As(err, &findings) {
//		// Report each finding and start nothing.
//	}
package btsettings
