// Package btstatus tells responses from bytes that only look like one.
//
// HTTP/1.0 and HTTP/1.1 have final responses with the statuses 200 to 599, and interim ones
// with 100 to 199, of which 101 ends the protocol. net/http also reads status lines with other
// numbers, with signs, or of other versions, and passes them on. What follows such a line
// belongs to no request, so that its connection has to be dropped.
//
// # Usage
//
//	kind, err := btstatus.Parse(line)
//
// For a client of net/http:
//
//	client := &http.Client{Transport: btstatus.Transport{Transport: &http.Transport{}}}
package btstatus
