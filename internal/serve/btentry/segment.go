package btentry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/serve/btstream"
	"bramleytack/internal/upstream/btconn"
)

// pendingEvents is the number of events that a segment reads ahead.
const pendingEvents = 32

// item is what a segment hands over: a head, an event, or its end.
type item struct {
	head  *reply
	event btstream.Event
	// ended is set on the last item; err is nil if the stream is complete.
	ended bool
	err   error
}

// segment is the part of a stream that comes from one upstream.
type segment struct {
	job      *job
	upstream *bramleytack.Upstream
	request  *btconn.Request
	lease    *btaccount.Lease
	copies   *btaccount.CopyLease
	// backup is the engine that keeps a copy of the segment's memory.
	backup *bramleytack.Upstream
	// origin says what the segment goes on from.
	origin origin
	need   btaccount.Need
	items  chan item
	cancel context.CancelFunc
	// started is when the request was sent, eventAt when the last event came.
	started time.Time
	firstAt time.Time
	eventAt time.Time
	events  int
	// copyName is the copy that the segment goes on from.
	copyName string
	// retries counts the repeats of a refused take-over.
	retries int
}

// origin says what a segment goes on from.
type origin uint8

const (
	// fromStart segments are the first of their request.
	fromStart origin = iota
	// fromCopy segments go on from a copy of the generation's memory.
	fromCopy
	// fromEvent segments run again after the last event.
	fromEvent
)

var originNames = [...]string{"start", "copy", "event"}

// String returns the origin's name.
func (o origin) String() string { return originNames[o] }

// start sends the segment's request. Its items arrive in the order of the
// stream.
func (g *segment) start(ctx context.Context) {
	ctx, g.cancel = context.WithCancel(ctx)
	now := g.job.h.Timer.Now()
	g.started, g.eventAt = now, now
	g.items = make(chan item, pendingEvents)
	g.lease = g.job.h.Accounts.Begin(g.upstream.ID, g.need)
	if g.backup != nil {
		g.copies = g.job.h.Accounts.BeginCopy(g.backup.ID, g.need)
	}
	go g.run(ctx)
}

// run reads the response to its end.
func (g *segment) run(ctx context.Context) {
	r := &reply{upstream: g.upstream, outcome: bramleytack.Unknown}
	x, err := g.job.open(ctx, g.upstream, g.request)
	if err != nil {
		g.put(ctx, item{head: r.fail(err), ended: true, err: err})
		return
	}
	defer x.Close()
	if x.StatusCode != http.StatusOK {
		g.put(ctx, item{head: r.read(x, g.job.h.Dialect), ended: true})
		return
	}
	r.status, r.header, r.outcome = x.StatusCode, x.Header, bramleytack.Ran
	if !g.put(ctx, item{head: r}) {
		return
	}
	events := btstream.NewReader(x.Body)
	for {
		e, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			g.put(ctx, item{ended: true})
			return
		case err != nil:
			g.put(ctx, item{ended: true, err: err})
			return
		}
		if !g.put(ctx, item{event: e}) {
			return
		}
	}
}

func (g *segment) put(ctx context.Context, i item) bool {
	select {
	case g.items <- i:
		return true
	case <-ctx.Done():
		return false
	}
}

// close ends the segment. The engine drops a generation whose connection
// closes.
func (g *segment) close(o btaccount.Outcome) {
	if g == nil || g.cancel == nil {
		return
	}
	g.cancel()
	g.cancel = nil
	g.lease.End(o)
	g.copies.End()
	j := g.job
	j.log(btevent.SegmentEnded).Str("upstream", string(g.upstream.ID)).Stringer("origin", g.origin).
		Stringer("health", o).Int("events", g.events).Dur("took", j.h.Timer.Now().Sub(g.started)).Send()
}
