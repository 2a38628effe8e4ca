package btentry

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btwaiting"
)

const (
	// runMargin is the factor from the mean time of a call at an upstream to one that few
	// calls exceed.
	runMargin = 1.5
	// maxReturns bounds how often a call is sent again to upstreams that have rejected it
	// because they were full. Each time it draws on the retry budget.
	maxReturns = 3
	// outageFactor bounds the time since the last answer of a service without a usable upstream
	// up to which calls wait for the return of one, as a multiple of their time left. An outage
	// must be expected to last about as long again, so that one call in five is answered.
	outageFactor = 4
	// waitingLogPeriod is the least time between two log lines about waiting calls of a
	// service.
	waitingLogPeriod = time.Second
)

// waitingRoom is where calls of one service wait while it is full.
type waitingRoom struct {
	room  btwaiting.Room
	share btwaiting.Share

	logged btevent.Pace
	// rejected counts the calls that were rejected since the last log line.
	rejected atomic.Int64

	mu sync.Mutex
	// answeredAt is when an upstream last answered, outageAt when none was usable first since.
	answeredAt time.Time
	outageAt   time.Time
}

// answered records an answer of an upstream.
func (w *waitingRoom) answered(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answeredAt, w.outageAt = now, time.Time{}
}

// mayReturn reports whether an upstream of a service without any may be back within a time. It
// records that there is none.
func (w *waitingRoom) mayReturn(now time.Time, left time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outageAt.IsZero() {
		w.outageAt = now
	}
	return !w.answeredAt.IsZero() && now.Sub(w.outageAt) <= outageFactor*left
}

// waitingRooms are those of all services. The zero value is ready to use.
type waitingRooms struct {
	mu        sync.Mutex
	byService map[string]*waitingRoom
}

// of returns the room of a service.
func (h *Handler) waitingRoom(service string) *waitingRoom {
	s := &h.waiting
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byService[service]
	if w == nil {
		w = &waitingRoom{}
		w.room.Timer, w.share.Timer = h.Timer, h.Timer
		w.room.Interval = func() time.Duration {
			s := h.Table.Snapshot()
			_, each := h.Accounts.ColdTurn(s, service)
			return max(w.share.Interval(h.Accounts.Occupancy(s, service)), each)
		}
		w.room.First = func() time.Duration {
			first, _ := h.Accounts.ColdTurn(h.Table.Snapshot(), service)
			return first
		}
		if s.byService == nil {
			s.byService = map[string]*waitingRoom{}
		}
		s.byService[service] = w
	}
	return w
}

