package btowner

import (
	"time"

	"bramleytack"
)

const (
	// drainAsk is how long a refused suspect keeps an upstream free of new
	// work. It is longer than the time between two asks.
	drainAsk = time.Second
	// drainMax bounds the drain for one suspect, and drainPause is the time
	// until the next drain. Without them, suspects could keep an upstream idle.
	drainMax   = 15 * time.Second
	drainPause = 30 * time.Second
)

// drain keeps new work from an upstream while a suspect waits to run alone.
type drain struct {
	request bramleytack.RequestID
	began   time.Time
	until   time.Time
}

// active says whether the upstream drains for another request than id.
func (d *drain) active(now time.Time, id bramleytack.RequestID) bool {
	return now.Before(d.until) && id != d.request
}

// ask prolongs the drain for a suspect that was refused, or begins one.
func (d *drain) ask(now time.Time, h *held) {
	if !h.Suspect {
		return
	}
	if h.Request != d.request {
		if !d.began.IsZero() && now.Sub(d.began) < drainMax+drainPause {
			return
		}
		d.request, d.began = h.Request, now
	}
	if until := now.Add(drainAsk); until.Sub(d.began) <= drainMax {
		d.until = until
	}
}
