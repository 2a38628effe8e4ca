package btowner

import (
	"time"

	"bramleytack"
)

const (
	// drainExtension is how long an upstream gets no new work after it rejected
	// a suspect request. It is longer than the time until the request asks
	// again, so that the drain has no gaps.
	drainExtension = time.Second
	// maxDrainTime bounds the drain for one suspect request. drainCooldown is the
	// further time until the drain for another one may start. Without them,
	// suspect requests could keep an upstream idle.
	maxDrainTime  = 15 * time.Second
	drainCooldown = 30 * time.Second
)

// suspectDrain keeps new work from an upstream while a suspect request, which
// may have crashed an upstream, waits to run alone.
type suspectDrain struct {
	request   bramleytack.RequestID
	startedAt time.Time
	until     time.Time
}

// blocks reports whether the upstream drains for a request other than id.
func (d *suspectDrain) blocks(now time.Time, id bramleytack.RequestID) bool {
	return now.Before(d.until) && id != d.request
}

// extend prolongs the drain for a rejected suspect request, or starts one. It
// does nothing for other requests.
func (d *suspectDrain) extend(now time.Time, res *trackedReservation) {
	if !res.Suspect {
		return
	}
	if res.Request != d.request {
		if !d.startedAt.IsZero() && now.Sub(d.startedAt) < maxDrainTime+drainCooldown {
			return
		}
		d.request, d.startedAt = res.Request, now
	}
	if until := now.Add(drainExtension); until.Sub(d.startedAt) <= maxDrainTime {
		d.until = until
	}
}
