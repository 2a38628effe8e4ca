package btdirectory

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btgossip"
)

// Guards against responses that list daemons that are not ready or are leaving, and
// against an empty list with status 200.
func TestDirectoryResponse(t *testing.T) {
	addr := func(i byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, i}) }
	var listed []netip.AddrPort
	var validFor time.Duration
	ready := true
	peers := []btgossip.Peer{{Addr: addr(2), Ready: true}, {Addr: addr(3)}, {Addr: addr(4), Ready: true, Leaving: true}}
	h := &Handler{
		Peers: func() []btgossip.Peer { return peers }, Entry: netip.AddrPortFrom(addr(1), 80), Ready: func() bool { return ready },
		Encode: func(a []netip.AddrPort, v time.Duration) any { listed, validFor = a, v; return a }, MaxValidity: 500 * time.Millisecond,
	}
	get := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	assert.Equal(t, get(), http.StatusOK)
	slices.SortFunc(listed, netip.AddrPort.Compare)
	assert.DeepEqual(t, listed, []netip.AddrPort{netip.AddrPortFrom(addr(1), 80), netip.AddrPortFrom(addr(2), 80)}, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	assert.Equal(t, validFor, 500*time.Millisecond)
	ready, peers = false, nil
	assert.Equal(t, get(), http.StatusServiceUnavailable)
	ready = true
	for i := range byte(200) {
		peers = append(peers, btgossip.Peer{Addr: addr(i + 2), Ready: true})
	}
	assert.Equal(t, get(), http.StatusOK)
	assert.Equal(t, len(listed), maxAddrs)
}

// Guards against callers that are sent to another failure domain although their own has
// enough daemons, and against those of a small one that get only few addresses.
func TestCallersStayInTheirDomain(t *testing.T) {
	const perDomain = 20
	var listed []netip.AddrPort
	var peers []btgossip.Peer
	for i := range byte(2 * perDomain) {
		domain := bramleytack.FailureDomainID("a")
		if i >= perDomain {
			domain = "b"
		}
		peers = append(peers, btgossip.Peer{Addr: netip.AddrFrom4([4]byte{10, 0, 0, i + 2}), FailureDomain: domain, Ready: true})
	}
	h := &Handler{
		Peers: func() []btgossip.Peer { return peers }, Entry: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "c", DomainParam: "zone",
		Ready: func() bool { return true }, Encode: func(a []netip.AddrPort, _ time.Duration) any { listed = a; return a },
	}
	ask := func(query string) {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/?"+query, nil))
	}
	ask("zone=b")
	assert.Equal(t, len(listed), perDomain)
	for _, a := range listed {
		assert.Assert(t, a.Addr().As4()[3] >= perDomain+2, "%s is in another failure domain", a)
	}
	for _, query := range []string{"zone=c", "zone=", "", "zone=unknown"} {
		ask(query)
		assert.Equal(t, len(listed), 2*perDomain+1, "query %q", query)
	}
}
