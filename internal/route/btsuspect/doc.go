// Package btsuspect contains requests that crash the upstreams that run them.
//
// A request has one or more keys: fingerprints of what it may share with later requests. The first
// is that of the whole request, the others are those of parts of its prompt. When an upstream
// crashes, the keys of the requests that it may have begun to run become suspects.
//
// # Evidence
//
// A key is quarantined by three crashes that nothing clears. Those of one moment count once: upstreams
// that end together have a cause of their own.
//
// The crashes of a whole request are cleared by one with its key that ends well. Those of a part have to
// be told from crashes of upstreams that end by themselves, which come anywhere and under any request. A
// crash has a place: the number of events that the request had got from the upstream. A request with the
// part that gets further clears the crash, whatever becomes of it; a fatal part lets none get further.
// Crashes of a part count if
//
//   - they came at about the furthest place of all its crashes, which is true of more than two thirds of
//     those that came after an event,
//   - requests without the part have got further meanwhile,
//   - few crashes came without the part: where there were events, two of them take one more crash with it.
//
// Parts are not suspected for crashes after partEvents, which are long after an upstream has begun to
// write.
//
// A clearing counts for the crashes known when it is reported, and those reported within the next
// executedWindow if the request has ended well. A crash counts only after settleTime, so that
// clearings of other daemons can arrive first. Requests with a quarantined key are rejected at every
// daemon.
//
// A quarantine is not final: after trialAfter, one elected daemon runs a single request, which clears
// the key once it has got clearly further than the crashes. Each crash in a trial makes the time to the
// next one four times as long.
//
// # Several daemons
//
// Records of suspects are sets of crashes and of clearings, merged by union.
// They may arrive late, repeatedly or in any order. After a lost record a daemon
// counts fewer crashes until it receives one of the records that are sent periodically.
//
// # Restarts
//
// A daemon that starts gets the records from the others. If all restart together, the
// Archive gives quarantined keys back from the store, where one daemon keeps them. A
// restart within archivePeriod of the last crash loses that crash.
//
// # Usage
//
//	t := btsuspect.New(&btsuspect.Table{Timer: timers, Log: log, Share: send, Elected: elected})
//	go t.Run(ctx)
//	if key, yes := t.Quarantined(requestID, keys); yes { reject(key) }
//	r := t.Begin(requestID, keys)     // at the first event
//	r.Advance(events)                 // at each event
//	r.Complete()                      // or r.End() if the run ends otherwise
//	t.ReportCrash(btsuspect.CrashOf(upstream), events, keys...)
//	t.ReportExecuted(0, keys...)      // an answer without events
package btsuspect
