package btsettings

import (
	"net/netip"
	"time"

	"bramleytack"
)

// Settings configure one daemon. They do not change while it runs.
type Settings struct {
	Host          bramleytack.HostID
	Region        bramleytack.RegionID
	FailureDomain bramleytack.FailureDomainID
	Cell          bramleytack.CellID
	// Listen is the address for callers, AdminListen for operators and PeerListen
	// for other daemons.
	Listen      netip.AddrPort
	AdminListen netip.AddrPort
	PeerListen  netip.AddrPort
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort
	PeerTLS  PeerTLS
	// OperatorKeyHashes are SHA-256 hashes of operator keys in hexadecimal.
	OperatorKeyHashes []string
	Limits            Limits
	// EntriesValidFor is how long callers may cache the entry list.
	EntriesValidFor time.Duration
	// DrainTimeout bounds the wait for running requests at shutdown. It starts
	// after the wait for cached entry lists to expire.
	DrainTimeout time.Duration
	// ClaimInterval is the minimum time between two commits of a claim shard. A
	// longer interval saves writes to the store, but delays requests with an
	// idempotency key.
	ClaimInterval time.Duration
	LogLevel      string
}

// PeerTLS names the files for mutual TLS between daemons.
type PeerTLS struct {
	Certificate string
	Key         string
	Authority   string
	// Plain disables TLS, for tests on one machine. The files must not be set
	// then; otherwise all three are required.
	Plain bool
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBody is the maximum size of a request's body in bytes.
	MaxBody int64
	// MaxHeader is the maximum size of a request's header in bytes.
	MaxHeader int
	// MaxTimeout is the longest time from the arrival of a request to its
	// deadline. A later deadline is shortened to it.
	MaxTimeout time.Duration
	// MaxQueued is the number of requests that may wait for capacity.
	MaxQueued int
	// MaxQueueTime is how long a request may wait for capacity.
	MaxQueueTime time.Duration
}

// Defaults returns the values of the settings that no source sets. Required
// settings are zero.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			MaxBody:      1 << 20,
			MaxHeader:    16 << 10,
			MaxTimeout:   2 * time.Hour,
			MaxQueued:    1000,
			MaxQueueTime: 30 * time.Second,
		},
		EntriesValidFor: 30 * time.Second,
		DrainTimeout:    2*time.Hour + time.Minute,
		ClaimInterval:   20 * time.Millisecond,
		LogLevel:        "info",
	}
}
