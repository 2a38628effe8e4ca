package bthub

import (
	"slices"
	"sync"
	"time"

	"bramleytack"
)

const (
	// maxReportAge is the age of a client's report up to which a total that includes it
	// is used: one report period, one table period, and one of each that was lost.
	maxReportAge = 3 * ReportPeriod
	// switchAfter is the time without a usable total after which a client subscribes
	// to another hub. It is three table periods.
	switchAfter = 150 * time.Millisecond
	// totalValidity is how long the newest total is used while no hub answers. Most of
	// the generations that it counts have ended by then.
	totalValidity = 2 * time.Second
	// maxKeptReports bounds the reports that may still be acknowledged. With a report
	// each 15 ms it covers maxReportAge.
	maxKeptReports = 64
)

// Client is a daemon's side of the exchange with hubs. The zero value is ready to use.
type Client struct {
	mu     sync.Mutex
	number uint64
	// reports are the newest reports, oldest first.
	reports []sentReport
	// hub is the hub that the client subscribes to, since subscribedAt.
	hub          bramleytack.HostID
	subscribedAt time.Time
	// totalAt is when the newest usable total arrived.
	totalAt time.Time
	// newest is the highest number of a report that a total of the hub included.
	newest uint64
}

type sentReport struct {
	number uint64
	loads  Loads
	at     time.Time
}

// Record keeps the daemon's load as reported now and returns the number of the report.
// The caller must not change loads afterwards.
func (c *Client) Record(loads Loads, now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	if len(c.reports) >= maxKeptReports {
		c.reports = slices.Delete(c.reports, 0, 1)
	}
	c.reports = append(c.reports, sentReport{number: c.number, loads: loads, at: now})
	return c.number
}

// Others returns the load of the other daemons: a hub's total without the report that
// the total includes. It reports false if the total must not be used, because it comes
// from another hub than the subscribed one or includes no recent report. The caller
// owns the map.
func (c *Client) Others(hub bramleytack.HostID, total Loads, ack uint64, now time.Time) (Loads, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.reports, func(r sentReport) bool { return r.number == ack })
	if hub != c.hub || i < 0 || ack < c.newest || now.Sub(c.reports[i].at) > maxReportAge {
		return nil, false
	}
	others := make(Loads, len(total))
	for id, l := range total {
		if l = l.Minus(c.reports[i].loads[id]); !l.IsZero() {
			others[id] = l
		}
	}
	c.newest, c.totalAt = ack, now
	return others, true
}

// Subscribe returns which of the hubs the client subscribes to, or "" without any. It
// keeps to one until its totals stay away for switchAfter. preferred selects the first
// one, so that the daemons of a failure domain are divided among its hubs.
func (c *Client) Subscribe(hubs []bramleytack.HostID, preferred uint64, now time.Time) bramleytack.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(hubs) == 0 {
		c.hub = ""
		return ""
	}
	i := slices.Index(hubs, c.hub)
	switch {
	case i < 0:
		c.follow(hubs[preferred%uint64(len(hubs))], now)
	case now.Sub(c.totalAt) > switchAfter && now.Sub(c.subscribedAt) > warmUp+switchAfter:
		c.follow(hubs[(i+1)%len(hubs)], now)
	}
	return c.hub
}

func (c *Client) follow(hub bramleytack.HostID, now time.Time) {
	c.hub, c.subscribedAt, c.newest = hub, now, 0
}

// Fresh reports whether the newest total may still be used.
func (c *Client) Fresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.totalAt.IsZero() && now.Sub(c.totalAt) < totalValidity
}

// State returns the hub that the client subscribes to and the age of the newest usable
// total, zero without one.
func (c *Client) State(now time.Time) (hub bramleytack.HostID, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.totalAt.IsZero() {
		age = now.Sub(c.totalAt)
	}
	return c.hub, age
}

// Reset discards all reports and the newest total. It is for use after this process was
// suspended.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports, c.totalAt, c.hub = nil, time.Time{}, ""
}
