package bthub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/route/btaccount"
)

// start is an arbitrary time.
var start = time.UnixMilli(1_000_000)

func load(running int) Loads { return Loads{"e": btaccount.Load{Running: running}} }

// serving returns a hub with a subscriber of number reports, and the time at which it
// serves.
func serving(h *Hub, c *Client, host bramleytack.HostID, own Loads) time.Time {
	now := start
	for now.Sub(start) <= warmUp {
		c.Subscribe([]bramleytack.HostID{"hub"}, 0, now)
		h.Add(Report{Host: host, Incarnation: 1, Number: c.Record(own, now), Loads: own, Subscribe: true}, now)
		h.Subscribers(now)
		now = now.Add(ReportPeriod)
	}
	return now
}

func checkOthers(t *testing.T, h *Hub, c *Client, now time.Time, want int) {
	t.Helper()
	subs := h.Subscribers(now)
	assert.Equal(t, len(subs), 1)
	others, ok := c.Others("hub", h.Total(now), subs[0].Ack, now)
	assert.Assert(t, ok)
	assert.Equal(t, others["e"].Running, want)
}

// Guards against a daemon that counts its own load twice, or subtracts a newer report
// than the one that the total includes.
func TestOthersExcludeOwnReport(t *testing.T) {
	var h Hub
	var c Client
	now := serving(&h, &c, "a", load(3))
	h.Add(Report{Host: "b", Incarnation: 1, Number: 1, Loads: load(5)}, now)
	checkOthers(t, &h, &c, now, 5)
	c.Record(load(9), now) // This report is lost.
	checkOthers(t, &h, &c, now, 5)
}

// Guards against a load that never leaves the total because its daemon died, and against
// reports that arrive late and bring an old load back.
func TestReportsExpireAndKeepTheirOrder(t *testing.T) {
	var h Hub
	h.Add(Report{Host: "a", Incarnation: 1, Number: 2, Loads: load(4)}, start)
	h.Add(Report{Host: "a", Incarnation: 1, Number: 1, Loads: load(7)}, start)
	assert.Equal(t, h.Total(start)["e"].Running, 4)
	h.Add(Report{Host: "a", Incarnation: 2, Number: 1, Loads: load(1)}, start)
	assert.Equal(t, h.Total(start)["e"].Running, 1)
	assert.Equal(t, len(h.Total(start.Add(reportValidity))), 0)
}

// A hub is suspended and goes on with totals from before. Its own clock did not advance,
// so it cannot know. Guards against subscribers that use these totals.
func TestSuspendedHubIsNotUsed(t *testing.T) {
	var h Hub
	var c Client
	hubTime := serving(&h, &c, "a", load(3))
	total, subs := h.Total(hubTime), h.Subscribers(hubTime)
	now := hubTime.Add(3 * time.Second)
	c.Record(load(0), now)
	_, ok := c.Others("hub", total, subs[0].Ack, now)
	assert.Assert(t, !ok)
	assert.Assert(t, !c.Fresh(now))
}

// A client is suspended and its reports of before are acknowledged. Guards against their
// use after Reset.
func TestResetForgetsReports(t *testing.T) {
	var h Hub
	var c Client
	now := serving(&h, &c, "a", load(3))
	checkOthers(t, &h, &c, now, 0)
	c.Reset()
	assert.Assert(t, !c.Fresh(now))
	c.Subscribe([]bramleytack.HostID{"hub"}, 0, now)
	_, ok := c.Others("hub", h.Total(now), h.Subscribers(now)[0].Ack, now)
	assert.Assert(t, !ok)
}

// Guards against a hub whose first total, without the reports of most daemons, makes full
// engines look idle.
func TestNewHubWaitsForReports(t *testing.T) {
	var h Hub
	h.Add(Report{Host: "a", Incarnation: 1, Number: 1, Subscribe: true}, start)
	assert.Equal(t, len(h.Subscribers(start)), 0)
	h.Add(Report{Host: "a", Incarnation: 1, Number: 2, Subscribe: true}, start.Add(warmUp))
	assert.Equal(t, len(h.Subscribers(start.Add(warmUp))), 1)
}

// Guards against clients that wait for a hub that does not answer, that use a total of a
// hub that they left, and that change hubs before the new one can have answered.
func TestClientChangesHubs(t *testing.T) {
	var c Client
	hubs := []bramleytack.HostID{"h0", "h1"}
	assert.Equal(t, c.Subscribe(hubs, 1, start), bramleytack.HostID("h1"))
	assert.Equal(t, c.Subscribe(hubs, 1, start.Add(warmUp+switchAfter)), bramleytack.HostID("h1"))
	later := start.Add(warmUp + switchAfter + time.Millisecond)
	assert.Equal(t, c.Subscribe(hubs, 1, later), bramleytack.HostID("h0"))
	n := c.Record(nil, later)
	_, ok := c.Others("h1", nil, n, later)
	assert.Assert(t, !ok)
	_, ok = c.Others("h0", nil, n, later)
	assert.Assert(t, ok)
	assert.Equal(t, c.Subscribe([]bramleytack.HostID{"h2"}, 0, later), bramleytack.HostID("h2"))
	assert.Equal(t, c.Subscribe(nil, 0, later), bramleytack.HostID(""))
}