// full reports whether the upstream declared that it did not run the request because it has
// no place, and asked for no pause.
func (r *attemptResult) full() bool {
	if r.outcome != bramleytack.NotRun || r.unsent || r.misdirected {
		return false
	}
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

// awaitPlace returns an upstream for a call. While the service is full the call waits in
// the daemon, as long as it can be answered in time: upstreams reject what exceeds their
// queues. It returns no upstream if there is none, or if the call is rejected.
func (req *activeRequest) awaitPlace(ctx context.Context, tried map[bramleytack.UpstreamID]bool) (*bramleytack.Upstream, *place) {
	w := req.h.waitingRoom(req.service)
	p := &place{w, req.h.Accounts.BeginCall(req.h.Table.Snapshot(), req.service, req.workspace)}
	var u *bramleytack.Upstream
	var occupancy btwaiting.Occupancy
	try := func() btwaiting.Look {
		var all bool
		if occupancy, all = req.occupancy(); !w.share.Enter(occupancy) {
			if !all {
				return btwaiting.Unfit
			}
			return btwaiting.NoPlace
		}
		var early bool
		if u, early = req.pickForCall(tried, occupancy); u != nil {
			p.call.Reserve(u.ID)
			return btwaiting.Taken
		}
		w.share.Return()
		if early || req.awaitsReturn(w) {
			return btwaiting.Unfit
		}
		return btwaiting.Taken
	}
	if !w.room.Enter(try) {
		req.wait(ctx, p, occupancy, try)
	}
	switch {
	case u == nil:
		p.call.End()
		return nil, nil
	case ctx.Err() != nil:
		p.giveBack()
		return nil, nil
	}
	return u, p
}

// wait keeps a call in the room. If it is rejected, its caller is told when to return.
func (req *activeRequest) wait(ctx context.Context, p *place, o btwaiting.Occupancy, try func() btwaiting.Look) {
	w := p.room
	p.call.BeginWaiting()
	defer p.call.EndWaiting()
	req.h.Metrics.waitBegins()
	result := w.room.Wait(ctx, req.ticket(w.share.Mean()), try)
	req.h.Metrics.waitEnded(result, req.returned)
	if result.Verdict == btwaiting.Late || result.Verdict == btwaiting.Full {
		req.turnedAway, req.returnIn = true, result.RetryAfter
	}
	if req.turnedAway {
		w.rejected.Add(1)
	}
	if w.logged.Due(req.h.Timer.Now(), waitingLogPeriod) {
		turn, _ := req.h.Accounts.ColdTurn(req.snapshot, req.service)
		req.log(btevent.CallsWait).Str("service", req.service).Stringer("verdict", result.Verdict).Dur("waited", result.Waited).
			Int("places", o.Places).Int("free", o.Free).Int("running", o.Running).Int("waiting", o.Waiting).Int("ownWaiting", o.OwnWaiting).
			Int64("rejected", w.rejected.Swap(0)).
			Bool("returned", req.returned).Str("workspace", string(req.workspace)).Int("workspaceCalls", o.Calls.Of(btwaiting.KeyOf(req.workspace))).
			Int("workspaces", o.Calls.Workspaces()).Dur("coldTurn", turn).Send()
	}
}

// ticket returns the terms on which a call waits, if calls take mean at upstreams.
func (req *activeRequest) ticket(mean time.Duration) btwaiting.Ticket {
	t := btwaiting.Ticket{Rank: req.rank(), Workspace: req.workspace, Returned: req.returned, Deadline: req.deadline, Run: time.Duration(runMargin * float64(mean)), Bytes: len(req.body) + headerSize(req.header)}
	if req.h.FinishAt != nil {
		if at, leaving := req.h.FinishAt(); leaving && at.Before(t.Deadline) {
			t.Deadline = at
		}
	}
	return t
}

// pickForCall returns an upstream that is not in tried or, once the call has been sent to as
// many as its route allows or no other is left, one that has rejected it because it was full.
// early is set if the call has to wait: it is too early for that, or no upstream that the call may use
// has a place, or a request left by its cold limit.
func (req *activeRequest) pickForCall(tried map[bramleytack.UpstreamID]bool, o btwaiting.Occupancy) (u *bramleytack.Upstream, early bool) {
	req.snapshot = req.h.Table.Snapshot()
	if req.attempts < max(req.route.MaxAttempts, 1) {
		list := req.eligible(req.unreached(tried))
		if list, early = req.withPlaces(list, o); early && len(req.fullAt) == 0 {
			return nil, true
		}
		u, req.expectedDelay = req.h.Accounts.Pick(req.snapshot, list, req.need)
		if u != nil || len(req.fullAt) == 0 {
			// The cold limits of those that are left allow none now.
			return u, u == nil && len(list) > 0
		}
	}
	var again []*bramleytack.Upstream
	for _, u := range req.eligible(nil) {
		if req.fullAt[u.ID] {
			again = append(again, u)
		}
	}
	if again, early = req.withPlaces(again, o); early || len(again) > 0 && req.h.Timer.Now().Before(req.againAt) {
		return nil, true
	}
	u, req.expectedDelay = req.h.Accounts.Pick(req.snapshot, again, req.need)
	return u, false
}

// occupancy returns how the upstreams are filled that may get the call, and reports whether any
// call may go to them: one that is drawn for a version on trial has only those of the version.
func (req *activeRequest) occupancy() (o btwaiting.Occupancy, all bool) {
	req.snapshot = req.h.Table.Snapshot()
	// The choice falls to the old version if the one on trial has no upstream.
	list := req.eligible(nil)
	choice := req.choice.Load()
	if choice == nil || len(list) == 0 {
		return req.h.Accounts.Occupancy(req.snapshot, req.service), true
	}
	return req.h.Accounts.OccupancyOf(req.snapshot, req.service, choice.Allows), false
}

// withPlaces returns the upstreams of a list that have a free place, and reports whether the call
// has to wait because only others have one. If none of the service has any, the share alone decides: what is
// known of the others' requests is too old to leave a full upstream alone.
func (req *activeRequest) withPlaces(list []*bramleytack.Upstream, o btwaiting.Occupancy) ([]*bramleytack.Upstream, bool) {
	if o.Places == 0 || len(list) == 0 {
		return list, false
	}
	free := req.h.Accounts.WithPlaces(list)
	if len(free) == 0 && o.Free == 0 {
		return list, false
	}
	return free, len(free) == 0
}

// unreached returns tried without the upstreams that the call did not reach and that this
// daemon does not avoid any more.
func (req *activeRequest) unreached(tried map[bramleytack.UpstreamID]bool) map[bramleytack.UpstreamID]bool {
	if len(req.missed) == 0 {
		return tried
	}
	left := maps.Clone(tried)
	for id := range req.missed {
		if !req.h.Accounts.Avoids(id) {
			delete(left, id)
		}
	}
	return left
}

// awaitsReturn reports whether a call that was sent nowhere waits for the return of an upstream:
// the service has none that can be reached, and had one not long before the call began to wait.
// One that asked for a pause, or limits its requests, tells itself when to return.
func (req *activeRequest) awaitsReturn(w *waitingRoom) bool {
	// In a newer snapshot there may be one that the call has not been offered yet.
	s := req.snapshot
	for _, u := range s.ByService[req.service] {
		if s.Accepts(u.ID) && !req.h.Accounts.Avoids(u.ID) {
			return false
		}
	}
	if req.attempts > 0 || !req.accepted(0) {
		return false
	}
	req.returnAwaited = req.returnAwaited || w.mayReturn(req.h.Timer.Now(), req.remaining())
	return req.returnAwaited
}

// noteFull lets a call that an upstream has rejected because it was full go there again
// later. It reports whether the call may be sent again.
func (req *activeRequest) noteFull(r *attemptResult) bool {
	if !r.full() || req.returns >= maxReturns || req.h.Accounts.Paused(r.upstream) {
		return false
	}
	req.returns++
	if req.fullAt == nil {
		req.fullAt = map[bramleytack.UpstreamID]bool{}
	}
	req.fullAt[r.upstream.ID] = true
	req.againAt = req.h.Timer.Now().Add(req.h.waitingRoom(req.service).share.Mean())
	return true
}

// noteMissed records an upstream that the call did not reach, so that it may try it again.
func (req *activeRequest) noteMissed(r *attemptResult) {
	if !r.unsent || r.limited {
		return
	}
	if req.missed == nil {
		req.missed = map[bramleytack.UpstreamID]bool{}
	}
	req.missed[r.upstream.ID] = true
}
