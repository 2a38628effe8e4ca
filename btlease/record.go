package btlease

import (
	"net/netip"
	"time"

	"bramleytack"
)

// Kind is the kind of lease objects in the store.
const Kind = "lease"

// Record is the content of a lease object. An empty holder means that the
// lease was released.
type Record struct {
	Holder   bramleytack.HostID `json:"holder"`
	PeerAddr netip.AddrPort     `json:"peerAddr"`
	// HeldUntil is by the holder's wall clock and informational.
	HeldUntil time.Time `json:"heldUntil"`
	Term      uint64    `json:"term"`
}
