package btplace

import (
	"time"

	"bramleytack"
)

// BudgetKey names the object with the Budget of all cells.
var BudgetKey = bramleytack.Key{Kind: "weightBudget", Name: "cells"}

// Budget bounds the loads that read the weight store, over all cells.
type Budget struct {
	LoadsPerMinute float64 `json:"loadsPerMinute"`
	// Burst is the number of loads that may start at once.
	Burst float64 `json:"burst"`
	// Shares are the parts of the cells. Shares that add up to more than 1 are
	// scaled down. A cell that is not listed gets OtherShare, which does not
	// count in the sum.
	Shares     map[bramleytack.CellID]float64 `json:"shares,omitempty"`
	OtherShare float64                        `json:"otherShare"`
}

// DefaultBudget returns the budget of a deployment with a single cell that has
// no budget object.
func DefaultBudget() Budget {
	const loadsPerMinute, burst = 12, 3
	return Budget{LoadsPerMinute: loadsPerMinute, Burst: burst, OtherShare: 1}
}

// share returns the part of a cell.
func (b Budget) share(cell bramleytack.CellID) float64 {
	sum := 0.0
	for _, s := range b.Shares {
		sum += max(s, 0)
	}
	s, ok := b.Shares[cell]
	if !ok {
		s = b.OtherShare
	}
	return max(s, 0) / max(sum, 1)
}

// bucket is the token bucket of one cell. Its zero value is empty and allows
// nothing.
type bucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	at        time.Time
}

// set changes the rate from now on.
func (b *bucket) set(now time.Time, total Budget, cell bramleytack.CellID) {
	b.refill(now)
	share := total.share(cell)
	b.perSecond = total.LoadsPerMinute / time.Minute.Seconds() * share
	// A bucket that holds less than one token would never allow a load.
	b.burst = max(total.Burst*share, 1)
	b.tokens = min(b.tokens, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if !b.at.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*b.perSecond, b.burst)
	}
	b.at = now
}

// take takes one token.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
