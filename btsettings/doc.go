// Package btsettings reads and checks the settings of a daemon.
//
// Settings come from a YAML file, from environment variables with the prefix
// BRAMLEYTACK_ and from flags; a later source overrides an earlier one. One
// table lists the fields for the file, the environment and the flags.
//
// Load checks every field and reports all invalid ones together. A finding
// names its source, the field's path and, where known, the line and the allowed
// values. Rules that span several fields are checked once each field is valid.
//
// # Usage
//
//	settings, err := btsettings.Load(os.Args[1:], os.ReadFile)
//	var findings bramleytack.Findings
//	if errors.As(err, &findings) {
//		// Report each finding and exit.
//	}
package btsettings
