package btowner

import (
	"time"

	"bramleytack"
	"bramleytack/btlength"
	"bramleytack/btramp"
)

// HeldReservation is a reservation as the entry daemon that holds it reports it
// to a new owner of the upstream.
type HeldReservation struct {
	bramleytack.Reservation
	Instance bramleytack.InstanceID
	// Age is the time since the entry asked for the grant.
	Age time.Duration
	// Tokens is the output so far.
	Tokens int
}

// held is a reservation with the owner's bookkeeping.
type held struct {
	bramleytack.Reservation
	mark       btramp.Admission
	granted    time.Time
	validUntil time.Time
	produced   int
	// listed is the time of the last report that listed the request.
	listed time.Time
	// proven is set when the progress was counted as a success.
	proven bool
	// dead is set when the entry has left the view.
	dead bool
	// leftAt is when the entry abandoned the request.
	leftAt time.Time
	moved  bool
	use    moments
}

// abandoned says that the entry has left the request to the upstream.
func (h *held) abandoned() bool { return !h.leftAt.IsZero() }

func (h *held) end() time.Time {
	if h.Deadline.IsZero() {
		return h.granted.Add(maxLife)
	}
	return h.Deadline.Add(deadlineGrace)
}

func (h *held) key() btlength.Key {
	return btlength.Key{Workspace: h.Workspace, Model: h.Model, Priority: h.Priority}
}

// forecast computes the memory use from the tokens produced so far.
func (h *held) forecast(e *btlength.Estimator) {
	limit := 0
	if h.MaxTokens > 0 {
		limit = max(1, h.MaxTokens-h.produced)
	}
	c := e.Curve(h.key(), h.produced, limit)
	h.use = forecastOf(h.PromptTokens+h.produced, &c)
}

// gone says whether a report that does not list the request, made at the given
// time, shows that the request has ended.
func (h *held) gone(at time.Time) bool {
	if !h.listed.IsZero() {
		return at.After(h.listed)
	}
	switch {
	case h.abandoned():
		return at.After(h.leftAt.Add(goneDead))
	case h.dead:
		return at.After(h.validUntil.Add(goneDead))
	}
	return at.After(h.validUntil.Add(goneLive))
}

// ended is a reservation that no longer counts.
type ended struct {
	*held
	at time.Time
	// released is set when the entry has said how the request ended.
	released bool
}
