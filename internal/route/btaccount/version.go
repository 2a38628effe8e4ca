package btaccount

import "bramleytack"

// admits reports whether an upstream may take what is handed over or waits.
func (t *Table) admits(u *bramleytack.Upstream) bool { return t.Admits == nil || t.Admits(u) }

// OwnRunning returns the number of this daemon's requests at an upstream that have not ended.
func (t *Table) OwnRunning(id bramleytack.UpstreamID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[id]; a != nil {
		return a.own.Running
	}
	return 0
}

// Busy returns the share of an upstream's places that are taken, by the requests of all daemons.
func (t *Table) Busy(s *bramleytack.Snapshot, u *bramleytack.Upstream) float64 {
	places := u.WarmLimit
	if p := s.Engine(u.Service); p != nil {
		places = p.Slots
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.load(u.ID, t.Timer.Now()).Running) / float64(max(places, 1))
}
