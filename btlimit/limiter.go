package btlimit

import (
	"slices"
	"sync"
	"time"

	"bramleytack"
)

const (
	// newsValidity and memberValidity are how long demands from another entry
	// are used: members exchange them at a fixed rate, so the time between two
	// exchanges grows with each of them. With 32 it reaches 4.5 s.
	newsValidity   = 3 * time.Second
	memberValidity = 100 * time.Millisecond
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
	// idleAfter is the time after which an idle workspace is forgotten. Its
	// bucket is full by then.
	idleAfter = time.Minute
	// busyRetry is the advice after a refusal for concurrency.
	busyRetry = time.Second
)

// Demand is what one entry would use of a workspace's limits.
type Demand struct {
	RequestsPerSecond float64
	Concurrency       float64
}

type news struct {
	at      time.Time
	demands map[bramleytack.WorkspaceID]Demand
}

// Limiter enforces this entry's shares. It is safe for concurrent use.
type Limiter struct {
	Self bramleytack.HostID

	mu         sync.Mutex
	members    []bramleytack.HostID
	news       map[bramleytack.HostID]news
	workspaces map[bramleytack.WorkspaceID]*usage
}

// SetMembers sets the entries that share the limits, with or without Self.
func (l *Limiter) SetMembers(members []bramleytack.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = slices.Clone(members)
	if !slices.Contains(l.members, l.Self) {
		l.members = append(l.members, l.Self)
	}
	for h := range l.news {
		if !slices.Contains(l.members, h) {
			delete(l.news, h)
		}
	}
}

// Receive takes the demands of another entry.
func (l *Limiter) Receive(now time.Time, from bramleytack.HostID, demands map[bramleytack.WorkspaceID]Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.news == nil {
		l.news = make(map[bramleytack.HostID]news)
	}
	l.news[from] = news{at: now, demands: demands}
}

// Demands returns this entry's demands, for the other entries. It leaves out
// demands that cannot change the shares: an entry without a demand is given the
// same part of the equal share as one with a demand below it. In this way the
// message grows with the workspaces that are busy here, not with all that had a
// request in the last minute.
func (l *Limiter) Demands(now time.Time) map[bramleytack.WorkspaceID]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make(map[bramleytack.WorkspaceID]Demand, len(l.workspaces))
	for id, u := range l.workspaces {
		if d := u.demand(now); d.RequestsPerSecond > u.floor.RequestsPerSecond || d.Concurrency > u.floor.Concurrency {
			demands[id] = d
		}
	}
	return demands
}

// Refresh computes the shares anew and forgets idle workspaces. It is called
// once a second.
func (l *Limiter) Refresh(now time.Time, workspaces map[bramleytack.WorkspaceID]*bramleytack.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, u := range l.workspaces {
		ws, ok := workspaces[id]
		if u.running == 0 && (!ok || now.Sub(u.usedAt) > idleAfter) {
			delete(l.workspaces, id)
		} else if ok {
			l.refresh(now, ws, u)
		}
	}
}

// refresh computes the shares of one workspace. The caller holds mu.
func (l *Limiter) refresh(now time.Time, ws *bramleytack.Workspace, u *usage) {
	own := u.demand(now)
	validity := l.validity()
	rates := map[bramleytack.HostID]float64{l.Self: own.RequestsPerSecond}
	running := map[bramleytack.HostID]float64{l.Self: own.Concurrency}
	for h, n := range l.news {
		if now.Sub(n.at) > validity {
			continue
		}
		d := n.demands[ws.Name]
		rates[h] = d.RequestsPerSecond
		running[h] = d.Concurrency
	}
	members := l.members
	if len(members) == 0 {
		members = []bramleytack.HostID{l.Self}
	}
	u.raiseDelay = validity
	u.floor = floor(ws, len(members))
	rate := divide(members, rates, ws.RequestsPerSecond)[l.Self]
	shares := divide(members, running, float64(ws.Concurrency))
	for _, h := range members {
		if _, ok := shares[h]; !ok {
			shares[h] = float64(ws.Concurrency) / float64(len(members))
		}
	}
	u.setShare(now, share{at: now, rate: rate, concurrency: Units(shares, ws.Concurrency)[l.Self]})
}

// validity is how long demands from another entry are used. The caller holds
// mu.
func (l *Limiter) validity() time.Duration {
	return newsValidity + time.Duration(len(l.members))*memberValidity
}

// Take counts a request, or refuses it with CodeRateLimited and NotRun. After
// a nil error, Done must be called once.
func (l *Limiter) Take(now time.Time, ws *bramleytack.Workspace) error {
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
		l.refresh(now, ws, u)
	}
	u.arrive(now)
	if ws.Concurrency > 0 && u.running >= u.current.concurrency {
		return refusal(busyRetry, "workspace %q has reached its concurrency limit", ws.Name)
	}
	if ws.RequestsPerSecond > 0 {
		if wait := u.spend(now); wait > 0 {
			return refusal(wait, "workspace %q has reached its request rate", ws.Name)
		}
	}
	u.running++
	return nil
}

// Done counts the end of a request.
func (l *Limiter) Done(now time.Time, ws *bramleytack.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.workspaces[ws.Name]; ok && u.running > 0 {
		u.running--
		u.usedAt = now
	}
}

func unlimited(ws *bramleytack.Workspace) bool {
	return ws.RequestsPerSecond <= 0 && ws.Concurrency <= 0
}

func refusal(after time.Duration, format string, args ...any) error {
	return bramleytack.NewError(bramleytack.CodeRateLimited, bramleytack.NotRun, format, args...).WithRetryAfter(after)
}
