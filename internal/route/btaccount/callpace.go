package btaccount

import (
	"time"

	"bramleytack"
)

// runWeight is the share of the newest call in the mean run time of a service's calls.
const runWeight = 0.05

// ObserveRun records how long an upstream of a plain service took for a call.
func (t *Table) ObserveRun(u *bramleytack.Upstream, took time.Duration) {
	if t.Paces.Empty() || took <= 0 {
		return
	}
	pace, _ := t.Paces.Now(u)
	run := float64(took.Milliseconds()) / pace
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, ok := t.runs[u.Service]
	if !ok {
		mean = run
	}
	if t.runs == nil {
		t.runs = map[string]float64{}
	}
	t.runs[u.Service] = mean + runWeight*(run-mean)
}

// callRun returns the mean run time at the usual pace, in milliseconds, by which calls choose among
// upstreams of a plain service. It is zero unless their paces differ at this moment. The caller holds the lock.
func (t *Table) callRun(s *bramleytack.Snapshot, candidates []*bramleytack.Upstream) float64 {
	if t.Paces == nil || len(candidates) < 2 || s.Engine(candidates[0].Service) != nil || t.runs[candidates[0].Service] == 0 {
		return 0
	}
	t.Paces.Want()
	least, most := 0.0, 0.0
	for _, u := range candidates {
		pace, _ := t.Paces.Now(u)
		if least == 0 || pace < least {
			least = pace
		}
		most = max(most, pace)
	}
	if most < minSpread*least {
		return 0
	}
	return t.runs[candidates[0].Service]
}

// callDelay returns the expected time to the answer of a call in milliseconds: that of its own run and
// of the wait for a place.
func (t *Table) callDelay(u *bramleytack.Upstream, l Load, run float64) float64 {
	pace, _ := t.Paces.Now(u)
	places := max(u.WarmLimit, 1)
	ahead := max(l.Running+1-places, 0)
	return pace * run * (1 + float64(ahead)/float64(places))
}
