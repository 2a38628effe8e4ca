package btentry

import (
	"context"
	"math/rand/v2"
	"time"

	"bramleytack"
)

const (
	// The use of an engine's memory up to which a generation is sent to it. The
	// longer a generation has waited, the fuller the engine may be, so that the
	// oldest goes first without a queue that all daemons share.
	roomAtFirst = 0.90
	roomAtLast  = 1.0
	// shortRoom is the same for generations that take no copy for their shortness:
	// they hold memory for less than a second and go first.
	shortRoom = 1.05
	// roomWaitShare is the share of the target latency that a generation waits
	// for room. The rest is left for its prompt.
	roomWaitShare = 0.5
	// roomPause is the time between two looks for room.
	roomPause = 60 * time.Millisecond
)

// awaitRoom returns an engine for a generation, or nil if there is none. While
// all engines are full it waits here: a generation that waits in an engine's own
// queue waits for that engine, and delays the shorter ones behind it.
func (j *job) awaitRoom(ctx context.Context, tried map[bramleytack.UpstreamID]bool) *bramleytack.Upstream {
	started := j.h.Timer.Now()
	limit := time.Duration(roomWaitShare * float64(j.route.TargetLatency))
	for {
		waited := j.h.Timer.Now().Sub(started)
		if waited >= limit {
			return j.pick(tried)
		}
		j.s = j.h.Table.Snapshot()
		u, expected, full := j.h.Accounts.PickWithMemoryLimit(j.s, j.h.Accounts.Eligible(j.s, j.service, tried), j.need, j.room(waited, limit))
		if u != nil || !full {
			j.expected = expected
			return u
		}
		if j.h.Timer.Sleep(ctx, roomPause/2+rand.N(roomPause)) != nil {
			return nil
		}
	}
}

// room returns how full an engine may be for a generation that has waited.
func (j *job) room(waited, limit time.Duration) float64 {
	if j.need.MaxOutput < backupOutput {
		return shortRoom
	}
	return roomAtFirst + (roomAtLast-roomAtFirst)*waited.Seconds()/limit.Seconds()
}
