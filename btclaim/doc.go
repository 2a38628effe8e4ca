// Package btclaim makes calls with an idempotency key run at most once.
//
// Before such a call is dispatched, a claim is written to the platform's store;
// afterwards the claim gets the call's outcome. A claim is keyed by workspace,
// service and idempotency key, and is stored in one of a fixed number of
// shards. The owner of a shard commits the begins and finishes of many calls
// with one conditional update.
//
// # States
//
// The state of a claim is one of
//   - claimed: a call has the key. The claim names its entry daemon, request,
//     attempt and time.
//   - notRun: the call did not run, and the key may be claimed again.
//   - done: the call ran. The claim holds the status and the digest of the
//     response, and the response itself if it has at most MaxKeptResponseBytes.
//
// A call whose claim stays without an outcome is never dispatched again.
//
// # Objects of a shard
//
// A shard is a log of records; the last record of a key is the state of its
// claim. The head, the object `<cell>.<shard>.head`, lists the shard's segments
// and holds the newest records. When it would exceed SegmentBytes, its records
// move to a new segment `<cell>.<shard>.<version>`, where version is that of
// the head that held them.
//
// Every begin and every finish is a conditional update of the head, which is
// never deleted. Two daemons that both assume to own the shard therefore
// compete for the same version of one object, and the one whose update fails
// reads the other's records before it decides again.
//
// Creating a segment claims no key. Its name and content depend only on the
// head's version, so racing owners create the same object. A segment never
// changes, and its records are valid only once a head lists it. If the head is
// updated without listing the segment, no later head can list it, and its
// creator deletes it.
//
// Numbered segments, each sealed before the next one is created, would not be
// safe: an outdated owner could create a segment again under a number that was
// deleted after its retention, and claim a key there a second time.
//
// # Unknown effects
//
// After bramleytack.ErrStoreUnknown the head is read back. If its version is
// newer, the change ids of the records show whether the write took effect. If
// it is not, the write may still arrive at the store, so the same write is sent
// again with the same expected version: at most one of the two can take effect.
// If the effect stays undetermined, the call is not dispatched; a later commit
// that finds such a claim marks it as notRun.
//
// # Usage
//
//	shard := &btclaim.Shard{Store: store, Timer: timers, Cell: "c1", Number: 3}
//	go shard.Run(ctx)
//	claims := &btclaim.Router{Count: 64, Owner: ownerOfShard}
//	filter := &btclaim.Filter{Snapshots: snapshots, Claims: claims, Entry: host}
//	path := bramleytack.Chain(dispatch, identify, filter, admit, route)
package btclaim
