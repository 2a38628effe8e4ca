package btquarantine

import (
	"slices"
	"time"

	"bramleytack"
)

// retention is how long a request that ended early counts as in flight. It
// covers the time until the crash shows in a load report or a new connection.
const retention = 30 * time.Second

// run is one request at one instance of an upstream.
type run struct {
	fingerprint bramleytack.Fingerprint
	alone       bool
	// ended is zero while the request is in flight.
	ended time.Time
}

// inflight holds the requests that are in flight or ended early.
type inflight map[crash][]*run

func (f inflight) enter(c crash, r *run) { f[c] = append(f[c], r) }

// leave ends a run. A run that ended early stays for the retention.
func (f inflight) leave(c crash, r *run, early bool, now time.Time) {
	r.ended = now
	f[c] = slices.DeleteFunc(f[c], func(o *run) bool {
		return o == r && !early || !o.ended.IsZero() && now.Sub(o.ended) > retention
	})
	if len(f[c]) == 0 {
		delete(f, c)
	}
}

// prune forgets runs past their retention.
func (f inflight) prune(now time.Time) {
	for c, runs := range f {
		f[c] = slices.DeleteFunc(runs, func(o *run) bool {
			return !o.ended.IsZero() && now.Sub(o.ended) > retention
		})
		if len(f[c]) == 0 {
			delete(f, c)
		}
	}
}

func (f inflight) fingerprints(c crash) []bramleytack.Fingerprint {
	var fps []bramleytack.Fingerprint
	for _, r := range f[c] {
		if !slices.Contains(fps, r.fingerprint) {
			fps = append(fps, r.fingerprint)
		}
	}
	return fps
}

func (f inflight) alone(c crash, fp bramleytack.Fingerprint) bool {
	return slices.ContainsFunc(f[c], func(r *run) bool { return r.alone && r.fingerprint == fp })
}
