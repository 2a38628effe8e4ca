package btentry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/node/btmemory"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btgrant"
	"bramleytack/internal/serve/btstream"
	"bramleytack/internal/upstream/btconn"
)

// maxResponseBytes bounds a response that is buffered until it is complete.
const maxResponseBytes = 16 << 20

// errOtherRequest is returned if a response carries the id of another request, or none
// on a connection on which a late response to an earlier request may arrive.
var errOtherRequest = errors.New("btentry: response belongs to another request")

// attemptResult is how an attempt ended.
type attemptResult struct {
	upstream *bramleytack.Upstream
	status   int
	header   http.Header
	body     []byte
	// outcome is Ran only if the whole response has arrived or, for a stream, has
	// begun, and its status does not tell callers that the request has not run.
	outcome bramleytack.Outcome
	// misdirected is set if another instance answered at the upstream's address.
	misdirected bool
	// unsent is set if no byte of the request was sent, limited besides if the upstream's
	// limit did not allow it.
	unsent  bool
	limited bool
	// conn is the connection on which the request was sent, zero if it was not.
	conn connUse
	// window is the time that the upstream was given.
	window window
	// began is when the segment of a stream began, zero for a call.
	began time.Time
	// unattributed is set if the upstream or the request itself may have caused the
	// failure. It does not count against the upstream's health yet.
	unattributed bool
	// enterUntil is the time until which the request may be sent to an upstream that has begun
	// to leave since it was chosen. It is zero unless a generation goes on from a copy there.
	enterUntil time.Time
	err        error
}

// connUse is what the log tells of the connection of an attempt.
type connUse struct {
	number uint64
	// reused is set if the connection carried a request before, again if it was this one.
	reused bool
	again  bool
}

// basis names what the outcome rests on: "unsent" or "misdirected" requests and those that the
// upstream "declared" as not run have not run. Others may have, with a "response" or "none".
func (r *attemptResult) basis() string {
	switch {
	case r.unsent:
		return "unsent"
	case r.misdirected:
		return "misdirected"
	case r.outcome == bramleytack.NotRun:
		return "declared"
	case r.status != 0 && r.err == nil:
		return "response"
	}
	return "none"
}

// usable reports whether the upstream executed the request and its whole
// response has arrived, which can be forwarded.
func (r *attemptResult) usable() bool { return r.err == nil && r.outcome == bramleytack.Ran }

// upstreamRequest returns the request to send to u. What is kept of the response's head
// counts in kept.
func (req *activeRequest) upstreamRequest(u *bramleytack.Upstream, kept *btmemory.Account) *btconn.Request {
	d := req.h.Dialect
	header := maps.Clone(req.header)
	header.Set(d.ExpectInstance, string(u.ID))
	return &btconn.Request{ID: req.id, Method: req.method, Target: req.target, Host: req.host, Header: header, Body: req.body, Kept: kept}
}

// open sends a request to the result's upstream, if its limit allows that, and reads the
// response header.
func (req *activeRequest) open(ctx context.Context, result *attemptResult, r *btconn.Request, terms btgrant.Terms) (*btconn.Exchange, error) {
	u := result.upstream
	limited := req.h.Grants.Limited(u)
	if limited && !req.permitted(ctx, u, terms) {
		return nil, errors.Mark(errLimited, btconn.ErrUnsent)
	}
	c, err := req.connect(ctx, u)
	if err != nil {
		return nil, err
	}
	if !limited && !req.permitted(ctx, u, terms) {
		// The upstream has named its limit since.
		c.Release()
		return nil, errors.Mark(errLimited, btconn.ErrUnsent)
	}
	if !req.stillAccepts(u, result.enterUntil) {
		c.Release()
		return nil, errors.Mark(errLeft, btconn.ErrUnsent)
	}
	result.window = req.window(u)
	r.Header.Set(req.h.Dialect.DeadlineMillis, strconv.FormatInt(max(result.window.end.Sub(result.window.start).Milliseconds(), 1), 10))
	use := connUse{number: c.Number(), reused: c.Reused(), again: slices.Contains(req.execution.sentOn(), c.Number())}
	if !req.execution.begin(c.Number()) {
		c.Release()
		return nil, errors.Mark(errRejected, btconn.ErrUnsent)
	}
	result.conn = use
	now := req.h.Timer.Now()
	req.execution.sent(now)
	req.progress.sent(u.ID, now)
	req.sentTo(u)
	x, err := c.Do(ctx, r)
	if err != nil {
		if errors.Is(err, btconn.ErrUnsent) {
			req.execution.ruleOut()
		}
		return nil, err
	}
	if err := req.skipExtra(c, x, r.Kept); err != nil {
		x.Response.Close = true
		x.Close()
		return nil, err
	}
	if x.StatusCode != http.StatusMisdirectedRequest {
		req.observeLoad(u, x.Header)
		req.observeLeaving(u, x.Header)
		req.observeLimit(u, x.Header)
	}
	if x.StatusCode == http.StatusServiceUnavailable {
		req.observePause(u, x.Header)
	}
	return x, nil
}

