// Package btpeer carries calls between the daemons of a cell.
//
// A link is a TCP connection with mutual TLS 1.3 that carries yamux streams.
// Each daemon dials the peers that it calls; a link carries the calls of its
// dialer only. The certificate of each side names its host. The dialer checks
// that it reached the host that it meant to call; the listening side takes the
// caller's host from the certificate. A call uses one stream: the request is a
// frame with an Envelope, which holds the message type and the timeout, and a
// frame with the message. The reply has the same form.
//
// The dialer sends a heartbeat each second. If one is not answered within 3 s,
// the dialer closes the link and dials again. The listening side closes a link
// on which nothing arrives. Both sides thereby detect a connection that stopped
// delivering data without being closed.
//
// The error of a failed Call has the outcome bramleytack.NotRun only if no byte
// of the request was written or the peer's reply has that outcome.
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
