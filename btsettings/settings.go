package btsettings

import (
	"net/netip"
	"time"

	"bramleytack"
)

// Settings are the settings of one daemon.
type Settings struct {
	Host          bramleytack.HostID
	Region        bramleytack.RegionID
	FailureDomain bramleytack.FailureDomainID
	Cell          bramleytack.CellID
	// Listen serves callers, AdminListen operators, PeerListen other daemons.
	Listen      netip.AddrPort
	AdminListen netip.AddrPort
	PeerListen  netip.AddrPort
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort
	PeerTLS  PeerTLS
	// OperatorKeyHashes are SHA-256 hashes of operator keys in hexadecimal.
	OperatorKeyHashes []string
	Limits            Limits
	// EntriesValidFor is how long callers may keep the entry list.
	EntriesValidFor time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// ClaimInterval is the least time between two commits of a claim shard. A
	// longer one saves writes of the store and adds to the wait of keyed calls.
	ClaimInterval time.Duration
	LogLevel      string
}

// PeerTLS names the files of the mutual TLS between daemons.
type PeerTLS struct {
	Certificate string
	Key         string
	Authority   string
	// Plain turns TLS off. It is meant for tests on one machine.
	Plain bool
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBody is in bytes.
	MaxBody int64
	// MaxHeader is in bytes.
	MaxHeader int
	// MaxTimeout is the longest deadline of a request.
	MaxTimeout time.Duration
	// MaxQueued is the number of requests that may wait for capacity.
	MaxQueued int
	// MaxQueueTime is how long a request may wait for capacity.
	MaxQueueTime time.Duration
}

// Defaults returns the settings that hold where no source names a value.
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
