package btmemstore

import "time"

// Fault says how the store misbehaves. The zero value is a healthy store.
type Fault struct {
	// Down makes each call fail without an effect.
	Down bool `json:"down,omitempty"`
	// Latency is added to each call before its effect.
	Latency time.Duration `json:"latency,omitempty"`
	// LoseReplies is the number of writes that take effect and then fail with
	// bramleytack.ErrStoreUnknown.
	LoseReplies int `json:"loseReplies,omitempty"`
	// DropWrites is the number of writes that fail with
	// bramleytack.ErrStoreUnknown without an effect.
	DropWrites int `json:"dropWrites,omitempty"`
	// StaleReads makes Get and List answer with the state at this revision.
	// Zero gives current reads.
	StaleReads uint64 `json:"staleReads,omitempty"`
	// SilentWatches stops changes and heartbeats on all open and new watches.
	SilentWatches bool `json:"silentWatches,omitempty"`
}
