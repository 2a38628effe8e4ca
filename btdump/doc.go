// Package btdump gives the state of a process on request.
//
// Parts register a function that returns a typed snapshot of their state. The
// handler answers with all of them as one JSON object, or with the one that
// the query parameter "part" names.
//
// # Usage
//
//	var dumps btdump.Registry
//	dumps.Add("view", func() any { return member.Dump() })
//	mux.Handle("GET /debug/state", &dumps)
package btdump
