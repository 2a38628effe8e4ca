package btview

import "time"

const (
	// HeartbeatPeriod is the time between a member's heartbeats.
	HeartbeatPeriod = 700 * time.Millisecond
	// LeaseDuration is how long a view lease lasts.
	LeaseDuration = 2 * time.Second
	// GrantValidity is how long an entry daemon may use a grant after it asked
	// for it.
	GrantValidity = time.Second
	// AckTimeout is how long a new owner waits for members that do not
	// acknowledge its view. After it their view leases and grants have expired.
	// The margin covers clocks that differ in rate by 1%.
	AckTimeout = (LeaseDuration + GrantValidity) * 101 / 100
	// MemberTimeout is how long a member stays in the view without heartbeats.
	MemberTimeout = 2500 * time.Millisecond
	// WithholdDuration is how long a new owner stays in HalfWithheld mode, at
	// most, after an old owner that did not acknowledge.
	WithholdDuration = 60 * time.Second
	// silentAfter is how long after its last heartbeat a holder counts a member
	// as silent when it checks for a fault of its own links. Heartbeats are at
	// most HeartbeatPeriod apart, so after such a fault all members count as
	// silent before the first one reaches MemberTimeout.
	silentAfter = MemberTimeout - HeartbeatPeriod
	// viewReadPeriod is the shortest time between reads of the view object.
	viewReadPeriod = time.Second
	// batchDelay is how long changes of membership are collected into one view.
	batchDelay = 200 * time.Millisecond
	// gatherTimeout is how long the first view of a term waits for heartbeats of
	// the members. A member reads the lease object once a second while it looks
	// for the holder, and a heartbeat to a dead host may take another second.
	gatherTimeout = 3500 * time.Millisecond
	// searchPeriod is the time between heartbeats of a member that looks for the
	// holder.
	searchPeriod = 300 * time.Millisecond
	// tickPeriod is the time between runs of the holder's loop and between
	// checks for a view read.
	tickPeriod = 100 * time.Millisecond
	// callTimeout bounds a call of a peer or of the store.
	callTimeout = time.Second
	// retryPeriod is the shortest time from the start of a store call of the
	// holder that failed to its next step.
	retryPeriod = 300 * time.Millisecond
	// minTermAge is how long a holder must have held the lease before it
	// attributes the silence of most members to its own links.
	minTermAge = 10 * time.Second
	// resignBackoff is how long a holder that resigned does not acquire the
	// lease again, so that another daemon can.
	resignBackoff = 20 * time.Second
	// hostListPeriod is the time between reads of the host list while
	// acknowledgements are missing.
	hostListPeriod = 5 * time.Second
	// maxPrevious bounds the number of earlier views in a view, so that the
	// object stays far below the store's size limit. After a view at the bound the
	// holder writes no change of members until its term ends.
	maxPrevious = 32
)
