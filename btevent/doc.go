// Package btevent is the catalogue of log events.
//
// Each event has a number that never changes its meaning, a level and a text.
// docs/EVENTS.md lists them for operators; a test compares both. Values that
// vary go into fields, not into the text.
//
// # Usage
//
//	log := btevent.New(os.Stderr, zerolog.InfoLevel, host)
//	log.Event(btevent.LeaseAcquired).Uint64("fence", uint64(fence)).Send()
package btevent
