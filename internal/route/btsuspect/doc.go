// Package btsuspect contains requests that crash the upstreams that run them.
//
// A request has one or more keys: fingerprints of what it may share with later requests.
// When an upstream crashes, the keys of the requests that it may have begun to run become
// suspects. A key that has caused no crash is cleared as soon as some request with it
// has run. A suspect that several crashes have in common and that no request has cleared
// is quarantined: requests with it are rejected at every daemon.
//
// An execution clears the crashes known when it is reported, and those reported within
// the next executedWindow. A crash counts only after settleTime, so that clearings of
// other daemons can arrive first. When many upstreams crash at once,
// what their requests have in common is cleared by its recent executions.
//
// A quarantine is not final: after trialAfter, one elected daemon runs a single request.
// Each crash in a trial makes the time to the next one four times as long.
//
// # Several daemons
//
// Records of suspects are sets of crashes and of cleared crashes, merged by union.
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
//	t.ReportCrash(btsuspect.CrashOf(upstream), keys)
//	t.ReportExecuted(keys)
package btsuspect
