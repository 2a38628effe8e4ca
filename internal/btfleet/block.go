package btfleet

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Ports of the processes. They are below the range that the kernel takes
// ports of outgoing connections from.
const (
	portListen = 7080
	portAdmin  = 7081
	portPeer   = 7082
	portDebug  = 7083
	portClaim  = 7999
)

// Last bytes of the addresses in a block.
const (
	hostPlatform = 10
	hostDaemons  = 20
	hostServices = 100
	hostEngines  = 150
	hostClaim    = 254
)

// claimTries bounds the search for a free block.
const claimTries = 50

// Addresses are the addresses of one process.
type Addresses struct {
	Listen netip.AddrPort  `json:"listen"`
	Admin  *netip.AddrPort `json:"admin,omitempty"`
	Peer   *netip.AddrPort `json:"peer,omitempty"`
	Debug  *netip.AddrPort `json:"debug,omitempty"`
}

// block is a /24 of loopback addresses that one fleet uses.
type block struct {
	a, b byte
	// claim keeps other fleets from the block.
	claim net.Listener
}

// claimBlock takes a random block that no other fleet holds. The first bytes
// 0 and 255 are left out, so that no fleet uses the addresses near 127.0.0.1.
func claimBlock() (*block, error) {
	var last error
	for range claimTries {
		k := &block{a: byte(1 + rand.IntN(254)), b: byte(1 + rand.IntN(254))}
		l, err := net.Listen("tcp", k.addr(hostClaim, portClaim).String())
		if err == nil {
			k.claim = l
			return k, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "btfleet: no free block of loopback addresses")
}

func (k *block) addr(host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, k.a, k.b, byte(host)}), port)
}

// upstream returns the addresses of a simulated system.
func (k *block) upstream(host int) Addresses {
	debug := k.addr(host, portDebug)
	return Addresses{Listen: k.addr(host, portListen), Debug: &debug}
}

func (k *block) daemon(host int) Addresses {
	admin, peer := k.addr(host, portAdmin), k.addr(host, portPeer)
	return Addresses{Listen: k.addr(host, portListen), Admin: &admin, Peer: &peer}
}

func (k *block) release() { _ = k.claim.Close() }
