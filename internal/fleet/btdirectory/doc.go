// Package btdirectory tells callers which daemons to connect to.
//
// A response lists daemons that are alive, ready and not leaving. It is valid for a
// short time only, because callers cache it, some of them longer than it is valid.
//
// # Usage
//
//	mux.Handle(path, &btdirectory.Handler{Peers: node.Alive, Entry: entryAddr, Ready: ready, Encode: encode, Log: log})
package btdirectory
