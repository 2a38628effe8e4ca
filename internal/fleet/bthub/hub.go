package bthub

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btaccount"
)

const (
	// ReportPeriod is the time between two reports of a daemon whose load does not
	// change. A change is reported earlier.
	ReportPeriod = 200 * time.Millisecond
	// reportValidity is how long a report counts and a subscription lasts. Several
	// reports in a row may be lost before a daemon's load disappears from the total.
	reportValidity = 5 * ReportPeriod
	// warmUp is the time from a hub's first subscription until its total is used. By
	// then each daemon that sees the hub has reported to it.
	warmUp = ReportPeriod + 50*time.Millisecond
)

// Loads are loads by upstream.
type Loads = map[bramleytack.UpstreamID]btaccount.Load

// Report is the load of one daemon.
type Report struct {
	Host bramleytack.HostID
	// Incarnation is the start of the daemon's process in Unix milliseconds.
	Incarnation uint64
	// Number rises with each report of an incarnation.
	Number uint64
	Loads  Loads
	// Subscribe asks for the hub's totals.
	Subscribe bool
}

// Subscriber is a daemon that gets the hub's totals.
type Subscriber struct {
	Host        bramleytack.HostID
	Incarnation uint64
	// Ack is the number of the subscriber's newest report.
	Ack uint64
}

// Hub adds up reports. The zero value is ready to use.
type Hub struct {
	mu      sync.Mutex
	members map[bramleytack.HostID]*member
	// servingSince is when the hub got its first subscriber since it had none.
	servingSince time.Time
}

// member is a daemon that reports to the hub. Its loads must not be changed.
type member struct {
	report       Report
	reportedAt   time.Time
	subscribedAt time.Time
}

// Add replaces the load of a daemon. Reports that arrive out of order are ignored.
func (h *Hub) Add(r Report, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.members == nil {
		h.members = map[bramleytack.HostID]*member{}
	}
	m := h.members[r.Host]
	if m == nil {
		m = &member{}
		h.members[r.Host] = m
	}
	if old := m.report; r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.Number <= old.Number {
		return
	}
	m.report, m.reportedAt = r, now
	if r.Subscribe {
		m.subscribedAt = now
	}
}

// Total returns the sum of all reports that are valid. The caller owns the map.
func (h *Hub) Total(now time.Time) Loads {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	total := Loads{}
	for _, m := range h.members {
		for id, l := range m.report.Loads {
			total[id] = total[id].Plus(l)
		}
	}
	return total
}

// Subscribers returns the daemons that get the hub's totals, sorted by host. There are
// none until the hub has served for warmUp, because its total may be incomplete.
func (h *Hub) Subscribers(now time.Time) []Subscriber {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	var all []Subscriber
	for host, m := range h.members {
		if now.Sub(m.subscribedAt) < reportValidity {
			all = append(all, Subscriber{Host: host, Incarnation: m.report.Incarnation, Ack: m.report.Number})
		}
	}
	switch {
	case len(all) == 0:
		h.servingSince = time.Time{}
	case h.servingSince.IsZero():
		h.servingSince = now
	}
	if h.servingSince.IsZero() || now.Sub(h.servingSince) < warmUp {
		return nil
	}
	slices.SortFunc(all, func(a, b Subscriber) int { return cmp.Compare(a.Host, b.Host) })
	return all
}

// expire drops the reports that are no longer valid.
func (h *Hub) expire(now time.Time) {
	for host, m := range h.members {
		if now.Sub(m.reportedAt) >= reportValidity {
			delete(h.members, host)
		}
	}
}
