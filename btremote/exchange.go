package btremote

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"bramleytack"
	"bramleytack/btconfig"
	"bramleytack/bthost"
	"bramleytack/btlimit"
	"bramleytack/btowner"
	"bramleytack/btpeer"
	"bramleytack/btroute"
	"bramleytack/btview"
	"bramleytack/btwire"
)

const (
	// exchangesPerSecond is the rate at which a member starts exchanges. The period
	// for one peer grows with the cell, so that the cost for a member does not.
	exchangesPerSecond = 6
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// stateValidity is how long a peer's state is used after the last exchange.
	stateValidity = 15 * time.Second
)

// State is the state that a member sends to its peers.
type State struct {
	Host          bramleytack.HostID          `json:"host"`
	EntryAddr     netip.AddrPort              `json:"entryAddr"`
	AdminAddr     netip.AddrPort              `json:"adminAddr"`
	FailureDomain bramleytack.FailureDomainID `json:"failureDomain"`
	Cell          bramleytack.CellID          `json:"cell"`
	Uptime        string                      `json:"uptime"`
	// Ready is set while the member can serve new callers.
	Ready    bool            `json:"ready"`
	Draining bool            `json:"draining"`
	Config   btconfig.Digest `json:"config"`
	View     uint64          `json:"view"`
	Streams  int             `json:"streams"`
	Queued   int             `json:"queued"`
	// Seen is the time of the last exchange by the clock of this daemon.
	Seen time.Time `json:"seen"`
}

// Exchange keeps the states of all members of the cell. Each member calls the
// others in turn. The request and the reply of an exchange each carry the state of
// their sender.
type Exchange struct {
	Self       bramleytack.HostID
	Node       *btpeer.Node
	Cell       *btview.Cell
	Timer      bramleytack.Timer
	Table      *btowner.Table
	Loads      *btroute.Loads
	Limiter    *btlimit.Limiter
	ConfigSync *ConfigSync
	Hosts      *bthost.Watcher
	// OwnState returns this member's state.
	OwnState func() State

	mu        sync.Mutex
	states    map[bramleytack.HostID]State
	peerIndex int
}

// Register registers the handler for exchanges.
func (e *Exchange) Register(mux *btpeer.Mux) { btpeer.Handle(mux, e.handle) }

// Run exchanges states until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	tick := e.Timer.Every(time.Second/exchangesPerSecond, time.Second/exchangesPerSecond/4)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			e.exchangeNext(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// States returns this member's state and those of the peers whose last exchange is
// recent enough, sorted by host.
func (e *Exchange) States() []State {
	now := e.Timer.Now()
	own := e.OwnState()
	own.Seen = now
	list := []State{own}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.states {
		if now.Sub(s.Seen) < stateValidity {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b State) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return list
}

// Period returns the time between two exchanges that this member starts with the
// same peer.
func (e *Exchange) Period() time.Duration {
	return time.Duration(max(len(e.peers()), 1)) * time.Second / exchangesPerSecond
}

// Forget drops the states of hosts that are not members of the view.
func (e *Exchange) Forget(v *btview.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for host := range e.states {
		if !slices.ContainsFunc(v.Members, func(m btview.Member) bool { return m.Host == host }) {
			delete(e.states, host)
		}
	}
}

func (e *Exchange) peers() []bramleytack.HostID {
	v := e.Cell.View()
	if v == nil {
		return nil
	}
	var peers []bramleytack.HostID
	for _, m := range v.Members {
		if m.Host != e.Self {
			peers = append(peers, m.Host)
		}
	}
	return peers
}

// exchangeNext exchanges states with the next peer.
func (e *Exchange) exchangeNext(ctx context.Context) {
	peers := e.peers()
	if len(peers) == 0 {
		return
	}
	e.peerIndex++
	host := peers[e.peerIndex%len(peers)]
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := btpeer.Call[btwire.Exchange, btwire.Exchange](ctx, e.Node, host, e.encodeState())
	if err != nil {
		return
	}
	e.applyState(host, reply)
	e.ConfigSync.Reconcile(ctx, host, digestOf(reply))
}

func (e *Exchange) handle(_ context.Context, from bramleytack.HostID, m *btwire.Exchange) (*btwire.Exchange, error) {
	e.applyState(from, m)
	return e.encodeState(), nil
}

func (e *Exchange) applyState(host bramleytack.HostID, m *btwire.Exchange) {
	now := e.Timer.Now()
	entry, _ := netip.ParseAddrPort(m.GetEntryAddr())
	admin, _ := netip.ParseAddrPort(m.GetAdminAddr())
	e.mu.Lock()
	if e.states == nil {
		e.states = map[bramleytack.HostID]State{}
	}
	e.states[host] = State{
		Host: host, EntryAddr: entry, AdminAddr: admin, FailureDomain: bramleytack.FailureDomainID(m.GetFailureDomain()),
		Draining: m.GetDraining(), Config: digestOf(m), View: m.GetViewNumber(), Streams: int(m.GetStreams()), Seen: now,
		Cell: e.Cell.Name, Ready: m.GetReady(), Queued: int(m.GetQueued()), Uptime: m.GetUptime().AsDuration().String(),
	}
	e.mu.Unlock()
	for _, d := range m.GetUpstreams() {
		e.Loads.SetDigest(now, decodeDigest(d, now))
	}
	demands := map[bramleytack.WorkspaceID]btlimit.Demand{}
	for _, d := range m.GetDemands() {
		demands[bramleytack.WorkspaceID(d.GetWorkspace())] = btlimit.Demand{
			RequestsPerSecond: d.GetRequestsPerSecond(), Concurrency: d.GetConcurrency(),
		}
	}
	e.Limiter.Receive(now, host, demands)
	e.Hosts.MergePeerReport(decodeAddrs(m.GetLeavingHosts()))
	e.ConfigSync.ObserveRevision(host, bramleytack.Revision(m.GetConfigRevision()))
}

func (e *Exchange) encodeState() *btwire.Exchange {
	now := e.Timer.Now()
	own := e.OwnState()
	uptime, _ := time.ParseDuration(own.Uptime)
	m := &btwire.Exchange{
		Uptime: durationpb.New(uptime),
		Host:   string(e.Self), EntryAddr: own.EntryAddr.String(), AdminAddr: own.AdminAddr.String(),
		FailureDomain: string(own.FailureDomain), Draining: own.Draining,
		ConfigRevision: uint64(own.Config.Revision), ConfigHash: own.Config.Hash,
		ViewNumber: own.View, Streams: int64(own.Streams), Ready: own.Ready, Queued: int64(own.Queued),
	}
	for _, a := range e.Hosts.ListedLeaving() {
		m.LeavingHosts = append(m.LeavingHosts, a.String())
	}
	for _, d := range e.Table.Digests() {
		m.Upstreams = append(m.Upstreams, encodeDigest(d, now))
	}
	for ws, d := range e.Limiter.Demands(now) {
		m.Demands = append(m.Demands, &btwire.WorkspaceDemand{
			Workspace: string(ws), RequestsPerSecond: d.RequestsPerSecond, Concurrency: d.Concurrency,
		})
	}
	return m
}

func digestOf(m *btwire.Exchange) btconfig.Digest {
	return btconfig.Digest{Revision: bramleytack.Revision(m.GetConfigRevision()), Hash: m.GetConfigHash()}
}

func decodeAddrs(list []string) []netip.Addr {
	var addrs []netip.Addr
	for _, text := range list {
		if a, err := netip.ParseAddr(text); err == nil {
			addrs = append(addrs, a)
		}
	}
	return addrs
}
