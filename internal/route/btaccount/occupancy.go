package btaccount

import (
	"time"

	"bramleytack"
	"bramleytack/internal/route/btwaiting"
)

// waitingPeriod is the least time between two reports because of requests that wait. Loads
// at engines change more often and bring the number with them.
const waitingPeriod = 100 * time.Millisecond

// fullValidity is how long a declared rejection shows that an upstream which does not report
// its load has a bound.
const fullValidity = 10 * time.Second

// maxWorkspaces bounds the workspaces whose calls a daemon reports for a service. Those with fewer
// calls than these are not above their share, and share places by calls.
const maxWorkspaces = 32

// Occupancy returns how the requests of all daemons fill a plain service, as far as this
// daemon knows. Upstreams that it avoids or that asked it for a pause do not count. Places
// is zero if an upstream has no bound, or nothing shows that registered bounds hold: no
// upstream reports its load or has rejected a request, and nothing waits. Only upstreams of versions
// that any request may go to count.
func (t *Table) Occupancy(s *bramleytack.Snapshot, service string) btwaiting.Occupancy {
	return t.OccupancyOf(s, service, t.admits)
}

// OccupancyOf is Occupancy for the upstreams that are allowed. The table is locked during the calls of
// allowed.
func (t *Table) OccupancyOf(s *bramleytack.Snapshot, service string, allowed func(*bramleytack.Upstream) bool) btwaiting.Occupancy {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var o btwaiting.Occupancy
	bounded, shown := true, false
	for _, u := range s.ByService[service] {
		a := t.account(u.ID)
		o.Waiting += a.own.Waiting + max(t.peerTotals[u.ID].Waiting, 0)
		o.OwnWaiting += a.own.Waiting
		o.OwnRunning += a.own.Running
		o.OwnCalls = o.OwnCalls.Plus(a.own.Calls, 1)
		o.Calls = o.Calls.Plus(t.peerTotals[u.ID].Calls, 1)
		if !s.Accepts(u.ID) || a.avoided(now) || a.paused(u, now) || t.held(u, now) || !allowed(u) {
			continue
		}
		bounded = bounded && u.WarmLimit > 0
		shown = shown || !a.reportedAt.IsZero() || !a.rejectedAt.IsZero() && now.Sub(a.rejectedAt) < fullValidity
		running := max(t.load(u.ID, now).Running, 0)
		o.Places += places(u)
		o.Running += running
		o.Free += max(places(u)-running, 0)
	}
	if !bounded || !shown && o.Waiting == 0 {
		o.Places = 0
	}
	o.Calls = o.Calls.Plus(o.OwnCalls, 1)
	return o
}

// WithPlaces returns the candidates that have fewer requests than places. Upstreams without a
// registered number of places have any.
func (t *Table) WithPlaces(candidates []*bramleytack.Upstream) []*bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var list []*bramleytack.Upstream
	for _, u := range candidates {
		if u.WarmLimit <= 0 || t.load(u.ID, now).Running < places(u) {
			list = append(list, u)
		}
	}
	return list
}

// places returns the number of requests that an upstream gets while its service is full.
func places(u *bramleytack.Upstream) int {
	return int(btwaiting.PlacesFactor * float64(u.WarmLimit))
}

// Avoids reports whether this daemon sends no work to an upstream because of failures, as long
// as there are others.
func (t *Table) Avoids(id bramleytack.UpstreamID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.account(id).avoided(t.Timer.Now())
}

// notifyWaiting calls Changed unless it has done so within waitingPeriod.
func (t *Table) notifyWaiting() {
	if now := t.Timer.Now(); t.Changed != nil && now.Sub(t.waitingAt) >= waitingPeriod {
		t.waitingAt = now
		t.Changed()
	}
}
