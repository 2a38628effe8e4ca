package btentry

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/btidentity"
	"bramleytack/btretry"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/node/btlistener"
	"bramleytack/internal/node/btmemory"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btadmission"
	"bramleytack/internal/route/btforecast"
	"bramleytack/internal/route/btgrant"
	"bramleytack/internal/route/btpace"
	"bramleytack/internal/route/btreturn"
	"bramleytack/internal/route/btrollout"
	"bramleytack/internal/route/btsuspect"
	"bramleytack/internal/upstream/btconn"
)

const (
	// daemonRetryAfter is the Retry-After value if the daemon keeps too many request
	// bodies in memory, and the least one if it has no configuration yet.
	daemonRetryAfter = 400 * time.Millisecond
	// maxConfigRetryAfter and configRetryShare bound the Retry-After value of a daemon
	// without a configuration, absolutely and by a share of the caller's deadline. Most
	// callers return only once.
	maxConfigRetryAfter = 3 * time.Second
	configRetryShare    = 0.2
	// lastWriteTime is the time after a request's deadline in which its caller has to take
	// what is written.
	lastWriteTime = time.Second
)

// Handler serves callers over HTTP. Its fields are set before the first request.
// Suspects, Grants, Admission, Rollouts, Paces, Mover, Log, Metrics, Memory, Leaving and Accepts may be nil.
type Handler struct {
	Table    *btreplica.Table
	Accounts *btaccount.Table
	Suspects *btsuspect.Table
	Grants   *btgrant.Table
	Rollouts *btrollout.Table
	Paces    *btpace.Table
	Pool     *btconn.Pool
	Dialect  bramleytack.FleetDialect
	Mover    bramleytack.EngineMover
	Timer    bramleytack.Timer
	Log      *btevent.Logger
	Metrics  *Metrics
	Budget   *btretry.Budget
	Lengths  *btforecast.Lengths
	// Admission decides about generations under overload. Nil admits all.
	Admission *btadmission.Controller
	// Memory bounds the bytes that are kept of requests and responses.
	Memory *btmemory.Budget
	// ShareLeaving tells other daemons that an upstream has said that it is leaving. Nil
	// tells none.
	ShareLeaving func(u *bramleytack.Upstream)
	// Leaving reports whether the daemon is shutting down. Responses then close
	// their connection.
	Leaving func() bool
	// Accepts reports whether a request that arrived at a time is accepted that should take
	// some more time, and takes another one at most, as far as the end of the daemon is
	// concerned. Nil means that all are.
	Accepts func(arrived time.Time, expected, longest time.Duration) bool
	// FinishAt returns the time at which Finish ends at the latest, and reports whether the
	// daemon is leaving. Nil means that it is not.
	FinishAt func() (time.Time, bool)
	// Finish ends when requests whose callers have got no byte have to be answered, because
	// the daemon ends soon after. Nil never ends.
	Finish context.Context

	// pace is learned from the streams of this daemon.
	pace     btforecast.Pace
	requests activeSet
	waiting  waitingRooms
	ranks    rankCache
	// unconfiguredSince is the Unix time in nanoseconds of the first request that came
	// before the configuration, zero without one.
	unconfiguredSince atomic.Int64
	crashes           crashDetector
	// admissionLogged is for log lines about requests that admission rejected.
	admissionLogged btevent.Pace
}

// Active returns the number of requests that are being served. It is safe for
// concurrent use.
func (h *Handler) Active() int {
	h.requests.mu.Lock()
	defer h.requests.mu.Unlock()
	return len(h.requests.requests)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &activeRequest{h: h, w: w, id: r.Header.Get(h.Dialect.RequestID), received: h.Timer.Now()}
	req.progress.since = req.received
	req.connCloses = func() bool { return btlistener.Closes(r.Context()) }
	req.keepAlive = func() string { return btlistener.KeepAlive(r.Context()) }
	btlistener.Identify(r.Context(), req.id)
	h.requests.add(req)
	defer h.requests.remove(req)
	defer req.answerPanic()
	// The body counts from its first byte on, also if the request is rejected.
	opened := req.openAccount(r)
	if req.closeAccount != nil {
		defer req.closeAccount()
	}
	req.unread = h.Memory.Open(btmemory.Callers, req.dropCaller)
	defer req.unread.Close()
	if !opened {
		req.reject(http.StatusServiceUnavailable, daemonRetryAfter, "too many requests in memory")
		return
	}
	if !req.admit(r) {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), req.deadline, errDeadline)
	defer cancel()
	conn := http.NewResponseController(w)
	_ = conn.SetWriteDeadline(req.deadline.Add(lastWriteTime))
	// The deadline must not bind the next request of the connection.
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	ctx, req.finish = context.WithCancelCause(ctx)
	defer req.finish(nil)
	if h.Finish != nil {
		req.release = context.AfterFunc(h.Finish, req.daemonEnds)
		defer req.release()
	}
	if req.route.Streaming {
		req.beginTimer = time.AfterFunc(req.beginBy.Sub(h.Timer.Now()), req.beginOverdue)
		defer req.beginTimer.Stop()
	}
	h.Budget.Request(req.service)
	req.progress.reach(stageChoosing, h.Timer.Now())
	if req.route.Streaming {
		req.stream(ctx)
		return
	}
	req.call(ctx)
}

