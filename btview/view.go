package btview

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
)

// Kind is the kind of view objects in the store. There is one for each cell.
const Kind = "view"

// Member is one incarnation of a daemon that belongs to a cell.
type Member struct {
	Host bramleytack.HostID `json:"host"`
	// Incarnation changes with each start of the daemon.
	Incarnation   uint64                      `json:"incarnation"`
	PeerAddr      netip.AddrPort              `json:"peerAddr"`
	FailureDomain bramleytack.FailureDomainID `json:"failureDomain"`
}

// Previous is an earlier view that some of its members may still use.
type Previous struct {
	Number  uint64   `json:"number"`
	Members []Member `json:"members"`
	// Expired is set when all view leases and grants of the view have expired.
	Expired bool `json:"expired,omitempty"`
}

// View is a numbered state of the membership of a cell. It is immutable.
type View struct {
	// Number is 1 for the first view of the cell and grows by 1.
	Number uint64            `json:"number"`
	Fence  bramleytack.Fence `json:"fence"`
	// Holder held the lease when it wrote the view.
	Holder bramleytack.HostID `json:"holder"`
	// Members are sorted by host id.
	Members []Member `json:"members"`
	// Previous are sorted by number.
	Previous []Previous `json:"previous,omitempty"`
}

// Member returns the member on a host, or false if there is none.
func (v *View) Member(host bramleytack.HostID) (Member, bool) {
	return findMember(v.Members, host)
}

// Owner returns the member that owns an upstream, or false if the view has no
// members.
func (v *View) Owner(id bramleytack.UpstreamID) (Member, bool) {
	return owner(v.Members, id)
}

// Watchers returns the hosts that watch the configuration in the store: the
// holder and the first other member by host id.
func (v *View) Watchers() []bramleytack.HostID {
	hosts := []bramleytack.HostID{v.Holder}
	for _, m := range v.Members {
		if m.Host != v.Holder {
			return append(hosts, m.Host)
		}
	}
	return hosts
}

// owner returns the member with the highest hash of upstream and host. Of equal
// hashes the lower host id wins, so the order of members does not matter.
func owner(members []Member, id bramleytack.UpstreamID) (Member, bool) {
	var best Member
	var top uint64
	for i, m := range members {
		s := score(id, m.Host)
		if i == 0 || s > top || s == top && m.Host < best.Host {
			best, top = m, s
		}
	}
	return best, len(members) > 0
}

func score(id bramleytack.UpstreamID, host bramleytack.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(id))
	// The separator keeps ("ab", "c") and ("a", "bc") apart.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}

func findMember(members []Member, host bramleytack.HostID) (Member, bool) {
	for _, m := range members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// sameIncarnation reports whether two members are the same start of the same
// daemon.
func sameIncarnation(a, b Member) bool { return a.Host == b.Host && a.Incarnation == b.Incarnation }

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
}
