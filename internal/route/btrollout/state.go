package btrollout

import (
	"cmp"
	"slices"
	"time"
)

// State is what the state dump and the metrics tell of one order.
type State struct {
	Service    string        `json:"service"`
	Target     string        `json:"target"`
	Stage      string        `json:"stage"`
	Share      float64       `json:"share"`
	Age        time.Duration `json:"age"`
	Duration   time.Duration `json:"duration"`
	RolledBack bool          `json:"rolledBack"`
	Complete   bool          `json:"complete"`
	Blind      bool          `json:"blind"`
	// Sent, Exposed, Answers and Bad are this daemon's. Answers and Bad are of the new version.
	Sent    uint64 `json:"sent"`
	Exposed uint64 `json:"exposed"`
	Answers uint64 `json:"answers"`
	Bad     uint64 `json:"bad"`
	// FleetSent and FleetExposed are those of all daemons, at judges.
	FleetSent    uint64   `json:"fleetSent"`
	FleetExposed uint64   `json:"fleetExposed"`
	Withdrawn    []string `json:"withdrawn"`
}

// States returns the state of all orders, sorted by service.
func (t *Table) States() []State {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	list := make([]State, 0, len(t.orders))
	for service, o := range t.orders {
		s := State{
			Service: service, Target: o.rollout.Target, Stage: o.stage.String(), Share: o.dose(t.snapshot, now).share, Age: now.Sub(o.began),
			Duration: o.rollout.Duration, RolledBack: o.rejected, Complete: o.complete, Blind: o.blind(now), Sent: o.sent, Exposed: o.exposed,
			Withdrawn: t.withdrawnOf(service),
		}
		if o.settled() && !o.rejected {
			s.Share = 1
		}
		for k, c := range o.own {
			if !k.old() {
				s.Answers += uint64(c.Answers)
				s.Bad += uint64(c.Failures + c.Broken)
			}
		}
		s.FleetSent, s.FleetExposed = o.judge.totals()
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// storable returns the withdrawn versions of a service for its status, without one that is the only
// one registered.
func (t *Table) storable(service string) []string {
	versions := map[string]bool{}
	for _, u := range t.snapshot.ByService[service] {
		versions[u.Version] = true
	}
	return slices.DeleteFunc(t.withdrawnOf(service), func(v string) bool { return len(versions) == 1 && versions[v] })
}

func (t *Table) withdrawnOf(service string) []string {
	var list []string
	for v := range t.withdrawn[service] {
		list = append(list, v)
	}
	slices.Sort(list)
	return list
}
