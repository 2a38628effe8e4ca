package btentry

import (
	"context"
	"math/rand/v2"
	"time"

	"bramleytack"
)

const (
	// A generation is sent to an engine if the forecast use of the engine's
	// memory, as a share of the whole, is within a limit. The limit rises from
	// initialMemoryLimit to finalMemoryLimit while the generation waits, so that
	// the longest waiting one goes first without a queue shared by all daemons.
	initialMemoryLimit = 0.90
	finalMemoryLimit   = 1.0
	// shortMemoryLimit is the limit for generations too short for a backup copy.
	// They use memory for less than a second and need not wait behind long ones.
	shortMemoryLimit = 1.05
	// maxWaitShare is the share of the target latency that a generation may wait
	// for free memory. The rest is for reading its prompt.
	maxWaitShare = 0.5
	// memoryPollInterval is the mean time between two checks for free memory.
	memoryPollInterval = 60 * time.Millisecond
)

// awaitEngine returns an engine for a generation, or nil if there is none. While
// all engines are full, the generation waits in the daemon: in the queue of one
// engine it could not use memory that becomes free elsewhere, and would delay the
// shorter generations behind it. If none has free memory in time, it goes to a
// full engine.
func (req *activeRequest) awaitEngine(ctx context.Context, tried map[bramleytack.UpstreamID]bool) *bramleytack.Upstream {
	if req.admittedByLoad(tried) {
		return req.admitEngine(ctx, tried)
	}
	started := req.h.Timer.Now()
	for {
		req.snapshot = req.h.Table.Snapshot()
		u, wait := req.pickOrWait(tried, req.h.Timer.Now().Sub(started))
		if !wait {
			return u
		}
		if req.h.Timer.Sleep(ctx, memoryPollInterval/2+rand.N(memoryPollInterval)) != nil {
			return nil
		}
	}
}

// pickOrWait returns an engine with free memory for a generation that has waited for some time,
// or any engine once it has waited for long. It reports whether the generation has to wait.
func (req *activeRequest) pickOrWait(tried map[bramleytack.UpstreamID]bool, waited time.Duration) (u *bramleytack.Upstream, wait bool) {
	maxWait := time.Duration(maxWaitShare * float64(req.route.TargetLatency))
	if waited >= maxWait {
		return req.pickUpstream(tried), false
	}
	u, expected, full := req.h.Accounts.PickWithMemoryLimit(req.snapshot, req.eligible(tried), req.need, req.memoryLimit(waited, maxWait))
	if u != nil || !full {
		req.expectedDelay = expected
		return u, false
	}
	return nil, true
}

// memoryLimit returns the limit on an engine's use of memory, this generation
// included, after the generation has waited.
func (req *activeRequest) memoryLimit(waited, maxWait time.Duration) float64 {
	if req.need.MaxOutput < minBackupOutput {
		return shortMemoryLimit
	}
	return initialMemoryLimit + (finalMemoryLimit-initialMemoryLimit)*waited.Seconds()/maxWait.Seconds()
}
