package btentry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btsuspect"
)

const (
	// inspectTimeout bounds the check of an upstream whose connection broke. It is
	// several round trips between failure domains.
	inspectTimeout = 60 * time.Millisecond
	// crashRetention is how long an instance is known to have crashed. All of its
	// connections have broken by then.
	crashRetention = 30 * time.Second
	// maxParts bounds the parts of a prompt that are considered.
	maxParts = 64
)

// verdict is what the check of an upstream showed after a connection to it broke.
type verdict uint8

const (
	// verdictCrashed upstreams refuse connections: their process has ended.
	verdictCrashed verdict = iota
	// verdictListening upstreams accept connections.
	verdictListening
	// verdictSilent upstreams do not answer in time. They may be cut off.
	verdictSilent
	// verdictLeaving upstreams were leaving or no longer registered.
	verdictLeaving
)

var verdictNames = [...]string{"crashed", "listening", "silent", "leaving"}

// String returns the verdict's name in logs and metrics.
func (v verdict) String() string { return verdictNames[v] }

// crashDetector checks upstreams whose connections broke, once for all requests that ran
// at the same instance. The zero value is ready to use.
type crashDetector struct {
	checks singleflight.Group

	mu      sync.Mutex
	crashed map[btsuspect.Crash]time.Time
}

// known reports whether a crash is known to have happened.
func (d *crashDetector) known(c btsuspect.Crash, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.crashed[c]
	return ok && now.Sub(at) < crashRetention
}

// record adds a crash and drops those that are older than crashRetention.
func (d *crashDetector) record(c btsuspect.Crash, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, at := range d.crashed {
		if now.Sub(at) >= crashRetention {
			delete(d.crashed, other)
		}
	}
	if d.crashed == nil {
		d.crashed = map[btsuspect.Crash]time.Time{}
	}
	d.crashed[c] = now
}

// inspect returns what became of an upstream after a connection to it broke. Only a
// refused connection proves a crash: a break alone may be due to the network, and a
// response may break off although its upstream runs on.
func (h *Handler) inspect(ctx context.Context, u *bramleytack.Upstream, cause error) verdict {
	crash := btsuspect.CrashOf(u)
	if h.crashes.known(crash, h.Timer.Now()) {
		return verdictCrashed
	}
	v, _, _ := h.crashes.checks.Do(strconv.FormatUint(uint64(crash), 10), func() (any, error) { return h.check(ctx, u, cause), nil })
	return v.(verdict)
}

func (h *Handler) check(ctx context.Context, u *bramleytack.Upstream, cause error) verdict {
	v := verdictLeaving
	if s := h.Table.Snapshot(); s != nil && !isLeaving(s, u) {
		switch err := h.look(ctx, u); {
		case err == nil:
			v = verdictListening
		case errors.Is(err, syscall.ECONNREFUSED):
			v = verdictCrashed
			h.crashes.record(btsuspect.CrashOf(u), h.Timer.Now())
		default:
			v = verdictSilent
		}
	}
	h.Metrics.inspected(v)
	h.Log.Event(btevent.UpstreamInspected).Str("upstream", string(u.ID)).Time("started", u.Started).Stringer("verdict", v).AnErr("cause", cause).Send()
	return v
}

// look returns nil if an upstream accepts connections. Other requests of the upstream need
// the result even if the caller of this one disconnects.
func (h *Handler) look(ctx context.Context, u *bramleytack.Upstream) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inspectTimeout)
	defer cancel()
	return h.Pool.Check(ctx, u.Addr)
}

// breakCheck is the check of an upstream at which a request broke off. It uses no field
// of the request that changes after admission.
type breakCheck struct {
	req      *activeRequest
	upstream *bramleytack.Upstream
	// events counts the events that the upstream had sent. again is set if the request had broken off
	// elsewhere before.
	events int
	again  bool
	sends  int
	cause  error
}

// run checks the upstream. If it has crashed, run makes the request a suspect and logs it.
func (b *breakCheck) run(ctx context.Context) {
	req, u := b.req, b.upstream
	if req.h.inspect(ctx, u, b.cause) != verdictCrashed {
		return
	}
	place := b.events
	if b.again {
		// How far the request gets elsewhere after its first crash tells nothing.
		place = 0
	}
	req.h.Suspects.ReportCrash(btsuspect.CrashOf(u), place, req.keys()...)
	req.log(btevent.RequestSuspected).Str("upstream", string(u.ID)).Time("started", u.Started).
		Str("fingerprint", req.fingerprint().String()).Strs("parts", req.parts).Int("events", b.events).Int("sends", b.sends).Send()
}

// quarantined reports whether the request must not be sent to an upstream.
func (req *activeRequest) quarantined() bool {
	if req.h.Suspects.Len() == 0 {
		// The keys of a large body need not be computed before it is sent.
		return false
	}
	key, yes := req.h.Suspects.Quarantined(bramleytack.RequestID(req.id), req.keys())
	if yes {
		req.quarantinedKey = key.String()
	}
	return yes
}

// mayRepeat reports whether the daemon itself may send the request to one more upstream,
// as far as crashes are concerned.
func (req *activeRequest) mayRepeat() bool {
	if req.h.Suspects.Len() == 0 {
		return true
	}
	return req.h.Suspects.MayRepeat(bramleytack.RequestID(req.id), req.keys())
}

// rejectQuarantined answers a quarantined request with a status after which callers do
// not repeat it. The request may have run before.
func (req *activeRequest) rejectQuarantined() {
	req.reject(http.StatusBadRequest, 0, "upstreams crashed when they ran such requests")
}

// keys returns what may crash upstreams: first the request's fingerprint, by which any
// daemon recognizes repeats, then the shared parts of its prompt. The caller must not
// change the slice.
func (req *activeRequest) keys() []btsuspect.Key {
	req.keysOnce.Do(func() {
		req.ownKeys = append(req.ownKeys, btsuspect.KeyOf(string(req.workspace), req.method, req.host, req.target, string(req.body)))
		for _, id := range req.parts {
			req.ownKeys = append(req.ownKeys, btsuspect.KeyOf("part", id))
		}
	})
	return req.ownKeys
}

func (req *activeRequest) fingerprint() btsuspect.Key { return req.keys()[0] }

// readParts returns the ids of the prompt's parts that requests share, which are all but
// the last, at most maxParts of them.
func readParts(list string) []string {
	entries := strings.Split(list, ",")
	var parts []string
	for _, e := range entries[:min(len(entries)-1, maxParts)] {
		id, _, _ := strings.Cut(strings.TrimSpace(e), ":")
		if id != "" {
			parts = append(parts, id)
		}
	}
	return parts
}

// checkQuarantine ends a request without any event if it has become quarantined since it
// was sent.
func (s *relay) checkQuarantine() {
	if s.done || s.headSent || !s.req.quarantined() {
		return
	}
	s.close()
	s.done = true
	s.req.rejectQuarantined()
}

// inspectBreak checks the upstream of a segment that broke off. A stream whose caller has
// got events waits for the check only if it may show that the request must not go on.
func (s *relay) inspectBreak(seg *segment, err error) {
	b := &breakCheck{req: s.req, upstream: seg.upstream, events: seg.eventCount, again: s.broken, sends: s.req.attempts, cause: err}
	s.broken = true
	if s.headSent && !s.req.h.Suspects.Awaited(s.req.keys()) {
		go b.run(s.ctx)
		return
	}
	b.run(s.ctx)
}
