package btstore

import "sync/atomic"

// Counts are the numbers of HTTP calls by kind, including retries.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Retries is the number of reads and writes that were sent again.
	Retries uint64 `json:"retries"`
	// ReadBacks is the number of times that an object was read to find out
	// whether a write took effect. Retries of such a read are not included.
	ReadBacks uint64 `json:"readBacks"`
}

type counters struct {
	reads, writes, watches, retries, readBacks atomic.Uint64
}

// Counts returns the numbers of calls since New.
func (c *Client) Counts() Counts {
	return Counts{
		Reads:     c.counters.reads.Load(),
		Writes:    c.counters.writes.Load(),
		Watches:   c.counters.watches.Load(),
		Retries:   c.counters.retries.Load(),
		ReadBacks: c.counters.readBacks.Load(),
	}
}