// maxExtraResponses bounds the responses to earlier requests that are skipped on a connection.
const maxExtraResponses = 4

// skipExtra reads on to the response to the request if responses to earlier requests on the
// connection come first. Any other response that has not the request's id is an error.
func (req *activeRequest) skipExtra(c *btconn.Conn, x *btconn.Exchange, kept *btmemory.Account) error {
	for n := 0; ; n++ {
		id := x.Header.Get(req.h.Dialect.RequestID)
		if id == req.id || id == "" && !c.Reused() {
			return nil
		}
		if n == maxExtraResponses || !x.IsExtra(id) {
			return errOtherRequest
		}
		req.log(btevent.ExtraResponse).Uint64("conn", c.Number()).Str("other", id).Int("status", x.StatusCode).Send()
		if err := x.Skip(kept); err != nil {
			return err
		}
	}
}

// errLeft is returned for a request whose upstream accepts no more since it was chosen.
var errLeft = errors.New("btentry: upstream accepts no work any more")

// errRejected is returned for a request whose caller has been told that it does not run.
var errRejected = errors.New("btentry: request was rejected")

// stillAccepts reports whether an upstream that was chosen before takes the request now. Until
// enterUntil, one that has begun to leave since does so, too: it holds the copy of a generation
// that has ended elsewhere, has no other way on, and leaves again from there.
func (req *activeRequest) stillAccepts(u *bramleytack.Upstream, enterUntil time.Time) bool {
	if req.h.Accounts.Paused(u) || req.h.Rollouts.Refuses(u) {
		return false
	}
	s := req.h.Table.Snapshot()
	return s.Accepts(u.ID) || req.h.Timer.Now().Before(enterUntil) && s.Serves(u.ID)
}

// connect returns a connection to an upstream on which the request was not sent before. A stream that may not be repeated
// gets a new connection: the upstream may have closed a pooled one unnoticed, and
// it would then be unknown whether it executed a request sent on it.
func (req *activeRequest) connect(ctx context.Context, u *bramleytack.Upstream) (*btconn.Conn, error) {
	if req.route.Streaming && !req.route.Repeatable() {
		return req.h.Pool.Open(ctx, u.Addr)
	}
	return req.h.Pool.Get(ctx, u.Addr, req.id, req.execution.sentOn()...)
}

// observeLeaving takes an upstream's word that it is leaving. It gets no new work then,
// and its generations are handed over.
func (req *activeRequest) observeLeaving(u *bramleytack.Upstream, header http.Header) {
	if v := strings.TrimSpace(header.Get(req.h.Dialect.Leaving)); v != "" && v != "0" {
		if req.h.Table.MarkLeaving(u) && req.h.ShareLeaving != nil {
			req.h.ShareLeaving(u)
		}
	}
}

// observePause stops this daemon's sends to an upstream that asks for a pause.
func (req *activeRequest) observePause(u *bramleytack.Upstream, header http.Header) {
	if d := retryAfter(header, req.h.Timer.Now()); d > 0 {
		req.h.Grants.Return(u, req.h.Accounts.Pause(u, d))
	}
}

// maxRetryAfterSeconds keeps the Retry-After value of an upstream from overflowing.
const maxRetryAfterSeconds = 1e6

// retryAfter returns the Retry-After value of an upstream's response: seconds, perhaps
// with a fraction, or a date. Of several values the longest counts. It returns zero without
// a valid one.
func retryAfter(header http.Header, now time.Time) time.Duration {
	var longest time.Duration
	for _, v := range header.Values("Retry-After") {
		if s, err := strconv.ParseFloat(strings.TrimSpace(v), 64); err == nil || errors.Is(err, strconv.ErrRange) {
			if s > 0 {
				longest = max(longest, time.Duration(min(s, maxRetryAfterSeconds)*float64(time.Second)))
			}
		} else if at, err := http.ParseTime(v); err == nil {
			longest = max(longest, at.Sub(now))
		}
	}
	return longest
}

