package btentry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/node/btmemory"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btgrant"
	"bramleytack/internal/route/btsuspect"
	"bramleytack/internal/serve/btstream"
	"bramleytack/internal/upstream/btconn"

	"golang.org/x/sync/semaphore"
)

const (
	// readAheadItems and readAheadBytes bound what a segment reads ahead of its relay. One
	// larger event is read, too.
	readAheadItems = 32
	readAheadBytes = 32 << 10
)

// settleTime bounds the wait for a closed segment to say whether its request was sent. It
// only closes a connection.
const settleTime = 50 * time.Millisecond

// item is sent from a segment to its relay: the response header, an event, or the
// end of the segment.
type item struct {
	head  *attemptResult
	event btstream.Event
	// at is when the event arrived.
	at time.Time
	// ended is set on the last item, which also has a head if the upstream did not
	// open a stream. Without a head, err is nil if the stream is complete.
	ended bool
	err   error
}

// segment is the part of a stream that one engine produces.
type segment struct {
	req       *activeRequest
	upstream  *bramleytack.Upstream
	request   *btconn.Request
	lease     *btaccount.Lease
	copyLease *btaccount.CopyLease
	// backup is the engine that keeps a copy of the generation's memory, or nil.
	backup *bramleytack.Upstream
	// watched is the run with which the segment speaks for its request's keys from its first event
	// on, or nil.
	watched *btsuspect.Run
	// version is what the segment shows of the upstream's version, or nil.
	version *versionCheck
	origin  origin
	// after is the number of events that the caller had got when the segment began.
	after int
	// head is the first response header of the run, or nil.
	head *attemptResult
	need btaccount.Need
	// terms are those on which the segment asks for permission of a limited upstream.
	terms btgrant.Terms
	items chan item
	// room has the part of readAheadBytes that is free.
	room   *semaphore.Weighted
	cancel context.CancelFunc
	// kept counts the head of the response and the event that is being read.
	kept *btmemory.Account
	// result is how the request ended if no stream was opened. It may be read once ended is
	// closed.
	result *attemptResult
	ended  chan struct{}
	// arrived is set once nothing more arrives of the stream. Whether it is whole may still be looked at.
	arrived atomic.Bool
	// window is the time that the upstream was given. It may be read once the segment has
	// sent an item.
	window window
	// started is when the segment began to send its request. lastEventAt equals it
	// until the first event.
	started      time.Time
	firstEventAt time.Time
	lastEventAt  time.Time
	eventCount   int
	// copyName names the copy that the segment continues from, if it does.
	copyName string
	// retries counts how often a rejected handover to this copy was repeated.
	retries int
	// enterUntil is the time until which a handover may enter an engine that has begun to leave
	// since it was chosen.
	enterUntil time.Time
	// beside is set if the engine had prompts to read at the last event.
	beside bool
	// unstoppable is set if the engine did not obey an order to stop, and successor is then what
	// was to go on from its copy.
	unstoppable bool
	successor   *successor
}

// origin is the state that a segment continues from.
type origin uint8

const (
	// fromStart segments continue nothing.
	fromStart origin = iota
	// fromCopy segments continue from a copy of the generation's memory.
	fromCopy
	// fromEvent segments run the request again and continue after the last event
	// that the caller got.
	fromEvent
)

var originNames = [...]string{"start", "copy", "event"}

// String returns the origin's name.
func (o origin) String() string { return originNames[o] }

// newSegment returns a segment at u that has not been started. copyName is empty
// unless the segment continues from a copy.
func (s *relay) newSegment(u *bramleytack.Upstream, from origin, copyName string) *segment {
	req, d := s.req, s.req.h.Dialect
	seg := &segment{req: req, upstream: u, origin: from, after: s.delivered, need: s.remainingNeed(), copyName: copyName, request: req.upstreamRequest(u, nil)}
	seg.need.Copied = from == fromCopy
	if from != fromStart && (s.headSent || s.lastEventID > 0) {
		seg.request.Header.Set(d.LastEvent, strconv.FormatUint(s.lastEventID, 10))
	}
	if copyName != "" {
		seg.request.Header.Set(d.From, copyName)
		seg.head = s.cur.head
	}
	profile := req.snapshot.Engine(req.service)
	if profile != nil && profile.Backups && req.need.MaxOutput >= minBackupOutput {
		seg.backup = req.h.Accounts.PickBackup(req.snapshot, u, seg.need)
		if s.cur.running() && s.cur.backup != nil && seg.backup != nil && s.cur.backup.ID == seg.backup.ID {
			// Copies of two runs of a request have the same name at an engine.
			seg.backup = nil
		}
		if seg.backup != nil {
			seg.request.Header.Set(d.Backup, seg.backup.Addr.String())
		}
	}
	return seg
}

func (seg *segment) backupName() string {
	if seg.backup == nil {
		return ""
	}
	return string(seg.backup.ID)
}

// remainingNeed returns what the rest of the generation needs of an engine.
func (s *relay) remainingNeed() btaccount.Need {
	n := s.req.need
	n.Generated = s.tokensSent()
	return n
}

// tokensSent returns the number of tokens that the caller has got, by the id of the
// last event.
func (s *relay) tokensSent() int {
	if p := s.req.snapshot.Engine(s.req.service); p != nil {
		return int(s.lastEventID) * p.TokensPerEvent
	}
	return 0
}

