// Package btidentity is the filter that finds out who sends a request.
//
// The workspace is found by the SHA-256 hash of the API key; records never hold
// keys. A caller may ask for a priority up to that of its workspace. A request
// without a deadline gets the default one, and a deadline is cut to the
// longest that is allowed.
//
// # Usage
//
//	filter := &btidentity.Filter{Snapshots: config, Timer: timers}
package btidentity