// errDeadline is the cancellation cause of a request that reaches its deadline.
var errDeadline = errors.New("btentry: deadline has passed")

// activeRequest is the state of one request while it is served.
type activeRequest struct {
	h *Handler
	w http.ResponseWriter
	// connCloses reports whether the caller's connection closes after the response.
	connCloses func() bool
	// keepAlive returns what the response says of how long that stays open.
	keepAlive func() string

	snapshot  *bramleytack.Snapshot
	route     *bramleytack.Route
	service   string
	id        string
	received  time.Time
	progress  progress
	execution execution
	stops     stopOrders
	// finish ends the request's context. release undoes that the end of the daemon does.
	finish  context.CancelCauseFunc
	release func() bool
	// beginTimer ends the request of a stream at beginBy.
	beginTimer *time.Timer
	// begun is set once the caller gets a first byte.
	begun atomic.Bool
	// outlasts is set if no upstream was asked because the request would not have ended
	// before the daemon.
	outlasts bool
	// deadline is the end of the route's timeout or the caller's own deadline,
	// whichever is earlier. For a call it is beginBy.
	deadline time.Time
	// callerDeadline is the caller's own deadline, or the same without one.
	callerDeadline time.Time
	// beginBy is when a caller that has got no byte is told that the request fails: before it
	// leaves, or at the end of the route's timeout.
	beginBy   time.Time
	workspace bramleytack.WorkspaceID
	method    string
	target    string
	host      string
	// caller is the address of the caller's end of the connection.
	caller string
	header http.Header
	body   []byte
	// kept counts the body, and unread what the caller has not been sent yet of responses.
	kept   *btmemory.Account
	unread *btmemory.Account
	// closeAccount closes kept, unless that belongs to the connection.
	closeAccount func()
	need         btaccount.Need
	// parts are the ids of the shared parts of the prompt.
	parts []string
	// ownKeys is set by keys.
	keysOnce sync.Once
	ownKeys  []btsuspect.Key
	// quarantinedKey is the key for which the request is rejected, empty unless it is.
	quarantinedKey string
	// expectedDelay is the delay that was expected of the last chosen upstream.
	expectedDelay time.Duration
	// choice is which versions of the upstreams the request may go to. It is set by eligible, perhaps
	// while a segment of the request reads it.
	choice atomic.Pointer[btrollout.Choice]
	// visit is the request's place in admission, or nil. unreadAhead is the number of prompt
	// tokens that its engine had to read before it, and refusal why it was rejected, or nil.
	visit       *btadmission.Visit
	unreadAhead int
	refusal     *btadmission.Decision
	// limitedSends counts the sends that an upstream's limit did not allow.
	limitedSends int
	// turnedAway is set if the call got no place in time, returnIn is when one is expected.
	turnedAway bool
	returnIn   time.Duration
	// place is that of the call's newest attempt, or nil.
	place *place
	// returned is set if the caller was told before to return.
	returned bool
	// fullAt are the upstreams that have rejected the call because they were full, returns
	// how often. It is not sent again before againAt.
	fullAt  map[bramleytack.UpstreamID]bool
	returns int
	againAt time.Time
	// returnAwaited is set once the call waits for the return of an upstream.
	returnAwaited bool
	// missed are the upstreams that the call did not reach.
	missed map[bramleytack.UpstreamID]bool
	// answered is set once the caller may have got a part of the response.
	answered bool
	// attempts counts the attempts that have ended or were replaced by another one,
	// without those that reached no upstream or another instance.
	attempts int
}

