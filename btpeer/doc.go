// Package btpeer links the daemons of a cell.
//
// A link is a TCP connection with mutual TLS 1.3 that carries yamux streams.
// Each daemon dials the peers that it calls; a link carries the calls of its
// dialer only. The certificate of each side names its host, and both sides
// check the other's name. An exchange uses one stream: a frame with an
// Envelope, which names the message type and the relative deadline, a frame
// with the message, and the same for the reply.
//
// The dialer sends a heartbeat each second and closes a link that does not
// answer one for 3 s; it then dials again. The listening side closes a link on
// which no heartbeat arrives. A connection that became silent is thereby
// replaced by a new one.
//
// A failed Call carries bramleytack.NotRun only if no byte of the request was
// written, or if the peer says so.
//
// # Usage
//
//	mux := &btpeer.Mux{}
//	btpeer.Handle(mux, func(ctx context.Context, from bramleytack.HostID, r *btwire.Reserve) (*btwire.ReserveReply, error) {
//		return reserve(ctx, from, r)
//	})
//	node := &btpeer.Node{Host: "h1", Timer: timers, Mux: mux, Certificates: certs}
//	go node.Serve(ctx, listener)
//	node.SetPeer("h2", addr)
//	reply, err := btpeer.Call[btwire.Reserve, btwire.ReserveReply](ctx, node, "h2", request)
package btpeer
