package btentry

import (
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

// stage is how far a request has come.
type stage uint8

const (
	// stageReading requests are read, or have not been admitted yet.
	stageReading stage = iota
	// stageChoosing requests wait in this daemon for an upstream that takes them.
	stageChoosing
	// stageSent requests were passed on to an upstream, and their callers have got no byte.
	stageSent
	// stageAnswering requests have callers that have got a part of the response.
	stageAnswering
	stageCount
)

var stageNames = [stageCount]string{"reading", "choosing", "sent", "answering"}

// String returns the stage's name in logs.
func (s stage) String() string { return stageNames[s] }

// progress is the stage of one request. It is safe for concurrent use.
type progress struct {
	mu       sync.Mutex
	stage    stage
	since    time.Time
	upstream bramleytack.UpstreamID
	// lastEvent is the number of the last event that the caller got.
	lastEvent uint64
}

// reach sets the stage unless the request has come that far.
func (p *progress) reach(s stage, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachLocked(s, now)
}

func (p *progress) reachLocked(s stage, now time.Time) {
	if p.stage < s {
		p.stage, p.since = s, now
	}
}

// sent records that the request is passed on to an upstream.
func (p *progress) sent(u bramleytack.UpstreamID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = u
	p.reachLocked(stageSent, now)
}

// forwarded records an event that the caller got.
func (p *progress) forwarded(lastEvent uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEvent = lastEvent
	p.reachLocked(stageAnswering, now)
}

// activeSet holds the requests that are being served. The zero value is empty. It is safe
// for concurrent use.
type activeSet struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
}

func (a *activeSet) add(r *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests == nil {
		a.requests = map[*activeRequest]struct{}{}
	}
	a.requests[r] = struct{}{}
}

func (a *activeSet) remove(r *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, r)
}

func (a *activeSet) list() []*activeRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*activeRequest, 0, len(a.requests))
	for r := range a.requests {
		all = append(all, r)
	}
	return all
}

// Stages returns the number of requests that are being served by the name of their stage:
// "reading", "choosing" an upstream, "sent" to one, or "answering". It is safe for
// concurrent use.
func (h *Handler) Stages() map[string]int {
	count := map[string]int{}
	for _, r := range h.requests.list() {
		r.progress.mu.Lock()
		count[r.progress.stage.String()]++
		r.progress.mu.Unlock()
	}
	return count
}

// LogCut logs each request that is being served, as the daemon ends and cuts it. It is
// safe for concurrent use.
func (h *Handler) LogCut() {
	now := h.Timer.Now()
	for _, r := range h.requests.list() {
		p := &r.progress
		p.mu.Lock()
		h.Log.Event(btevent.RequestCut).Str("request", r.id).Dur("after", now.Sub(r.received)).
			Stringer("stage", p.stage).Dur("stageAge", now.Sub(p.since)).Str("upstream", string(p.upstream)).
			Uint64("lastEvent", p.lastEvent).Send()
		p.mu.Unlock()
	}
}
