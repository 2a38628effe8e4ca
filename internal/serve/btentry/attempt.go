package btentry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/upstream/btconn"
)

// maxAnswer bounds a response that is held until it is complete.
const maxAnswer = 16 << 20

// errForeign is a response to another request.
var errForeign = errors.New("btentry: response belongs to another request")

// reply is what came of sending a request to an upstream.
type reply struct {
	upstream *bramleytack.Upstream
	status   int
	header   http.Header
	body     []byte
	// outcome says whether the upstream ran the request.
	outcome bramleytack.Outcome
	// misdirected is set if another instance has the address.
	misdirected bool
	// unsent is set if no byte of the request left.
	unsent bool
	// unjudged is set if the upstream's failure does not count for its health yet.
	unjudged bool
	err      error
}

// usable says whether the reply is a whole response of the upstream.
func (r *reply) usable() bool { return r.err == nil && r.outcome == bramleytack.Ran }

// request builds what an upstream gets.
func (j *job) request(u *bramleytack.Upstream) *btconn.Request {
	d := j.h.Dialect
	header := j.header.Clone()
	header.Set(d.ExpectInstance, string(u.ID))
	header.Set(d.DeadlineMillis, strconv.FormatInt(max(j.left().Milliseconds(), 1), 10))
	return &btconn.Request{Method: j.method, Target: j.target, Host: j.host, Header: header, Body: j.body}
}

// open sends a request and reads the head of the response.
func (j *job) open(ctx context.Context, u *bramleytack.Upstream, r *btconn.Request) (*btconn.Exchange, error) {
	c, err := j.connect(ctx, u)
	if err != nil {
		return nil, err
	}
	x, err := c.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	if id := x.Header.Get(j.h.Dialect.RequestID); id != j.id && id != "" {
		x.Response.Close = true
		x.Close()
		return nil, errForeign
	}
	j.observe(u, x.Header)
	return x, nil
}

// connect returns a connection to an upstream. A generation that may not run
// again gets a new one: an upstream may have dropped a kept one unnoticed, and
// what was sent on it could then not be called "not run".
func (j *job) connect(ctx context.Context, u *bramleytack.Upstream) (*btconn.Conn, error) {
	if j.route.Streaming && !j.route.Repeatable() {
		return j.h.Pool.Open(ctx, u.Addr)
	}
	return j.h.Pool.Get(ctx, u.Addr)
}

// observe takes an upstream's load from its response.
func (j *job) observe(u *bramleytack.Upstream, header http.Header) {
	parts := strings.Split(header.Get(j.h.Dialect.Load), ",")
	if len(parts) < 2 {
		return
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err == nil && err2 == nil {
		j.h.Accounts.Observe(u.ID, running, waiting)
	}
}

// attempt sends the request to an upstream and reads the whole response. The
// context ends with the caller's connection.
func (j *job) attempt(ctx context.Context, u *bramleytack.Upstream, timeout time.Duration) *reply {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lease := j.h.Accounts.Begin(u.ID, j.need)
	started := j.h.Timer.Now()
	r := j.exchange(limited, u)
	health := j.health(r)
	if health == btaccount.Failed && r.usable() && j.route.Repeatable() {
		// Another upstream shows whether the request fails wherever it runs.
		health, r.unjudged = btaccount.Abandoned, true
	}
	if r.err != nil && errors.Is(ctx.Err(), context.Canceled) && j.h.Timer.Now().Sub(started) < j.usualPatience() {
		// The caller left, and the upstream was not late.
		health = btaccount.Abandoned
	}
	lease.End(health)
	j.logAttempt(r, started)
	return r
}

func (j *job) exchange(ctx context.Context, u *bramleytack.Upstream) *reply {
	r := &reply{upstream: u, outcome: bramleytack.Unknown}
	x, err := j.open(ctx, u, j.request(u))
	if err != nil {
		return r.fail(err)
	}
	defer x.Close()
	return r.read(x, j.h.Dialect)
}

func (r *reply) fail(err error) *reply {
	r.err = err
	if errors.Is(err, btconn.ErrUnsent) {
		r.outcome, r.unsent = bramleytack.NotRun, true
	}
	return r
}

// read takes the rest of a response.
func (r *reply) read(x *btconn.Exchange, d bramleytack.FleetDialect) *reply {
	r.status, r.header = x.StatusCode, x.Header
	r.body, r.err = io.ReadAll(io.LimitReader(x.Body, maxAnswer))
	if r.err == nil && !x.Complete() {
		r.err = errors.Newf("btentry: response is larger than %d bytes", maxAnswer)
	}
	switch {
	case r.status == http.StatusMisdirectedRequest:
		r.outcome, r.misdirected, r.err = bramleytack.NotRun, true, nil
	case r.header.Get(d.NotRun) != "":
		r.outcome, r.err = bramleytack.NotRun, nil
	case r.err == nil:
		r.outcome = bramleytack.Ran
	}
	return r
}

// health translates a reply for the upstream's account.
func (j *job) health(r *reply) btaccount.Outcome {
	switch {
	case r.unsent:
		return btaccount.Unreachable
	case r.misdirected:
		return btaccount.Misdirected
	case r.outcome == bramleytack.NotRun:
		return btaccount.Rejected
	case r.err != nil, r.status >= http.StatusInternalServerError:
		return btaccount.Failed
	}
	return btaccount.Served
}

func (j *job) logAttempt(r *reply, started time.Time) {
	j.log(btevent.AttemptEnded).Str("upstream", string(r.upstream.ID)).Str("service", j.service).
		Int("send", j.sends).Int("status", r.status).Stringer("outcome", r.outcome).
		Uint64("version", j.s.Version).Dur("took", j.h.Timer.Now().Sub(started)).AnErr("cause", r.err).Send()
}
