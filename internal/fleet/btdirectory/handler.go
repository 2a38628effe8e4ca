package btdirectory

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"bramleytack/btevent"
	"bramleytack/internal/fleet/btgossip"
)

const (
	// maxAddrs bounds the addresses in a response.
	maxAddrs = 64
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
	// Entry is this daemon's address for callers. All daemons use the same port.
	Entry netip.AddrPort
	// Ready reports whether callers may connect to this daemon.
	Ready  func() bool
	Encode Encoder
	// MaxValidity is the longest validity that callers honour. Zero means no bound.
	MaxValidity time.Duration
	Log         *btevent.Logger
}

// Addrs returns the addresses of all ready daemons, or a random choice of maxAddrs if
// there are more. It returns none if no daemon is ready.
func (h *Handler) Addrs() []netip.AddrPort {
	var addrs []netip.AddrPort
	if h.Ready() {
		addrs = append(addrs, h.Entry)
	}
	for _, p := range h.Peers() {
		if p.Ready && !p.Leaving {
			addrs = append(addrs, netip.AddrPortFrom(p.Addr, h.Entry.Port()))
		}
	}
	if len(addrs) > maxAddrs {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		addrs = addrs[:maxAddrs]
	}
	return addrs
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	addrs := h.Addrs()
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
