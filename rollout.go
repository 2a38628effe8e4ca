package bramleytack

import (
	"context"
	"time"
)

// RolloutState is what the status of a roll-out says.
type RolloutState string

// The states of roll-outs. The zero value means that the status has not been written.
const (
	RolloutRunning    RolloutState = "running"
	RolloutComplete   RolloutState = "complete"
	RolloutRolledBack RolloutState = "rolledBack"
)

// Final reports whether the state is the last one of an order.
func (s RolloutState) Final() bool { return s == RolloutComplete || s == RolloutRolledBack }

// Rollout is an operator's order to move a service to upstreams of another version, with its
// status.
type Rollout struct {
	Service string
	// Target is the version to move to.
	Target string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Created is the revision at which the order was created, in the epoch of Revision.
	Created Revision
	// Revision is that of the order's last change, its status included.
	Revision Revision
	Status   RolloutStatus
}

// RolloutStatus is what the system says of a roll-out. Only State and Target are for the operator.
type RolloutStatus struct {
	State  RolloutState
	Target string
	// Order identifies the order that the status belongs to.
	Order uint64
	Stage int
	// Elapsed is the time since the order at the write of the status, and Written the time of day
	// of the write.
	Elapsed time.Duration
	Written time.Time
	// Withdrawn are targets of earlier orders that did not complete.
	Withdrawn []string
}

// RolloutCodec is implemented by a CatalogCodec that knows roll-outs.
type RolloutCodec interface {
	// Rollout decodes an order with its status.
	Rollout(o Object) (*Rollout, error)
	// RolloutStatus encodes a status for StatusWriter.
	RolloutStatus(s RolloutStatus) ([]byte, error)
}

// StatusWriter replaces the status of objects, which is separate from what the operator writes.
type StatusWriter interface {
	// PutStatus writes a status under the conditions of Store.Put. The object must exist.
	PutStatus(ctx context.Context, key Key, status []byte, expected Revision) (Revision, error)
}
