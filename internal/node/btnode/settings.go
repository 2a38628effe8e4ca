package btnode

import (
	"net/netip"
	"time"

	"bramleytack"
)

// Settings are what a daemon is told at its start.
type Settings struct {
	Host          bramleytack.HostID
	Addr          netip.Addr
	FailureDomain bramleytack.FailureDomainID
	Region        bramleytack.RegionID
	// Entry serves callers, Ready the platform's readiness checks, Directory
	// callers that ask for entry addresses. Control is served by a stub.
	Entry     netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	Control   netip.AddrPort
	// Peer is the address for other daemons, Metrics the one for metrics and
	// the state dump.
	Peer    netip.AddrPort
	Metrics netip.AddrPort
	// Seeds are peer addresses of daemons that may be down.
	Seeds []netip.AddrPort
	Store netip.AddrPort
	// MemoryBytes bounds the process.
	MemoryBytes int64
	Bounds      Bounds
}

// Bounds are the operators' bounds on the system's behavior.
type Bounds struct {
	// Grace is the time from a termination signal to the kill.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeats that all daemons
	// together send to a service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// DirectoryValidity is the longest validity of a directory answer.
	DirectoryValidity time.Duration
}
