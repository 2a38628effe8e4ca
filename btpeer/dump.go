package btpeer

import (
	"net/netip"
	"slices"
	"strings"

	"bramleytack"
)

// State is the state of a Node in the daemon's debug dump. Inbound is the number
// of links that peers dialed.
type State struct {
	Host    bramleytack.HostID `json:"host"`
	Links   []LinkState        `json:"links"`
	Inbound int                `json:"inbound"`
	Traffic Traffic            `json:"traffic"`
}

// LinkState is an outbound link in a State.
type LinkState struct {
	Host bramleytack.HostID `json:"host"`
	Addr netip.AddrPort     `json:"addr"`
	Up   bool               `json:"up"`
	// Dialed counts the successful attempts to connect since the peer's address
	// was set.
	Dialed int `json:"dialed"`
	// FailedDials counts the failed attempts since the last successful one.
	FailedDials int `json:"fails"`
	// Calls is the number of calls in progress or waiting for a session.
	Calls int `json:"calls"`
}

// Dump returns the current State, with the links in the order of their hosts.
func (n *Node) Dump() any {
	t := n.Traffic()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := State{Host: n.Host, Inbound: len(n.inbound), Traffic: t}
	for _, l := range n.links {
		s.Links = append(s.Links, l.state())
	}
	slices.SortFunc(s.Links, func(a, b LinkState) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return s
}

func (l *link) state() LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LinkState{
		Host: l.host, Addr: l.addr, Up: l.sess != nil && !l.sess.IsClosed(),
		Dialed: l.dialed, FailedDials: l.failedDials, Calls: len(l.slots),
	}
}
