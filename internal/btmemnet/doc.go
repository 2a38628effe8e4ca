// Package btmemnet is an in-memory network for tests that run on fake time.
//
// Hosts are told apart by their addresses. Connections can be blocked in one
// direction, slowed, cut, or made silent while new ones work.
//
// # Usage
//
//	network := &btmemnet.Network{}
//	listener := network.Listen(addrB)
//	conn, err := btmemnet.Dialer{Network: network, From: a}.DialPeer(ctx, addrB)
//	network.Silence(a, addrB.Addr())
package btmemnet
