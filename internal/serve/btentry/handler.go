package btentry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/btidentity"
	"bramleytack/btretry"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btforecast"
	"bramleytack/internal/upstream/btconn"
)

const (
	// defaultBody bounds a body while the configuration names no limit.
	defaultBody = 4 << 20
	// maxBuffered bounds the bodies that are held at once.
	maxBuffered = 24 << 20
	// startingPause is the advice to callers of a daemon without configuration.
	startingPause = 400 * time.Millisecond
)

// Handler serves callers.
type Handler struct {
	Table    *btreplica.Table
	Accounts *btaccount.Table
	Pool     *btconn.Pool
	Dialect  bramleytack.FleetDialect
	Mover    bramleytack.EngineMover
	Timer    bramleytack.Timer
	Log      *btevent.Logger
	Metrics  *Metrics
	Budget   *btretry.Budget
	Lengths  *btforecast.Lengths
	// Leaving says whether the daemon is shutting down.
	Leaving func() bool

	active   atomic.Int64
	buffered atomic.Int64
}

// Active returns the number of requests that are being served.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	j := &job{h: h, w: w, id: r.Header.Get(h.Dialect.RequestID), received: h.Timer.Now()}
	if h.Leaving != nil && h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if !j.admit(r) {
		return
	}
	defer h.buffered.Add(-int64(len(j.body)))
	ctx, cancel := context.WithDeadlineCause(r.Context(), j.deadline, errDeadline)
	defer cancel()
	h.Budget.Request(j.service)
	if j.route.Streaming {
		j.stream(ctx)
		return
	}
	j.call(ctx)
}

// errDeadline ends a request whose time is up.
var errDeadline = errors.New("btentry: deadline has passed")

// job is one request on its way.
type job struct {
	h        *Handler
	w        http.ResponseWriter
	s        *bramleytack.Snapshot
	route    *bramleytack.Route
	service  string
	id       string
	received time.Time
	// deadline is the end of the route's timeout or of the caller's patience,
	// whichever is first.
	deadline  time.Time
	workspace bramleytack.WorkspaceID
	method    string
	target    string
	host      string
	header    http.Header
	body      []byte
	need      btaccount.Need
	// expected is the delay that the last chosen upstream is expected to have.
	expected time.Duration
	sends    int
}

// admit reads a request and finds its route and its workspace. It answers the
// request itself if that fails.
func (j *job) admit(r *http.Request) bool {
	h := j.h
	j.s = h.Table.Snapshot()
	if j.s == nil {
		j.refuse(http.StatusServiceUnavailable, startingPause, "no configuration yet")
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	j.route = j.s.Routes.Find(r.Host, path)
	if j.route == nil {
		j.refuse(http.StatusNotFound, 0, "no route")
		return false
	}
	if !j.identify(r) {
		j.refuse(http.StatusUnauthorized, 0, "unknown API key")
		return false
	}
	j.method, j.target, j.host = r.Method, r.RequestURI, r.Host
	j.service = j.route.Service(rand.Float64())
	j.setDeadline(r)
	j.setHeader(r)
	j.need = j.readNeed(r.Header)
	return j.readBody(r)
}

func (j *job) identify(r *http.Request) bool {
	if len(j.s.Workspaces) == 0 {
		return true
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	var w *bramleytack.Workspace
	if strings.EqualFold(scheme, "Bearer") {
		w = j.s.ByKeyHash[btidentity.HashKey(strings.TrimSpace(key))]
	}
	if w == nil {
		return j.route.Public
	}
	j.workspace = w.Name
	return true
}

func (j *job) setDeadline(r *http.Request) {
	j.deadline = j.received.Add(j.route.Timeout)
	ms, err := strconv.ParseInt(r.Header.Get(j.h.Dialect.DeadlineMillis), 10, 64)
	if err != nil || ms < 0 {
		return
	}
	if d := j.received.Add(time.Duration(ms) * time.Millisecond); j.route.Timeout <= 0 || d.Before(j.deadline) {
		j.deadline = d
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func (j *job) setHeader(r *http.Request) {
	j.header = r.Header.Clone()
	dropHopHeaders(j.header)
	for _, name := range j.h.Dialect.Reserved {
		j.header.Del(name)
	}
	if j.workspace != "" {
		j.header.Set(j.h.Dialect.Workspace, string(j.workspace))
	}
}

func dropHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// readNeed reads the size of a generation from its headers.
func (j *job) readNeed(header http.Header) btaccount.Need {
	h := j.h
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
	return btaccount.Need{Prompt: in, Output: h.Lengths.Forecast(j.route.Name, hint, out), MaxOutput: out}
}

func (j *job) readBody(r *http.Request) bool {
	limit := int64(j.s.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		j.refuse(http.StatusRequestEntityTooLarge, 0, "body is too large")
		return false
	}
	if j.h.buffered.Load()+max(r.ContentLength, 0) > maxBuffered {
		j.refuse(http.StatusServiceUnavailable, startingPause, "too many bodies in memory")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		j.refuse(http.StatusRequestEntityTooLarge, 0, "body is too large")
		return false
	case err != nil:
		j.log(btevent.CallerLeft).Err(err).Send()
		return false
	}
	j.body = body
	j.h.buffered.Add(int64(len(body)))
	return true
}

// left returns the time until the deadline.
func (j *job) left() time.Duration { return j.deadline.Sub(j.h.Timer.Now()) }

// log starts a line about the request.
func (j *job) log(e btevent.Event) *zerologEvent {
	line := j.h.Log.Event(e).Str("request", j.id).Dur("after", j.h.Timer.Now().Sub(j.received))
	if j.route != nil {
		line = line.Str("route", j.route.Name)
	}
	return line
}

// refuse answers with a status of the system's own.
func (j *job) refuse(status int, retryAfter time.Duration, reason string) {
	j.log(btevent.RequestRejected).Int("status", status).Int("sends", j.sends).Str("reason", reason).Send()
	j.h.Metrics.rejected(status, reason)
	header := j.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if j.id != "" {
		header.Set(j.h.Dialect.RequestID, j.id)
	}
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	j.w.WriteHeader(status)
	_, _ = io.WriteString(j.w, reason+"\n")
}

// copyHeader passes a response's header on.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	dropHopHeaders(to)
	if _, ok := from["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		to["Content-Type"] = nil
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
}
