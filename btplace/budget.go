package btplace

import (
	"time"

	"bramleytack"
)

// BudgetKey names the object with the Budget of all cells.
var BudgetKey = bramleytack.Key{Kind: "weightBudget", Name: "cells"}

// Budget limits the rate at which the engines of all cells load models from the
// weight store.
type Budget struct {
	LoadsPerMinute float64 `json:"loadsPerMinute"`
	// Burst is the number of loads that may start at the same time.
	Burst float64 `json:"burst"`
	// Shares are the cells' fractions of the rate and the burst. Shares that add
	// up to more than 1 are scaled down. A cell that is not listed gets
	// OtherShare, which does not count in the sum.
	Shares     map[bramleytack.CellID]float64 `json:"shares,omitempty"`
	OtherShare float64                        `json:"otherShare"`
}

// DefaultBudget returns the budget that applies while the store has no budget
// object. It gives each cell the whole rate, so it fits a single cell only.
func DefaultBudget() Budget {
	const loadsPerMinute, burst = 12, 3
	return Budget{LoadsPerMinute: loadsPerMinute, Burst: burst, OtherShare: 1}
}

// share returns the fraction that a cell gets.
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

// bucket is the token bucket of one cell. Its zero value has no tokens and is not
// refilled before configure.
type bucket struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// configure sets the rate and the burst from now on.
func (b *bucket) configure(now time.Time, budget Budget, cell bramleytack.CellID) {
	b.refill(now)
	share := budget.share(cell)
	b.perSecond = budget.LoadsPerMinute / time.Minute.Seconds() * share
	// A bucket that holds less than one token would never allow a load.
	b.burst = max(budget.Burst*share, 1)
	b.tokens = min(b.tokens, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.perSecond, b.burst)
	}
	b.refilledAt = now
}

// take takes one token. It returns false if there is none.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
