// Package btstore is the client of the platform's object API over HTTP.
//
// Each call has a deadline. Reads are repeated within a small budget, so that
// an outage does not multiply the load on the platform. A connection whose call
// was abandoned is closed and never used again, so that a late response cannot
// be taken for the response to another call; this needs HTTP/1.1, which the
// client enforces.
//
// # Lost responses
//
// A write whose response is lost may or may not have taken effect. The client
// reads the object back and compares its change id. If the object still has
// the expected version, the client sends the same conditional write again,
// which cannot take effect twice. It does not repeat a create: the object could
// have been created and deleted in between. If another write came after the
// expected version, the client looks for its change id among the events since
// then. It returns bramleytack.ErrStoreUnknown if the effect is still unknown.
//
// # Watches
//
// The platform sends a heartbeat line each second. A watch without any line
// for SilenceLimit returns bramleytack.ErrWatchSilent, since an open connection
// can become permanently silent.
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
