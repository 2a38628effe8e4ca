// Package btstore is the client of the platform's object API over HTTP.
//
// Each call has a timeout. Failed reads are retried within a small budget, so
// that an outage does not multiply the load on the platform. When a call is
// abandoned, its connection is closed and never reused, so that a late response
// cannot be taken for the response to another call. This works only with
// HTTP/1.1, which the client enforces.
//
// # Lost responses
//
// A write whose response is lost may or may not have taken effect. The client
// reads the object back and compares its change id with that of the write. If
// the object still has the expected version, the client sends the same
// conditional write again, which cannot take effect twice. It does not resend a
// create: the object could have been created and deleted in between. If the
// object has a later version from another write, the client looks for its own
// change id in the events after the expected version. It returns
// bramleytack.ErrStoreUnknown if the effect is still unknown.
//
// # Watches
//
// The platform sends a heartbeat line each second. Next returns
// bramleytack.ErrWatchSilent if no line arrives for SilenceLimit, since a
// connection can stop delivering data without being closed.
//
// # Usage
//
//	store, err := btstore.New(btstore.Config{URL: "http://127.0.0.1:7000", Timer: timers})
//	if err != nil {
//		return err
//	}
//	defer store.Close()
//	v, err := store.Put(ctx, object, 0)
package btstore
