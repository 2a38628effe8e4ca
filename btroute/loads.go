package btroute

import (
	"sync"
	"time"

	"bramleytack"
)

const (
	// digestValidity is how long a digest is used for scoring. Owners send
	// one about every second.
	digestValidity = 5 * time.Second
	// defaultRejectionTime is how long an upstream counts as full after a
	// rejection without a retry time. maxRejectionTime bounds that time.
	defaultRejectionTime = 100 * time.Millisecond
	maxRejectionTime     = time.Second
)

// Load is an entry's information about the load of an upstream.
type Load struct {
	// InFlight counts the entry's own requests on the upstream.
	InFlight int
	// Known is set when there is a recent digest. Only then are the next four
	// fields set. Running and Memory include an estimate for the entry's own
	// requests since the digest. Limit is the concurrency limit, Memory the
	// forecast peak as a share of the memory.
	Known   bool
	Running int
	Limit   int
	Memory  float64
	Warm    bool
	// Leaving is set when the owner grants no more reservations.
	Leaving bool
	// Rejected is set for a short time after the owner rejected a reservation.
	Rejected bool
}

// upstreamLoad is the stored load of one upstream.
type upstreamLoad struct {
	digest     bramleytack.UpstreamDigest
	receivedAt time.Time
	inFlight   int
	// netStarted is the number of own requests that started since the digest,
	// less those that ended.
	netStarted    int
	rejectedUntil time.Time
}

// Loads holds the load of upstreams, and implements ModelIndex and
// VersionFallback. The zero value is ready for use. It is safe for concurrent
// use.
type Loads struct {
	mu        sync.RWMutex
	upstreams map[bramleytack.UpstreamID]*upstreamLoad
}

// Load returns the load of an upstream.
func (l *Loads) Load(now time.Time, id bramleytack.UpstreamID) Load {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r, ok := l.upstreams[id]
	if !ok {
		return Load{}
	}
	load := Load{InFlight: r.inFlight, Leaving: r.digest.Leaving, Rejected: now.Before(r.rejectedUntil)}
	if r.receivedAt.IsZero() || now.Sub(r.receivedAt) > digestValidity {
		return load
	}
	load.Known = true
	load.Running = max(r.digest.Running+r.netStarted, r.inFlight, 0)
	load.Limit = r.digest.Limit
	load.Memory = r.digest.Memory
	load.Warm = r.digest.Warm
	if r.netStarted > 0 && r.digest.Running > 0 {
		// Assume that each own request since the digest uses as much memory
		// as the others on average.
		load.Memory += r.digest.Memory / float64(r.digest.Running) * float64(r.netStarted)
	}
	return load
}

// SetDigest stores a digest that arrived at now. It ignores a digest that is
// older than the stored one, unless that has expired.
func (l *Loads) SetDigest(now time.Time, d bramleytack.UpstreamDigest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(d.Upstream)
	if d.At.Before(r.digest.At) && now.Sub(r.receivedAt) <= digestValidity {
		return
	}
	r.digest = d
	r.receivedAt = now
	r.netStarted = 0
	if d.Running < d.Limit {
		r.rejectedUntil = time.Time{}
	}
}

// Digest returns the last digest of an upstream, even if it has expired.
func (l *Loads) Digest(id bramleytack.UpstreamID) (bramleytack.UpstreamDigest, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r, ok := l.upstreams[id]
	if !ok || r.receivedAt.IsZero() {
		return bramleytack.UpstreamDigest{}, false
	}
	return r.digest, true
}

// HasModel implements ModelIndex with the last digest of the upstream.
func (l *Loads) HasModel(id bramleytack.UpstreamID, want bramleytack.LoadedModel) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r, ok := l.upstreams[id]
	if !ok {
		return false
	}
	for _, m := range r.digest.Models {
		if m.Model == want.Model && m.Adapter == want.Adapter && (want.Version == "" || m.Version == want.Version) {
			return true
		}
	}
	return false
}

// OtherVersion implements VersionFallback with the last digest of the upstream.
func (l *Loads) OtherVersion(id bramleytack.UpstreamID, want bramleytack.LoadedModel) (string, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r, ok := l.upstreams[id]
	if !ok {
		return "", false
	}
	for _, m := range r.digest.Models {
		if m.Model == want.Model && m.Adapter == want.Adapter {
			return m.Version, true
		}
	}
	return "", false
}

// Retain removes the upstreams that are not in the snapshot and have no
// requests of this entry in flight.
func (l *Loads) Retain(s *bramleytack.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.upstreams {
		if _, ok := s.Upstreams[id]; !ok && r.inFlight == 0 {
			delete(l.upstreams, id)
		}
	}
}

// record returns the stored load of an upstream and creates it if there is
// none. The caller holds mu.
func (l *Loads) record(id bramleytack.UpstreamID) *upstreamLoad {
	if l.upstreams == nil {
		l.upstreams = make(map[bramleytack.UpstreamID]*upstreamLoad)
	}
	r, ok := l.upstreams[id]
	if !ok {
		r = &upstreamLoad{}
		l.upstreams[id] = r
	}
	return r
}

func (l *Loads) requestStarted(id bramleytack.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(id)
	r.inFlight++
	r.netStarted++
}

func (l *Loads) requestEnded(id bramleytack.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(id)
	r.inFlight = max(0, r.inFlight-1)
	r.netStarted--
}

func (l *Loads) recordRejection(now time.Time, id bramleytack.UpstreamID, d time.Duration) {
	if d <= 0 {
		d = defaultRejectionTime
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(id).rejectedUntil = now.Add(min(d, maxRejectionTime))
}