// observeLoad records the load that an upstream reports in its response header.
func (req *activeRequest) observeLoad(u *bramleytack.Upstream, header http.Header) {
	parts := strings.Split(header.Get(req.h.Dialect.Load), ",")
	if len(parts) < 2 {
		return
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err == nil && err2 == nil {
		req.h.Accounts.Observe(u.ID, running, waiting)
	}
	req.observePace(u, parts)
}

// attempt sends the request to an upstream and reads the whole response. ctx is
// canceled when the caller disconnects.
func (req *activeRequest) attempt(ctx context.Context, u *bramleytack.Upstream, terms btgrant.Terms, timeout time.Duration) *attemptResult {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	check := req.checkVersion(u)
	lease := req.h.Accounts.Begin(u.ID, req.need)
	req.place.release()
	started := req.h.Timer.Now()
	r := req.exchange(limited, u, terms)
	health := req.health(r)
	if health == btaccount.Failed && r.err == nil && req.route.Repeatable() {
		// The request may fail at every upstream; a retry elsewhere shows it.
		health, r.unattributed = btaccount.Abandoned, true
	}
	if r.err != nil && (callerLeft(ctx) && req.h.Timer.Now().Sub(started) < req.lateThreshold() || endedByDaemon(ctx)) {
		// The upstream is not the cause, or the caller disconnected before it was late.
		health = btaccount.Abandoned
	}
	if health == btaccount.Served {
		req.h.Accounts.ObserveRun(u, req.h.Timer.Now().Sub(started))
	}
	lease.End(health)
	check.ended(r, health)
	req.logAttempt(r, started)
	if r.err != nil && !r.unsent && limited.Err() == nil {
		(&breakCheck{req: req, upstream: u, sends: req.attempts, cause: r.err}).run(ctx)
	}
	return r
}

func (req *activeRequest) exchange(ctx context.Context, u *bramleytack.Upstream, terms btgrant.Terms) *attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := req.h.Memory.Open(btmemory.Upstream(u.ID), cancel)
	defer kept.Close()
	r := &attemptResult{upstream: u, outcome: bramleytack.Unknown}
	x, err := req.open(ctx, r, req.upstreamRequest(u, kept), terms)
	if err != nil {
		return r.fail(err)
	}
	defer x.Close()
	return req.readResult(ctx, r, x, kept)
}

// fail records an error that came before a response.
func (r *attemptResult) fail(err error) *attemptResult {
	r.err = err
	if errors.Is(err, btconn.ErrUnsent) {
		r.outcome, r.unsent, r.limited = bramleytack.NotRun, true, errors.Is(err, errLimited)
	}
	return r
}

// readResult reads the response body, which counts in kept and then as unread by the caller,
// and sets the outcome of r.
func (req *activeRequest) readResult(ctx context.Context, r *attemptResult, x *btconn.Exchange, kept *btmemory.Account) *attemptResult {
	d := req.h.Dialect
	r.status, r.header = x.StatusCode, x.Header
	r.body, r.err = btmemory.ReadAll(x.Body, int(x.ContentLength), maxResponseBytes, kept)
	if r.err == nil && !x.Complete() {
		r.err = btmemory.ErrTooLarge
	}
	if !kept.MoveAllTo(req.unread) {
		r.body, r.err = nil, btmemory.ErrFull
	}
	switch {
	case r.status == http.StatusMisdirectedRequest:
		r.outcome, r.misdirected, r.err = bramleytack.NotRun, true, nil
	case r.header.Get(d.NotRun) != "":
		r.outcome, r.err = bramleytack.NotRun, nil
	default:
		if r.err = req.checkEnd(ctx, r, x, r.err, someContent); r.err == nil && !promisesNotRun(r.status) {
			r.outcome = bramleytack.Ran
		}
	}
	if r.outcome == bramleytack.NotRun {
		req.execution.ruleOut()
	}
	return r
}

// health returns the outcome that counts for the upstream's health.
func (req *activeRequest) health(r *attemptResult) btaccount.Outcome {
	switch {
	case r.limited, errors.Is(r.err, errLeft), errors.Is(r.err, errRejected), r.window.cutShort(req.h.Timer.Now()):
		return btaccount.Abandoned
	case r.unsent:
		return btaccount.Unreachable
	case r.misdirected:
		return btaccount.Misdirected
	case r.outcome == bramleytack.NotRun:
		return btaccount.Rejected
	case r.outcome == bramleytack.Unknown, r.status >= http.StatusInternalServerError:
		return btaccount.Failed
	}
	return btaccount.Served
}

func (req *activeRequest) logAttempt(r *attemptResult, started time.Time) {
	req.noteLimit(r.upstream, r.err)
	req.log(btevent.AttemptEnded).Str("upstream", string(r.upstream.ID)).Stringer("addr", r.upstream.Addr).Str("service", req.service).
		Uint64("conn", r.conn.number).Bool("reused", r.conn.reused).Bool("again", r.conn.again).
		Int("send", req.attempts).Int("status", r.status).Stringer("outcome", r.outcome).Str("basis", r.basis()).
		Uint64("version", req.snapshot.Version).Dur("took", req.h.Timer.Now().Sub(started)).AnErr("cause", r.err).Send()
}

// responseLimits are the limits on responses of upstreams, by their names in logs and
// metrics.
var responseLimits = map[string]error{
	"head": btconn.ErrHeadTooLarge, "body": btmemory.ErrTooLarge, "event": btstream.ErrEventTooLong, "stall": errStalled,
	"memory": btmemory.ErrFull,
}

// noteUnread logs and counts a response that was dropped because its caller did not read it.
func (req *activeRequest) noteUnread(u *bramleytack.Upstream) {
	if req.unread.Ended() {
		req.noteLimit(u, btmemory.ErrFull)
	}
}

// noteLimit logs and counts an error that is due to a limit on responses.
func (req *activeRequest) noteLimit(u *bramleytack.Upstream, err error) {
	for name, limit := range responseLimits {
		if errors.Is(err, limit) {
			req.h.Metrics.limitExceeded(name)
			req.log(btevent.ResponseLimitExceeded).Str("upstream", string(u.ID)).Str("limit", name).Send()
		}
	}
}
