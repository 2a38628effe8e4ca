package btlimit

import (
	"slices"
	"sync"
	"time"

	"bramleytack"
)

const (
	// demandValidity, plus demandValidityPerMember for each member, is how long
	// demands of another entry daemon are used. Members exchange them at a fixed
	// rate, so the time between two exchanges grows with each member. With 32
	// members it reaches 4.5 s.
	demandValidity          = 3 * time.Second
	demandValidityPerMember = 100 * time.Millisecond
	// demandWindow is the time constant of the moving average of the demand.
	demandWindow = 2 * time.Second
	// idleTimeout is the time after which an idle workspace is forgotten. Its
	// token bucket is full by then.
	idleTimeout = time.Minute
	// concurrencyRetryAfter is the RetryAfter of a request above the
	// concurrency limit.
	concurrencyRetryAfter = time.Second
)

// Demand is what one entry daemon would use of a workspace's limits.
type Demand struct {
	RequestsPerSecond float64
	Concurrency       float64
}

// receivedDemands holds the last demands of another entry daemon.
type receivedDemands struct {
	at      time.Time
	demands map[bramleytack.WorkspaceID]Demand
}

// Limiter enforces the shares of one entry daemon, which Self names. It is safe for
// concurrent use.
type Limiter struct {
	Self bramleytack.HostID

	mu         sync.Mutex
	members    []bramleytack.HostID
	received   map[bramleytack.HostID]receivedDemands
	workspaces map[bramleytack.WorkspaceID]*usage
}

// SetMembers sets the entry daemons that share the limits. Self always counts,
// whether members holds it or not.
func (l *Limiter) SetMembers(members []bramleytack.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = slices.Clone(members)
	if !slices.Contains(l.members, l.Self) {
		l.members = append(l.members, l.Self)
	}
	for h := range l.received {
		if !slices.Contains(l.members, h) {
			delete(l.received, h)
		}
	}
}

// Receive replaces the demands of another entry daemon.
func (l *Limiter) Receive(now time.Time, from bramleytack.HostID, demands map[bramleytack.WorkspaceID]Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received == nil {
		l.received = make(map[bramleytack.HostID]receivedDemands)
	}
	l.received[from] = receivedDemands{at: now, demands: demands}
}

// Demands returns this entry daemon's demands, for the others. It leaves out
// demands that cannot change the shares: an entry daemon without a demand gets
// the same minimum share as one with a demand below it. So the message grows with
// the workspaces that are busy here, not with all that had a request in the last
// minute.
func (l *Limiter) Demands(now time.Time) map[bramleytack.WorkspaceID]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make(map[bramleytack.WorkspaceID]Demand, len(l.workspaces))
	for id, u := range l.workspaces {
		if d := u.demand(now); d.RequestsPerSecond > u.negligible.RequestsPerSecond || d.Concurrency > u.negligible.Concurrency {
			demands[id] = d
		}
	}
	return demands
}

// Refresh recomputes the shares and forgets idle workspaces. It is called once a
// second.
func (l *Limiter) Refresh(now time.Time, workspaces map[bramleytack.WorkspaceID]*bramleytack.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, u := range l.workspaces {
		ws, ok := workspaces[id]
		if u.running == 0 && (!ok || now.Sub(u.lastUsed) > idleTimeout) {
			delete(l.workspaces, id)
		} else if ok {
			l.refreshShare(now, ws, u)
		}
	}
}

// refreshShare recomputes this entry daemon's share of one workspace. The caller
// holds mu.
func (l *Limiter) refreshShare(now time.Time, ws *bramleytack.Workspace, u *usage) {
	ownDemand := u.demand(now)
	validity := l.validity()
	rates := map[bramleytack.HostID]float64{l.Self: ownDemand.RequestsPerSecond}
	concurrencies := map[bramleytack.HostID]float64{l.Self: ownDemand.Concurrency}
	for h, n := range l.received {
		if now.Sub(n.at) > validity {
			continue
		}
		d := n.demands[ws.Name]
		rates[h] = d.RequestsPerSecond
		concurrencies[h] = d.Concurrency
	}
	members := l.members
	if len(members) == 0 {
		members = []bramleytack.HostID{l.Self}
	}
	u.raiseDelay = validity
	u.negligible = negligibleDemand(ws, len(members))
	rate := memberShares(members, rates, ws.RequestsPerSecond)[l.Self]
	shares := memberShares(members, concurrencies, float64(ws.Concurrency))
	for _, h := range members {
		if _, ok := shares[h]; !ok {
			shares[h] = float64(ws.Concurrency) / float64(len(members))
		}
	}
	u.setShare(now, share{at: now, rate: rate, concurrency: RoundShares(shares, ws.Concurrency)[l.Self]})
}

// validity returns how long demands of another entry daemon are used. The caller
// holds mu.
func (l *Limiter) validity() time.Duration {
	return demandValidity + time.Duration(len(l.members))*demandValidityPerMember
}

// Admit counts a request, or rejects it with CodeRateLimited and NotRun. After it
// returned nil, Done must be called once, unless the workspace has no limits.
func (l *Limiter) Admit(now time.Time, ws *bramleytack.Workspace) error {
	if unlimited(ws) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.workspaces[ws.Name]
	if !ok {
		u = &usage{}
		if l.workspaces == nil {
			l.workspaces = make(map[bramleytack.WorkspaceID]*usage)
		}
		l.workspaces[ws.Name] = u
		l.refreshShare(now, ws, u)
	}
	u.recordArrival(now)
	if ws.Concurrency > 0 && u.running >= u.current.concurrency {
		return rejection(concurrencyRetryAfter, "workspace %q has reached its concurrency limit", ws.Name)
	}
	if ws.RequestsPerSecond > 0 {
		if wait := u.takeToken(now); wait > 0 {
			return rejection(wait, "workspace %q has reached its request rate", ws.Name)
		}
	}
	u.running++
	return nil
}

// Done counts the end of a request that Admit let through.
func (l *Limiter) Done(now time.Time, ws *bramleytack.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.workspaces[ws.Name]; ok && u.running > 0 {
		u.running--
		u.lastUsed = now
	}
}

func unlimited(ws *bramleytack.Workspace) bool {
	return ws.RequestsPerSecond <= 0 && ws.Concurrency <= 0
}

func rejection(after time.Duration, format string, args ...any) error {
	return bramleytack.NewError(bramleytack.CodeRateLimited, bramleytack.NotRun, format, args...).WithRetryAfter(after)
}
