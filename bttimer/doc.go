// Package bttimer is the timer service that all parts of a process share.
//
// One goroutine holds all pending alarms in a heap and waits on a single
// runtime timer. Periods can be shortened by a random jitter, so that hosts
// that started together do not act at the same times. The random source is seeded by
// the caller: tests use a fixed seed, and with testing/synctest the service
// runs on fake time.
//
// # Usage
//
//	timers := bttimer.New(seed)
//	defer timers.Close()
//
//	tick := timers.Every(3*time.Second, 300*time.Millisecond)
//	defer tick.Stop()
//	for {
//		select {
//		case now := <-tick.C():
//			renew(now)
//		case <-ctx.Done():
//			return
//		}
//	}
package bttimer
