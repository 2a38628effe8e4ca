// Package btidentity implements the filter that authenticates callers.
//
// The filter finds the workspace by the SHA-256 hash of the API key; records
// never hold keys. It limits a request's priority to that of its workspace, gives
// a request without a deadline the default one and shortens a deadline that is
// over the limit.
//
// # Usage
//
//	filter := &btidentity.Filter{Snapshots: config, Timer: timers}
package btidentity
