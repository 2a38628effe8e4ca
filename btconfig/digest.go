package btconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"bramleytack"
)

// Digest summarizes a configuration for comparison between daemons.
type Digest struct {
	// Revision is the newest accepted version, also of a tombstone.
	Revision bramleytack.Revision `json:"revision"`
	// Hash covers the keys and versions of all live objects. Tombstones are
	// left out, since daemons evict them at different times.
	Hash uint64 `json:"hash"`
}

// String returns the digest for logs.
func (d Digest) String() string { return fmt.Sprintf("%d/%016x", d.Revision, d.Hash) }

// Digest returns the digest of the current state. Equal states have equal
// digests, whatever the order of the changes.
func (c *Config) Digest() Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Digest{Revision: c.Snapshot().Revision, Hash: c.hash}
}

// hashOf returns the hash of an object's key and version. Digest.Hash is the sum
// of these hashes, so that one change updates it in constant time.
func hashOf(o bramleytack.Object) uint64 {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", o.Kind, o.Name, o.Version))
	return binary.BigEndian.Uint64(sum[:])
}
