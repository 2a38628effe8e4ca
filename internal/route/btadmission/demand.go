package btadmission

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
	"bramleytack/internal/route/btreturn"
)

const (
	// maxWaiting, maxTenants and maxTold bound a Demand, and with it its message.
	maxWaiting = 8
	maxTenants = 16
	maxTold    = 32
	// demandValidity is how long the demand of another daemon counts without a newer one.
	demandValidity = time.Second
	// refreshPeriod is the least time between two sums of all demands.
	refreshPeriod = 50 * time.Millisecond
)

// class is a rank of a service.
type class struct {
	service uint32
	rank    int
}

// Waiting is what waits of one rank of a service.
type Waiting struct {
	Service uint32
	Rank    int
	// Memory and Prompt are the tokens that the requests will hold and have to read.
	Memory int
	Prompt int
}

// TenantUse is what the requests of a tenant hold or wait for.
type TenantUse struct {
	Tenant uint32
	Memory int
}

// Demand is what a daemon tells the others.
type Demand struct {
	// Daemons is the number of daemons at which the requests wait, zero if it is the demand of
	// one daemon.
	Daemons int
	Waiting []Waiting
	Tenants []TenantUse
	// Told are the callers that this daemon has told to come back since it last said so.
	Told []btreturn.Told
}

type peerDemand struct {
	at     time.Time
	demand Demand
}

// addWaiting adds a request to what waits here, or takes it off. The caller holds the lock.
func (c *Controller) addWaiting(v *Visit, sign int) {
	k := class{hashOf(v.r.Service), v.r.Rank}
	w := c.own[k]
	w.Service, w.Rank = k.service, k.rank
	w.Memory += sign * v.r.Memory
	w.Prompt += sign * v.r.Prompt
	if w.Memory <= 0 && w.Prompt <= 0 {
		delete(c.own, k)
		return
	}
	c.own[k] = w
}

func (c *Controller) addTenant(tenant uint32, tokens int) {
	if c.tenants[tenant] += tokens; c.tenants[tenant] <= 0 {
		delete(c.tenants, tenant)
	}
}

// Demand returns what the other daemons need to know, and reports whether there is
// anything: a request waits here, did so at the last call, or callers were told to come
// back. Of many tenants it has the largest.
func (c *Controller) Demand() (d Demand, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.own {
		d.Waiting = append(d.Waiting, w)
	}
	d.Told = c.returns.Untold(maxTold, c.timer.Now())
	waits := len(d.Waiting) > 0
	ok, c.toldWaiting = waits || c.toldWaiting || len(d.Told) > 0, waits
	slices.SortFunc(d.Waiting, func(a, b Waiting) int { return cmp.Compare(a.Rank, b.Rank) })
	d.Waiting = d.Waiting[:min(len(d.Waiting), maxWaiting)]
	if ok || c.peersWait() {
		// Fair shares depend on the tenants of all daemons while any request waits.
		ok = true
		d.Tenants = largestTenants(c.tenants, maxTenants)
	}
	return d, ok
}

// peersWait reports whether requests wait at other daemons.
func (c *Controller) peersWait() bool {
	now := c.timer.Now()
	for _, p := range c.peers {
		if p.fresh(now) && len(p.demand.Waiting) > 0 {
			return true
		}
	}
	d, _ := c.hubs.fullest(now)
	return len(d.Waiting) > 0
}

// SetPeer replaces the demand of another daemon.
func (c *Controller) SetPeer(h bramleytack.HostID, d Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	c.peers[h] = peerDemand{at: now, demand: d}
	c.returns.Learn(d.Told[:min(len(d.Told), maxTold)], now)
}

// SetOthers replaces the demand of all other daemons as a hub tells it.
func (c *Controller) SetOthers(hub bramleytack.HostID, d Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	c.hubs[hub] = peerDemand{at: now, demand: d}
	c.returns.Learn(d.Told[:min(len(d.Told), maxTotalTold)], now)
}

// sums is the demand of all daemons at a time.
type sums struct {
	at      time.Time
	waiting map[class]Waiting
	tenants map[uint32]int
	// daemons is the number of daemons at which requests wait.
	daemons int
	// fair is the use up to which a tenant is not above its fair share.
	fair int
}

