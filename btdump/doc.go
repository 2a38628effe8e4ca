// Package btdump serves the internal state of a process as JSON.
//
// Parts register a function that returns a typed snapshot of their state. The
// handler responds with all of them as one JSON object, or only with the one that
// the query parameter "part" names.
//
// # Usage
//
//	var dumps btdump.Registry
//	dumps.Add("view", func() any { return member.Dump() })
//	mux.Handle("GET /debug/state", &dumps)
package btdump
