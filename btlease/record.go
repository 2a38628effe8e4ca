package btlease

import (
	"net/netip"
	"time"

	"bramleytack"
)

// Kind is the kind of lease objects in the store.
const Kind = "lease"

// Record is the content of a lease object. An empty Holder means that the
// lease was released.
type Record struct {
	Holder   bramleytack.HostID `json:"holder"`
	PeerAddr netip.AddrPort     `json:"peerAddr"`
	// HeldUntil is the end of the lease by the holder's wall clock. It is
	// informational: no decision uses it.
	HeldUntil time.Time `json:"heldUntil"`
	// Term counts the acquisitions since the object was created.
	Term uint64 `json:"term"`
}
