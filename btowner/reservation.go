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
	// Tokens is the number of output tokens so far.
	Tokens int
}

// trackedReservation is a reservation with what the owner knows of its request.
type trackedReservation struct {
	bramleytack.Reservation
	admission  btramp.Admission
	grantedAt  time.Time
	validUntil time.Time
	// produced is the largest number of output tokens reported so far.
	produced int
	// listedAt is the time of the last report that listed the request. It is
	// zero if none did.
	listedAt time.Time
	// succeeded is set once the request was passed to the ramp as a success.
	succeeded bool
	// entryGone is set when the entry daemon has left the view.
	entryGone bool
	// abandonedAt is when the entry daemon abandoned the request. It is zero if
	// it did not.
	abandonedAt time.Time
	// wasVictim is set once Victim has named the request.
	wasVictim bool
	forecast  memoryForecast
}

// abandoned reports whether the entry daemon has left the request although the
// upstream may still run it.
func (res *trackedReservation) abandoned() bool { return !res.abandonedAt.IsZero() }

// expiry returns when the reservation is dropped if nothing ends it earlier.
func (res *trackedReservation) expiry() time.Time {
	if res.Deadline.IsZero() {
		return res.grantedAt.Add(maxReservationAge)
	}
	return res.Deadline.Add(deadlineGrace)
}

// lengthKey selects the length statistics of the reservation's request.
func (res *trackedReservation) lengthKey() btlength.Key {
	return btlength.Key{Workspace: res.Workspace, Model: res.Model, Priority: res.Priority}
}

// updateForecast computes the memory use from the tokens produced so far.
func (res *trackedReservation) updateForecast(e *btlength.Estimator) {
	limit := 0
	if res.MaxTokens > 0 {
		limit = max(1, res.MaxTokens-res.produced)
	}
	c := e.Curve(res.lengthKey(), res.produced, limit)
	res.forecast = forecastGeneration(res.PromptTokens+res.produced, &c)
}

// hasEnded reports whether a report that does not list the request, made at the
// given time, shows that the request has ended.
func (res *trackedReservation) hasEnded(at time.Time) bool {
	if !res.listedAt.IsZero() {
		return at.After(res.listedAt)
	}
	switch {
	case res.abandoned():
		return at.After(res.abandonedAt.Add(orphanUnlistedGrace))
	case res.entryGone:
		return at.After(res.validUntil.Add(orphanUnlistedGrace))
	}
	return at.After(res.validUntil.Add(unlistedGrace))
}

// endedReservation is a reservation that no longer counts.
type endedReservation struct {
	*trackedReservation
	at time.Time
	// released is set once the entry daemon has reported the request's outcome.
	released bool
}
