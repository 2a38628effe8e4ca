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
	// maxAddrs bounds the addresses of an answer.
	maxAddrs = 64
	// validity is how long callers may keep an answer. Asking is cheap, and a
	// daemon that leaves must keep serving for three times as long.
	validity = time.Second
)

// Encoder writes an answer in the callers' format.
type Encoder func(addrs []netip.AddrPort, validity time.Duration) any

// Handler answers callers.
type Handler struct {
	// Peers returns the other daemons that are alive.
	Peers func() []btgossip.Peer
	// Entry is this daemon's address for callers. The port is the same at all.
	Entry  netip.AddrPort
	Ready  func() bool
	Encode Encoder
	// MaxValidity bounds the validity that callers honour. Zero means no bound.
	MaxValidity time.Duration
	Log         *btevent.Logger
}

// Addrs returns the entry addresses to use, none if no daemon is ready.
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
		h.Log.Event(btevent.CallerLeft).Err(err).Send()
	}
}
