// Package btdirectory tells callers which daemons to connect to.
//
// The answer names daemons that are alive, ready and staying. Its validity is
// short, since callers keep it, some longer than they should. A daemon that
// leaves is missing from the next answer.
//
// # Usage
//
//	d := &btdirectory.Handler{Peers: node.Alive, Entry: entryAddr, Domain: domain}
//	mux.Handle(path, d)
package btdirectory