// start sends the segment's request in a new goroutine and enters the segment in
// the upstreams' accounts. Its items arrive in stream order.
func (seg *segment) start(ctx context.Context) {
	ctx, seg.cancel = context.WithCancel(ctx)
	now := seg.req.h.Timer.Now()
	seg.started, seg.lastEventAt = now, now
	seg.items, seg.ended = make(chan item, readAheadItems), make(chan struct{})
	seg.room = semaphore.NewWeighted(readAheadBytes)
	connCtx, drop := context.WithCancel(ctx)
	seg.kept = seg.req.h.Memory.Open(btmemory.Upstream(seg.upstream.ID), drop)
	seg.request.Kept = seg.kept
	seg.version = seg.req.checkVersion(seg.upstream)
	seg.lease = seg.req.h.Accounts.Begin(seg.upstream.ID, seg.need)
	if seg.backup != nil {
		seg.copyLease = seg.req.h.Accounts.BeginCopy(seg.backup.ID, seg.need)
	}
	go seg.run(ctx, connCtx)
}

// run sends the request and reads the response to its end. connCtx ends with ctx, or when
// the response finds no memory.
func (seg *segment) run(ctx, connCtx context.Context) {
	r := &attemptResult{upstream: seg.upstream, outcome: bramleytack.Unknown, enterUntil: seg.enterUntil, began: seg.started}
	seg.result = &attemptResult{upstream: seg.upstream, outcome: bramleytack.Unknown, err: errDaemonEnds}
	defer close(seg.ended)
	x, err := seg.req.open(connCtx, r, seg.request, seg.terms)
	if err != nil {
		seg.result = r.fail(err)
		seg.send(ctx, item{head: r, ended: true, err: err})
		return
	}
	defer x.Close()
	if x.StatusCode != http.StatusOK {
		seg.result = seg.req.readResult(ctx, r, x, seg.kept)
		seg.send(ctx, item{head: r, ended: true})
		return
	}
	r.status, r.header, r.outcome = x.StatusCode, x.Header, bramleytack.Ran
	seg.window = r.window
	if !seg.send(ctx, item{head: r}) {
		return
	}
	events := btstream.NewReader(x.Body, seg.kept)
	c := noContent
	if seg.after > 0 {
		c = noFurtherContent
	}
	for {
		e, err := events.Next()
		if err == nil && !seg.kept.MoveTo(seg.req.unread, e.Size()) || err != nil && seg.kept.Ended() {
			err = btmemory.ErrFull
		}
		if err != nil {
			seg.arrived.Store(true)
			seg.send(ctx, item{ended: true, err: seg.req.checkEnd(ctx, r, x, err, c)})
			return
		}
		if e.HasData {
			c = someContent
		}
		if seg.room.Acquire(ctx, roomOf(e)) != nil || !seg.send(ctx, item{event: e, at: seg.req.h.Timer.Now()}) {
			seg.req.unread.Release(e.Size())
			return
		}
	}
}

// handled makes the room of an event free that the relay has sent to the caller or dropped.
func (seg *segment) handled(e btstream.Event) {
	seg.room.Release(roomOf(e))
	seg.req.unread.Release(e.Size())
}

// roomOf returns the part of readAheadBytes that an event takes.
func roomOf(e btstream.Event) int64 { return int64(min(e.Size(), readAheadBytes)) }

// send passes an item to the relay. It reports false if the segment was closed.
func (seg *segment) send(ctx context.Context, i item) bool {
	select {
	case seg.items <- i:
		return true
	case <-ctx.Done():
		return false
	}
}

// settle returns what is known of the request of a closed segment: it did not run if it was
// not sent, or if the upstream says so.
func (seg *segment) settle() *attemptResult {
	timeout := seg.req.h.Timer.After(settleTime)
	defer timeout.Stop()
	select {
	case <-seg.ended:
		return seg.result
	case <-timeout.C():
		return &attemptResult{upstream: seg.upstream, outcome: bramleytack.Unknown, err: errDaemonEnds}
	}
}

// running reports whether the segment has begun and is not closed.
func (seg *segment) running() bool { return seg != nil && seg.cancel != nil }

// close ends the segment with an outcome for the upstream's health. It closes the
// connection, which most engines take as the end of the generation. Closing a nil or closed
// segment has no effect.
func (seg *segment) close(o btaccount.Outcome) {
	if seg == nil || seg.cancel == nil {
		return
	}
	seg.cancel()
	seg.cancel = nil
	seg.kept.Close()
	seg.lease.End(o)
	seg.endCopy(o)
	seg.watched.End()
	req := seg.req
	req.log(btevent.SegmentEnded).Str("upstream", string(seg.upstream.ID)).Stringer("origin", seg.origin).
		Stringer("health", o).Int("events", seg.eventCount).Dur("took", req.h.Timer.Now().Sub(seg.started)).Send()
}

// endCopy removes the backup copy from the load of its engine, which keeps it for a while unless
// the generation has ended successfully or goes on from it.
func (seg *segment) endCopy(o btaccount.Outcome) {
	if o == btaccount.Served || seg.backup == nil || seg.eventCount == 0 {
		seg.copyLease.End()
		return
	}
	seg.copyLease.Keep(seg.req.copyLife())
}
