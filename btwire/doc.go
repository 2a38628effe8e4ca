// Package btwire holds the protobuf messages that daemons exchange over peer
// links.
//
// Each call uses one stream. The first frame is an Envelope, which holds the type
// of the message that follows and the timeout of the call. The reply is an
// Envelope as well, either with an Error or followed by the reply message.
//
// Points in time are encoded as durations, most of them relative to the sending
// of the message, since the clocks of two hosts need not agree. Codes and
// outcomes are encoded as the strings that package bramleytack defines, so that
// an older daemon that does not know a value can still pass it on.
//
// # Usage
//
// Messages are plain protobuf messages:
//
//	hb := &btwire.Heartbeat{Member: m, ViewNumber: 7}
//	data, err := proto.Marshal(hb)
//
// After a change of a .proto file run scripts/generate.
package btwire
