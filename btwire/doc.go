// Package btwire holds the protobuf messages that daemons exchange over peer
// links.
//
// Each exchange uses one stream. The first frame is an Envelope, which names
// the type of the message that follows and its relative deadline. The reply is
// an Envelope as well, with an Error or followed by the reply message.
//
// Points in time travel as durations relative to the sending of the message,
// since the clocks of two hosts need not agree. Codes and outcomes travel as
// the strings that package bramleytack defines, so that an unknown value keeps
// its name on its way through an older daemon.
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
