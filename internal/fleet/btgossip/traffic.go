package btgossip

import "sync/atomic"

// Cause is the reason for which a datagram is sent.
type Cause uint8

// The causes of datagrams.
const (
	CauseDigest Cause = iota
	CauseLoad
	CauseTable
	CauseChange
	CauseMember
	CauseSuspicion
	CauseWord
	CauseGrant
	CauseRollout
	CausePace
	CauseDemand
	causeCount
)

var causeNames = [causeCount]string{"digest", "load", "table", "change", "member", "suspicion", "word", "grant", "rollout", "pace", "demand"}

// String returns the name of the cause in metrics.
func (c Cause) String() string { return causeNames[c] }

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseDigest, CauseLoad, CauseTable, CauseChange, CauseMember, CauseSuspicion, CauseWord, CauseGrant, CauseRollout, CausePace, CauseDemand}
}

// Traffic counts the datagrams that a daemon has sent. It is safe for concurrent use.
type Traffic struct{ byCause [causeCount]counters }

type counters struct{ datagrams, bytes, remoteBytes atomic.Uint64 }

func (t *Traffic) add(c Cause, size int, remote bool) {
	t.byCause[c].datagrams.Add(1)
	t.byCause[c].bytes.Add(uint64(size))
	if remote {
		t.byCause[c].remoteBytes.Add(uint64(size))
	}
}

// Datagrams returns the number of datagrams sent for a cause.
func (t *Traffic) Datagrams(c Cause) uint64 { return t.byCause[c].datagrams.Load() }

// Bytes returns the number of bytes sent for a cause, without headers of UDP and IP, and
// how many of them went to other failure domains.
func (t *Traffic) Bytes(c Cause) (all, remote uint64) {
	return t.byCause[c].bytes.Load(), t.byCause[c].remoteBytes.Load()
}
