// Package btclaim makes calls with an idempotency key run at most once.
//
// A call that must not be repeated is claimed in the platform's store before
// it is dispatched, and its outcome is recorded afterwards. A claim is keyed by
// workspace, service and idempotency key, and lies in one of a fixed number of
// shards. The owner of a shard commits the begins and finishes of many calls
// with one conditional update.
//
// # States
//
// A claim is claimed (entry, request, attempt and time are known), notRun (it
// may be claimed again) or done (status, digest and, up to MaxAnswerBytes, the
// answer). A claim without outcome is never run again.
//
// # Objects of a shard
//
// A shard is a log of records; the last record of a key is its state. The
// object `<cell>.<shard>.head` lists the shard's segments and holds the newest
// records. When it grows past SegmentBytes, its records move to a new segment
// `<cell>.<shard>.<version>`, named by the head's version that held them.
//
// Every begin and every finish is a conditional update of the head, which is
// never deleted. Two daemons that both believe they own the shard therefore
// compete for one version of one object, and the loser reads the winner's
// records before it decides again. Creating a segment decides nothing: its name
// and content follow from the head's version, so racing owners create the same
// object, it never changes, and it counts only once a head lists it. A segment
// that no head lists can no longer be listed once the head has moved on, and
// its creator deletes it.
//
// The alternative was to commit into numbered segments and to seal a segment
// before the next is created. A stale owner could then recreate a number whose
// segment was deleted after its retention, and claim a key there a second time.
//
// # Unknown effects
//
// After bramleytack.ErrStoreUnknown the head is read back. If it has moved on,
// the records show by their change id whether the write took effect. If it has
// not moved on, the write may still be on its way, so the same write is sent
// again under the same version: at most one of the two can take effect. If the
// effect stays undetermined, the call is not dispatched; a later commit that
// finds such a claim marks it as notRun.
//
// # Usage
//
//	shard := &btclaim.Shard{Store: store, Timer: timers, Cell: "c1", Number: 3}
//	go shard.Run(ctx)
//	claims := &btclaim.Router{Count: 64, Owner: ownerOfShard}
//	filter := &btclaim.Filter{Snapshots: snapshots, Claims: claims, Entry: host}
//	path := bramleytack.Chain(dispatch, identify, filter, admit, route)
package btclaim
