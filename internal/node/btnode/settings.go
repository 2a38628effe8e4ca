package btnode

import (
	"net/netip"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btrollout"
)

// Settings configure one daemon. They do not change while it runs.
type Settings struct {
	Host          bramleytack.HostID
	Addr          netip.Addr
	FailureDomain bramleytack.FailureDomainID
	Region        bramleytack.RegionID
	// Entry serves callers. Ready is for the platform's readiness checks, and
	// Directory for callers that ask for entry addresses. Ready, Directory, Control
	// and Metrics all serve readiness, the directory, metrics and the state dump. A
	// zero address is not served.
	Entry     netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	Control   netip.AddrPort
	// Peer is the address for other daemons, over UDP and TCP. It is required.
	Peer    netip.AddrPort
	Metrics netip.AddrPort
	// Seeds are addresses of other daemons, some of which may be down.
	Seeds []netip.AddrPort
	Store netip.AddrPort
	// MemoryBytes is the memory limit of the process. Zero means none.
	MemoryBytes int64
	// MaxFiles is the limit on the process's descriptors. Zero means none.
	MaxFiles int
	// MaxHeadLines bounds the lines of a request's head. Zero means no bound but that of its
	// bytes.
	MaxHeadLines int
	// ProcessorMillis is the processor share in thousandths of a core. Zero means
	// unknown. The daemons with the most do work for others.
	ProcessorMillis uint32
	Bounds          Bounds
}

// Bounds are the operator's limits on the behavior of all daemons.
type Bounds struct {
	// Grace is the time from a termination signal to the kill by the platform.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries that all daemons
	// together send to a service to RetryRatio per request plus RetrySlack per
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MaxPause bounds the pause that an upstream can ask for. Zero means an hour.
	MaxPause time.Duration
	// DirectoryValidity is the longest validity of a directory response. Zero means
	// no limit.
	DirectoryValidity time.Duration
	// Rollout bounds what versions on trial get. The zero value means that there are no
	// roll-outs.
	Rollout btrollout.Bounds
}