// admit finds the request's route and workspace and reads its headers and body.
// If it returns false, the request is finished: it was rejected, or its caller
// has disconnected.
func (req *activeRequest) admit(r *http.Request) bool {
	h := req.h
	req.snapshot = h.Table.Snapshot()
	if req.snapshot == nil {
		req.reject(http.StatusServiceUnavailable, req.configRetryAfter(r), "no configuration yet")
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req.route = req.snapshot.Routes.Find(r.Host, path)
	if req.route == nil {
		req.reject(http.StatusNotFound, 0, "no route")
		return false
	}
	if !req.authenticate(r) {
		req.reject(http.StatusUnauthorized, 0, "unknown API key")
		return false
	}
	req.method, req.target, req.host, req.caller = r.Method, r.RequestURI, r.Host, r.RemoteAddr
	req.service = req.route.Service(rand.Float64())
	req.setDeadline(r)
	req.setHeader(r)
	req.need = req.readNeed(r.Header)
	req.parts = readParts(r.Header.Get(h.Dialect.PromptParts))
	if !req.readBody(r) {
		return false
	}
	// Until here the request may make room for others.
	if !req.takeHead(r) {
		req.reject(http.StatusServiceUnavailable, daemonRetryAfter, "too many requests in memory")
		return false
	}
	if !req.endsInTime() {
		return false
	}
	if req.quarantined() {
		req.rejectQuarantined()
		return false
	}
	return true
}

// configRetryAfter returns the Retry-After value while there is no configuration. A
// daemon that has waited for one for long must expect to wait as long again.
func (req *activeRequest) configRetryAfter(r *http.Request) time.Duration {
	now := req.received.UnixNano()
	req.h.unconfiguredSince.CompareAndSwap(0, now)
	d := max(daemonRetryAfter, time.Duration(now-req.h.unconfiguredSince.Load()))
	d = min(btreturn.Spread(d), maxConfigRetryAfter)
	if ms, err := strconv.ParseInt(r.Header.Get(req.h.Dialect.DeadlineMillis), 10, 64); err == nil && ms > 0 {
		d = min(d, time.Duration(configRetryShare*float64(ms)*float64(time.Millisecond)))
	}
	return d
}

// authenticate sets the workspace that the request's API key belongs to. It
// reports whether the request is allowed: a public route needs no key, and neither
// does any route while keys are optional.
func (req *activeRequest) authenticate(r *http.Request) bool {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	var w *bramleytack.Workspace
	if strings.EqualFold(scheme, "Bearer") {
		w = req.snapshot.ByKeyHash[btidentity.HashKey(strings.TrimSpace(key))]
	}
	if w == nil {
		return req.route.Public || req.snapshot.KeysOptional
	}
	req.workspace = w.Name
	return true
}

// headerFieldCost is what a field of a header takes besides its text, in bytes.
const headerFieldCost = 100

// headerSize returns the size in memory of a request's header, in bytes.
func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		size += headerFieldCost + len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// setHeader prepares the header for the upstream. Headers that are reserved for
// the daemon are removed, so that callers cannot forge them.
func (req *activeRequest) setHeader(r *http.Request) {
	// The lists of values are never changed, and a copy would take as much again.
	req.header = maps.Clone(r.Header)
	removeHopByHopHeaders(req.header)
	for _, name := range req.h.Dialect.Reserved {
		req.header.Del(name)
	}
	if req.workspace != "" {
		req.header.Set(req.h.Dialect.Workspace, string(req.workspace))
	}
}

func removeHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// readNeed reads the size of a generation from its headers. It returns the zero
// Need if they are missing or invalid.
func (req *activeRequest) readNeed(header http.Header) btaccount.Need {
	h := req.h
	prompt, output, ok := strings.Cut(header.Get(h.Dialect.TokenCounts), ",")
	if !ok {
		return btaccount.Need{}
	}
	in, err := strconv.Atoi(strings.TrimSpace(prompt))
	out, err2 := strconv.Atoi(strings.TrimSpace(output))
	if err != nil || err2 != nil || in < 0 || out < 0 {
		return btaccount.Need{}
	}
	hint, err := strconv.Atoi(header.Get(h.Dialect.LengthHint))
	if err != nil {
		hint = 0
	}
	need := btaccount.Need{Prompt: in, Output: h.Lengths.Forecast(req.route.Name, hint, out), MaxOutput: out}
	if req.route.Streaming {
		need.Target, need.MaxPause = req.route.TargetLatency, req.route.MaxPause
	}
	return need
}

// dropCaller ends a response whose caller does not read it: what is not written yet fails.
func (req *activeRequest) dropCaller() {
	// Only a connection without deadlines returns an error.
	_ = http.NewResponseController(req.w).SetWriteDeadline(time.Unix(1, 0))
}

// remaining returns the time until the deadline.
func (req *activeRequest) remaining() time.Duration { return req.deadline.Sub(req.h.Timer.Now()) }

// log starts a log entry about the request.
func (req *activeRequest) log(e btevent.Event) *logEvent {
	line := req.h.Log.Event(e).Str("request", req.id).Dur("after", req.h.Timer.Now().Sub(req.received))
	if req.route != nil {
		line = line.Str("route", req.route.Name)
	}
	return line
}

// reject answers the request with an error of the daemon. The reason becomes the
// response body and a metric label.
func (req *activeRequest) reject(status int, retryAfter time.Duration, reason string) {
	if promisesNotRun(status) && !req.execution.reject() {
		req.execution.logTo(req.log(btevent.RejectionWithheld)).Int("status", status).Str("reason", reason).Send()
		status, retryAfter = http.StatusBadGateway, 0
	}
	req.execution.logTo(req.log(btevent.RequestRejected)).Int("status", status).Int("sends", req.attempts).Str("reason", reason).Str("key", req.quarantinedKey).Send()
	req.h.Metrics.rejected(status, reason)
	req.writeError(status, retryAfter, reason)
}

// writeError sends a response of the daemon.
func (req *activeRequest) writeError(status int, retryAfter time.Duration, reason string) {
	header := req.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if req.id != "" {
		header.Set(req.h.Dialect.RequestID, req.id)
	}
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	req.writeHead(status)
	_, _ = io.WriteString(req.w, reason+"\n")
}

// copyHeader copies an upstream's response header to the caller's response.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	removeHopByHopHeaders(to)
	if _, ok := from["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a type.
		to["Content-Type"] = nil
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
}
