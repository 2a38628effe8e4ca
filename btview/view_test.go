package btview

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bramleytack"
)

var (
	testAddr     = netip.MustParseAddrPort("10.0.0.1:7")
	compareAddrs = cmpopts.EquateComparable(netip.AddrPort{})
)

func members(n int) []Member {
	var list []Member
	for i := range n {
		list = append(list, Member{Host: bramleytack.HostID(fmt.Sprintf("host-%d", i))})
	}
	return list
}

func upstream(prefix string, i int) bramleytack.UpstreamID {
	return bramleytack.UpstreamID(fmt.Sprintf("%s-%d", prefix, i))
}

// Guards against an owner that changes although only another member left, or that
// depends on the order of members.
func TestOwnerStaysWhenAnotherLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := members(rapid.IntRange(2, 32).Draw(t, "members"))
		prefix := rapid.String().Draw(t, "prefix")
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "removed")
		shuffled := rapid.Permutation(list).Draw(t, "order")
		var rest []Member
		for _, m := range shuffled {
			if m != list[removed] {
				rest = append(rest, m)
			}
		}
		for i := range 50 {
			id := upstream(prefix, i)
			before, _ := owner(list, id)
			again, _ := owner(shuffled, id)
			after, _ := owner(rest, id)
			assert.Equal(t, before, again)
			if before != list[removed] {
				assert.Equal(t, before, after)
			}
		}
	})
}

// Guards against members that own more than twice or less than half of their
// share of the upstreams.
func TestOwnerBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perMember = 200
		list := members(rapid.IntRange(2, 32).Draw(t, "members"))
		prefix := rapid.StringMatching(`[a-z]{0,8}`).Draw(t, "prefix")
		counts := map[bramleytack.HostID]int{}
		for i := range perMember * len(list) {
			m, _ := owner(list, upstream(prefix, i))
			counts[m.Host]++
		}
		for host, n := range counts {
			assert.Assert(t, n > perMember/2 && n < perMember*2, "%s owns %d", host, n)
		}
		assert.Equal(t, len(counts), len(list))
	})
}

// Guards against fields of a view that are lost in encoding.
func TestViewEncoding(t *testing.T) {
	v := &View{Number: 3, Fence: 2, Holder: "host-0", Members: members(3)}
	for i := range v.Members {
		v.Members[i].PeerAddr = testAddr
	}
	v.Previous = []Previous{{Number: 2, Members: v.Members[:1], Expired: true}}
	got, err := decodeView(encodeView("c", v))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, v, compareAddrs)
	assert.DeepEqual(t, v.Watchers(), []bramleytack.HostID{"host-0", "host-1"})
}
