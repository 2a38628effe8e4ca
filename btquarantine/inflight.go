package btquarantine

import (
	"slices"
	"time"

	"bramleytack"
)

// endedRetention is how long an attempt that ended early counts as in flight. It
// covers the time until the crash shows in a load report or a new connection.
const endedRetention = 30 * time.Second

// attempt is one sending of a request to one instance of an upstream.
type attempt struct {
	fingerprint bramleytack.Fingerprint
	alone       bool
	// ended is zero while the attempt is in flight.
	ended time.Time
}

// inflight holds the attempts that are in flight or ended early.
type inflight map[upstreamInstance][]*attempt

func (f inflight) add(key upstreamInstance, a *attempt) { f[key] = append(f[key], a) }

// end ends an attempt. An attempt that ended early stays for endedRetention.
func (f inflight) end(key upstreamInstance, a *attempt, early bool, now time.Time) {
	a.ended = now
	f[key] = slices.DeleteFunc(f[key], func(other *attempt) bool {
		return other == a && !early || !other.ended.IsZero() && now.Sub(other.ended) > endedRetention
	})
	if len(f[key]) == 0 {
		delete(f, key)
	}
}

// prune removes attempts that ended more than endedRetention ago.
func (f inflight) prune(now time.Time) {
	for key, attempts := range f {
		f[key] = slices.DeleteFunc(attempts, func(a *attempt) bool {
			return !a.ended.IsZero() && now.Sub(a.ended) > endedRetention
		})
		if len(f[key]) == 0 {
			delete(f, key)
		}
	}
}

func (f inflight) fingerprints(key upstreamInstance) []bramleytack.Fingerprint {
	var fps []bramleytack.Fingerprint
	for _, a := range f[key] {
		if !slices.Contains(fps, a.fingerprint) {
			fps = append(fps, a.fingerprint)
		}
	}
	return fps
}

func (f inflight) alone(key upstreamInstance, fp bramleytack.Fingerprint) bool {
	return slices.ContainsFunc(f[key], func(a *attempt) bool { return a.alone && a.fingerprint == fp })
}
