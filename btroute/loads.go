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
	// refusalTime is how long an upstream counts as full after a refusal
	// without advice, and maxRefusalTime the longest time.
	refusalTime    = 100 * time.Millisecond
	maxRefusalTime = time.Second
)

// Load is what the entry knows of an upstream's load.
type Load struct {
	// InFlight counts the entry's own requests on the upstream.
	InFlight int
	// Known is set when there is a recent digest. Then Running is its count,
	// corrected by the entry's own requests since, and Limit, Memory and Warm
	// are its figures.
	Known   bool
	Running int
	Limit   int
	Memory  float64
	Warm    bool
	// Leaving is set when the owner offers no more places.
	Leaving bool
	// Refused is set for a short time after the owner refused a reservation.
	Refused bool
}

// record is the load of one upstream as it is kept.
type record struct {
	digest     bramleytack.UpstreamDigest
	receivedAt time.Time
	inFlight   int
	// change is the number of own requests that started less those that ended
	// since the digest.
	change       int
	refusedUntil time.Time
}

// Loads holds the load of upstreams and implements ModelIndex. The zero value is
// ready for use.
type Loads struct {
	mu        sync.RWMutex
	upstreams map[bramleytack.UpstreamID]*record
}

// Load returns the load of an upstream.
func (l *Loads) Load(now time.Time, id bramleytack.UpstreamID) Load {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r, ok := l.upstreams[id]
	if !ok {
		return Load{}
	}
	load := Load{InFlight: r.inFlight, Leaving: r.digest.Leaving, Refused: now.Before(r.refusedUntil)}
	if r.receivedAt.IsZero() || now.Sub(r.receivedAt) > digestValidity {
		return load
	}
	load.Known = true
	load.Running = max(r.digest.Running+r.change, r.inFlight, 0)
	load.Limit = r.digest.Limit
	load.Memory = r.digest.Memory
	load.Warm = r.digest.Warm
	if r.change > 0 && r.digest.Running > 0 {
		// Each own request since adds what the others use on average.
		load.Memory += r.digest.Memory / float64(r.digest.Running) * float64(r.change)
	}
	return load
}

// SetDigest takes a digest, unless a newer one is known.
func (l *Loads) SetDigest(now time.Time, d bramleytack.UpstreamDigest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(d.Upstream)
	if d.At.Before(r.digest.At) && now.Sub(r.receivedAt) <= digestValidity {
		return
	}
	r.digest = d
	r.receivedAt = now
	r.change = 0
	if d.Running < d.Limit {
		r.refusedUntil = time.Time{}
	}
}

// Digest returns the last digest of an upstream, however old.
func (l *Loads) Digest(id bramleytack.UpstreamID) (bramleytack.UpstreamDigest, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	r, ok := l.upstreams[id]
	if !ok || r.receivedAt.IsZero() {
		return bramleytack.UpstreamDigest{}, false
	}
	return r.digest, true
}

// HasModel implements ModelIndex by the last digest of the upstream.
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

// OtherVersion implements VersionFallback by the last digest of the upstream.
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

// Retain forgets the upstreams that are not in the snapshot.
func (l *Loads) Retain(s *bramleytack.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.upstreams {
		if _, ok := s.Upstreams[id]; !ok && r.inFlight == 0 {
			delete(l.upstreams, id)
		}
	}
}

// record returns the record of an upstream. The caller holds mu.
func (l *Loads) record(id bramleytack.UpstreamID) *record {
	if l.upstreams == nil {
		l.upstreams = make(map[bramleytack.UpstreamID]*record)
	}
	r, ok := l.upstreams[id]
	if !ok {
		r = &record{}
		l.upstreams[id] = r
	}
	return r
}

func (l *Loads) start(id bramleytack.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(id)
	r.inFlight++
	r.change++
}

func (l *Loads) end(id bramleytack.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(id)
	r.inFlight = max(0, r.inFlight-1)
	r.change--
}

func (l *Loads) refuse(now time.Time, id bramleytack.UpstreamID, d time.Duration) {
	if d <= 0 {
		d = refusalTime
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(id).refusedUntil = now.Add(min(d, maxRefusalTime))
}
