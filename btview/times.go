package btview

import "time"

// The times of the protocol.
const (
	// HeartbeatPeriod spaces a member's heartbeats.
	HeartbeatPeriod = 700 * time.Millisecond
	// LeaseDuration is how long a confirmation of a view lasts.
	LeaseDuration = 2 * time.Second
	// GrantValidity is how long an entry may use a grant.
	GrantValidity = time.Second
	// SettleDuration is how long a new owner waits for members that do not
	// acknowledge. The margin covers clocks that differ in rate by 1%.
	SettleDuration = (LeaseDuration + GrantValidity) * 101 / 100
	// SilenceLimit is how long a member stays in the view without heartbeats.
	SilenceLimit = 2500 * time.Millisecond
	// WithholdDuration is how long a new owner leaves part of the capacity
	// unused for an old owner that did not acknowledge.
	WithholdDuration = 60 * time.Second
	// quietLimit is when a holder starts to suspect its own links. All members
	// pass it before the first one reaches SilenceLimit, since their heartbeats
	// are at most HeartbeatPeriod apart.
	quietLimit = SilenceLimit - HeartbeatPeriod
	// readPeriod spaces the reads of the view object.
	readPeriod = time.Second
	// batchPeriod collects changes of membership into one view.
	batchPeriod = 200 * time.Millisecond
	// gatherLimit is how long the first view of a term waits for members. A
	// member reads the lease object once a second while it looks for the
	// holder, and a heartbeat to a dead host may take another second.
	gatherLimit = 3500 * time.Millisecond
	// searchPeriod spaces the heartbeats of a member that looks for the holder.
	searchPeriod = 300 * time.Millisecond
	// tickPeriod is the resolution of the holder's decisions.
	tickPeriod = 100 * time.Millisecond
	// callTimeout bounds a call of a peer or the store.
	callTimeout = time.Second
	// retryPeriod spaces the holder's store calls after a failure.
	retryPeriod = 300 * time.Millisecond
	// settledAge is how long a holder has to be in charge before it takes the
	// silence of most members for a fault of its own links.
	settledAge = 10 * time.Second
	// resignBackoff lets another daemon take the lease after a resignation.
	resignBackoff = 20 * time.Second
	// hostsPeriod spaces reads of the host list while acknowledgements are
	// missing.
	hostsPeriod = 5 * time.Second
	// maxPrevious bounds the earlier views in a view, so that the object stays
	// far below the store's limit. At the bound, changes wait for expiry.
	maxPrevious = 32
)
