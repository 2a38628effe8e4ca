package btdirectory

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/fleet/btgossip"
)

const (
	// maxAddrs bounds the addresses in a response.
	maxAddrs = 64
	// minNear is the number of ready daemons in the caller's failure domain from which
	// on the response lists no others. With fewer, the loss of a few daemons or a change
	// of the load could leave callers without one.
	minNear = 16
	// validity is how long callers may cache a response. It is short because requests
	// to the directory are cheap, and a leaving daemon must serve for three times as
	// long.
	validity = time.Second
)

// Encoder returns a value whose JSON encoding is the response in the callers' format.
type Encoder func(addrs []netip.AddrPort, validity time.Duration) any

// Handler serves the addresses of the daemons that callers may connect to. It is safe
// for concurrent use.
type Handler struct {
	// Peers returns the other daemons that are alive.
	Peers func() []btgossip.Peer
	// Entry is this daemon's address for callers. All daemons use the same port. Domain
	// is its failure domain.
	Entry  netip.AddrPort
	Domain bramleytack.FailureDomainID
	// DomainParam is the query parameter with the caller's failure domain. The daemons
	// of that domain come first: bytes between domains cost more. If the parameter is
	// missing or empty, Domain stands for it.
	DomainParam string
	// Ready reports whether callers may connect to this daemon.
	Ready  func() bool
	Encode Encoder
	// MaxValidity is the longest validity that callers honour. Zero means no bound.
	MaxValidity time.Duration
	Log         *btevent.Logger
}

// Addrs returns the addresses of the ready daemons for a caller in a failure domain, in
// random order: those in that domain if there are at least minNear, else those in that
// domain and the others, and never more than maxAddrs. It returns none if no daemon is
// ready.
func (h *Handler) Addrs(caller bramleytack.FailureDomainID) []netip.AddrPort {
	var near, others []netip.AddrPort
	add := func(d bramleytack.FailureDomainID, a netip.AddrPort) {
		if d == caller {
			near = append(near, a)
		} else {
			others = append(others, a)
		}
	}
	if h.Ready() {
		add(h.Domain, h.Entry)
	}
	for _, p := range h.Peers() {
		if p.Ready && !p.Leaving {
			add(p.FailureDomain, netip.AddrPortFrom(p.Addr, h.Entry.Port()))
		}
	}
	shuffle(near)
	if len(near) < minNear {
		shuffle(others)
		near = append(near, others...)
	}
	return near[:min(len(near), maxAddrs)]
}

func shuffle(addrs []netip.AddrPort) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller := h.Domain
	if d := r.URL.Query().Get(h.DomainParam); d != "" {
		caller = bramleytack.FailureDomainID(d)
	}
	addrs := h.Addrs(caller)
	if len(addrs) == 0 {
		http.Error(w, "no entry is ready", http.StatusServiceUnavailable)
		return
	}
	v := validity
	if h.MaxValidity > 0 {
		v = min(v, h.MaxValidity)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(h.Encode(addrs, v)); err != nil {
		h.Log.Event(btevent.CallerDisconnected).Err(err).Send()
	}
}