// refresh returns the sums, at most refreshPeriod old. The caller holds the lock.
func (c *Controller) refresh(now time.Time) *sums {
	if now.Sub(c.sums.at) < refreshPeriod && c.sums.waiting != nil {
		return &c.sums
	}
	all := newTotal()
	for h, p := range c.peers {
		if !p.fresh(now) {
			delete(c.peers, h)
			continue
		}
		all.add(p.demand, 1)
	}
	if d, ok := c.hubs.fullest(now); ok {
		all.add(d, 1)
	}
	own := Demand{}
	for _, w := range c.own {
		own.Waiting = append(own.Waiting, w)
	}
	for t, m := range c.tenants {
		own.Tenants = append(own.Tenants, TenantUse{t, m})
	}
	all.add(own, 1)
	s := sums{at: now, waiting: all.waiting, tenants: all.tenants, daemons: all.daemons}
	s.fair = s.fairShare()
	c.sums = s
	return &c.sums
}

// waitingFor returns what waits for the service of a request, of a rank and of the more urgent
// ones. own is set if the request itself waits. It is not counted then.
func (s *sums) waitingFor(r Request, rank int, own bool) Waiting {
	var sum Waiting
	service := hashOf(r.Service)
	for k, w := range s.waiting {
		if k.service == service && k.rank <= rank {
			sum.Memory += w.Memory
			sum.Prompt += w.Prompt
		}
	}
	if own {
		sum.Memory, sum.Prompt = max(sum.Memory-r.Memory, 0), max(sum.Prompt-r.Prompt, 0)
	}
	return sum
}

// fairShare returns the use of a tenant at which all tenants that want more are alike if what
// waits is not served: the max-min share of what runs. Without waiting requests it is the
// largest use.
func (s *sums) fairShare() int {
	total, waiting := 0, 0
	uses := make([]int, 0, len(s.tenants))
	for _, m := range s.tenants {
		uses = append(uses, m)
		total += m
	}
	for _, w := range s.waiting {
		waiting += w.Memory
	}
	slices.Sort(uses)
	left := max(total-waiting, 0)
	for i, m := range uses {
		part := left / (len(uses) - i)
		if m > part {
			return part
		}
		left -= m
	}
	if len(uses) == 0 {
		return 0
	}
	return uses[len(uses)-1]
}

// above reports whether a tenant is above its fair share while requests wait.
func (s *sums) above(tenant uint32) bool {
	return len(s.waiting) > 0 && len(s.tenants) > 1 && s.tenants[tenant] > s.fair
}

// State is what an operator sees of admission at a daemon.
type State struct {
	// Waiting is what waits here, All what waits at all daemons as far as this one knows.
	Waiting []Waiting `json:"waiting"`
	All     []Waiting `json:"all"`
	// HoldSeconds is the mean time for which generations hold memory, ReadPerMilli the tokens
	// that an engine reads in a millisecond.
	HoldSeconds  float64 `json:"holdSeconds"`
	ReadPerMilli float64 `json:"readPerMilli"`
	// Expected is the number of callers that were told to come back, FairTokens the use up to
	// which a workspace is within its fair share.
	Expected   int `json:"expected"`
	FairTokens int `json:"fairTokens"`
}

// State returns the current state.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.refresh(c.timer.Now())
	out := State{HoldSeconds: c.hold.value(0), ReadPerMilli: c.readPerMilli(), Expected: c.returns.Len(), FairTokens: s.fair}
	for _, w := range c.own {
		out.Waiting = append(out.Waiting, w)
	}
	for _, w := range s.waiting {
		out.All = append(out.All, w)
	}
	return out
}

const (
	// offerPeriod is the time for which an engine is offered to the same daemons. Loads of
	// other daemons arrive within it.
	offerPeriod = 40 * time.Millisecond
	// offersPerEngine is the number of daemons to which an engine is offered at a time, of
	// those at which requests wait.
	offersPerEngine = 2.0
)

// Offered reports whether this daemon may use an engine now. While requests wait at many
// daemons, an engine that gets room is offered to a few of them at a time, in turns: all of
// them would see it free and send to it before they learn of each other's requests.
func (c *Controller) Offered(engine bramleytack.UpstreamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	daemons := c.refresh(now).daemons
	if float64(daemons) <= offersPerEngine {
		return true
	}
	slice := now.UnixNano() / int64(offerPeriod)
	draw := xxhash.Sum64String(string(c.Host) + "/" + string(engine) + "/" + strconv.FormatInt(slice, 36))
	return float64(draw>>11)/(1<<53) < offersPerEngine/float64(daemons)
}
