package btroute

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleytack"
	"bramleytack/bttimer"

	"gotest.tools/v3/assert"
)

type fixedSnapshot struct{ s *bramleytack.Snapshot }

func (f fixedSnapshot) Snapshot() *bramleytack.Snapshot { return f.s }

// ledger is an Owner that records open grants.
type ledger struct {
	open     map[bramleytack.GrantID]bool
	offered  []bramleytack.UpstreamID
	requests []bramleytack.RequestID
	releases []bramleytack.Release
	suspects int
	mu       sync.Mutex
	refuse   map[bramleytack.UpstreamID]error
}

func (l *ledger) Reserve(_ context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	l.offered = append(l.offered, r.Upstream)
	l.requests = append(l.requests, r.Request)
	if r.Suspect {
		l.suspects++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.refuse[r.Upstream]; err != nil {
		return bramleytack.Grant{}, err
	}
	l.open[r.Grant] = true
	return bramleytack.Grant{ID: r.Grant, Upstream: r.Upstream}, nil
}

func (l *ledger) Release(_ context.Context, r bramleytack.Release) error {
	delete(l.open, r.Grant)
	l.releases = append(l.releases, r)
	return nil
}

type nullReply struct{ opened, tokens int }

func (n *nullReply) Open(bramleytack.Opening) error      { n.opened++; return nil }
func (n *nullReply) Token(bramleytack.Token) error       { n.tokens++; return nil }
func (n *nullReply) Close(bramleytack.Completion) error  { return nil }
func (n *nullReply) Respond(*bramleytack.Response) error { return nil }
func upstreams(ids ...bramleytack.UpstreamID) *bramleytack.Snapshot {
	s := &bramleytack.Snapshot{
		Models:         map[string]*bramleytack.Model{"m": {Name: "m"}},
		Services:       map[string]*bramleytack.ServiceRecord{"s": {Name: "s", IdempotentMethods: []string{"PUT"}}},
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{"d": {Name: "d", State: bramleytack.DomainActive}},
		Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{},
		ByModel:        map[string][]*bramleytack.Upstream{},
		ByService:      map[string][]*bramleytack.Upstream{},
	}
	for _, id := range ids {
		u := &bramleytack.Upstream{ID: id, FailureDomain: "d", ColdLimit: 1, WarmLimit: 8, MemoryTokens: 1000}
		s.Upstreams[id] = u
		s.ByModel["m"] = append(s.ByModel["m"], u)
		s.ByService["s"] = append(s.ByService["s"], u)
	}
	return s
}

// Guards against a second run of a call that must run once, a repeat after
// tokens reached the client, a reservation that is never released, and a
// "not run" outcome after an attempt that may have run.
func TestFilterRepeats(t *testing.T) {
	fail := func(o bramleytack.Outcome) error {
		return bramleytack.NewError(bramleytack.CodeUpstreamFailed, o, "failed")
	}
	token := func(w bramleytack.ResponseWriter) {
		_ = w.Open(bramleytack.Opening{})
		_ = w.Token(bramleytack.Token{})
	}
	for _, c := range []struct {
		name     string
		request  bramleytack.Request
		errs     []error
		deliver  bool
		attempts int
		outcome  bramleytack.Outcome
	}{
		{"generate after notRun", bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}, []error{fail(bramleytack.NotRun), fail(bramleytack.NotRun), nil}, false, 3, bramleytack.Ran},
		{"generate after unknown once", bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}, []error{fail(bramleytack.Unknown), fail(bramleytack.Ran)}, false, 2, bramleytack.Ran},
		{"notRun after unknown stays unknown", bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}, []error{fail(bramleytack.Unknown), fail(bramleytack.NotRun), fail(bramleytack.NotRun), fail(bramleytack.NotRun)}, false, 4, bramleytack.Unknown},
		{"generate after a token", bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}, []error{fail(bramleytack.Ran)}, true, 1, bramleytack.Ran},
		{"POST after notRun", bramleytack.Request{Kind: bramleytack.Call, Service: "s", Method: "POST"}, []error{fail(bramleytack.NotRun), nil}, false, 2, bramleytack.Ran},
		{"POST after unknown", bramleytack.Request{Kind: bramleytack.Call, Service: "s", Method: "POST"}, []error{fail(bramleytack.Unknown)}, false, 1, bramleytack.Unknown},
		{"GET after unknown", bramleytack.Request{Kind: bramleytack.Call, Service: "s", Method: "GET"}, []error{fail(bramleytack.Unknown), nil}, false, 2, bramleytack.Ran},
		{"listed method after ran", bramleytack.Request{Kind: bramleytack.Call, Service: "s", Method: "PUT"}, []error{fail(bramleytack.Ran), nil}, false, 2, bramleytack.Ran},
		{"plain error may have run", bramleytack.Request{Kind: bramleytack.Call, Service: "s", Method: "POST"}, []error{context.DeadlineExceeded}, false, 1, bramleytack.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, owner := newFilter(t, upstreams("a", "b", "c", "d"))
				attempts := 0
				next := bramleytack.HandlerFunc(func(_ context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
					attempts++
					assert.Equal(t, r.Attempt, attempts)
					if c.deliver {
						token(w)
					} else {
						_ = w.Open(bramleytack.Opening{})
					}
					return c.errs[attempts-1]
				})
				w := &nullReply{}
				err := f.Handle(t.Context(), &c.request, w, next)
				assert.Equal(t, attempts, c.attempts)
				assert.Equal(t, bramleytack.OutcomeOf(err), c.outcome)
				assert.Equal(t, len(owner.open), 0)
				assert.Equal(t, len(owner.releases), c.attempts)
				assertDistinct(t, owner.offered)
			})
		})
	}
}

// Guards against the place of a generation being given away that its upstream has
// not named yet and therefore nobody can cancel.
func TestUnnamedGenerationIsAbandoned(t *testing.T) {
	for _, test := range []struct {
		name      string
		open      bool
		err       error
		abandoned bool
	}{
		{"caller left before the name", false, context.Canceled, true},
		{"caller left after the name", true, context.Canceled, false},
		{"refused", false, bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full"), false},
		{"complete", true, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, owner := newFilter(t, upstreams("a"))
				next := bramleytack.HandlerFunc(func(_ context.Context, _ *bramleytack.Request, w bramleytack.ResponseWriter) error {
					if test.open {
						_ = w.Open(bramleytack.Opening{})
					}
					return test.err
				})
				_ = f.Handle(t.Context(), &bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}, &nullReply{}, next)
				assert.Equal(t, owner.releases[0].Abandoned, test.abandoned)
			})
		})
	}
}

// Guards against giving up, or failing with a wrong outcome, when owners
// refuse or do not answer; and against a suspect that runs beside others.
func TestFilterReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner := newFilter(t, upstreams("a", "b", "c"))
		owner.refuse = map[bramleytack.UpstreamID]error{
			"a": bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full"),
			"c": context.DeadlineExceeded,
		}
		r := &bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}
		ok := bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error { return nil })
		assert.NilError(t, f.Handle(t.Context(), r, &nullReply{}, ok))
		assert.Equal(t, r.Target.Upstream.ID, bramleytack.UpstreamID("b"))
		assert.Equal(t, len(owner.releases), 2, "the reservation without an answer is released too")

		owner.refuse["b"] = context.DeadlineExceeded
		err := f.Handle(t.Context(), r, &nullReply{}, ok)
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)

		owner.refuse = nil
		crash := bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error {
			return bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Unknown, "crashed")
		})
		assert.Assert(t, f.Handle(t.Context(), r, &nullReply{}, crash) != nil)
		assert.Equal(t, owner.suspects, 1)

		// A suspect waits for one upstream that drains.
		owner.offered = nil
		full := bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full")
		owner.refuse = map[bramleytack.UpstreamID]error{"a": full, "b": full, "c": full}
		r.Suspect = true
		go func() {
			_ = f.Timer.Sleep(t.Context(), 5*time.Second)
			owner.mu.Lock()
			defer owner.mu.Unlock()
			owner.refuse = nil
		}()
		assert.NilError(t, f.Handle(t.Context(), r, &nullReply{}, ok))
		for _, id := range owner.offered {
			assert.Equal(t, id, owner.offered[0])
		}
	})
}

// Guards against new work on an upstream of a domain that is out of service
// and against quarantined requests that run.
func TestFilterCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := upstreams("a")
		f, owner := newFilter(t, s)
		r := &bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}
		assertRefused := func(code bramleytack.Code) {
			t.Helper()
			e := bramleytack.AsError(f.Handle(t.Context(), r, &nullReply{}, nil))
			assert.Equal(t, e.Code, code)
			assert.Equal(t, e.Outcome, bramleytack.NotRun)
			assert.Equal(t, len(owner.offered), 0)
		}
		s.Upstreams["a"].Cell = "other"
		assertRefused(bramleytack.CodeNoUpstream)
		s.Upstreams["a"].Cell = ""
		s.FailureDomains["d"].State = bramleytack.DomainOut
		assertRefused(bramleytack.CodeNoUpstream)
		s.Quarantined = map[string]bool{r.Fingerprint().String(): true}
		assertRefused(bramleytack.CodeQuarantined)
		s.Quarantined = nil
		r.Model = "other"
		assertRefused(bramleytack.CodeUnknownModel)
	})
}

// Guards against reservations under another name than the load report of the
// engine uses, which would count each request twice.
func TestReservationHasTheAttemptsName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner := newFilter(t, upstreams("a", "b"))
		r := &bramleytack.Request{ID: "r", Kind: bramleytack.Generate, Model: "m"}
		var sent []bramleytack.RequestID
		refuse := bramleytack.HandlerFunc(func(_ context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
			sent = append(sent, r.AttemptID())
			return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full")
		})
		assert.Assert(t, f.Handle(t.Context(), r, &nullReply{}, refuse) != nil)
		assert.Assert(t, len(sent) > 1)
		assert.DeepEqual(t, owner.requests, sent)
	})
}

func newFilter(t testing.TB, s *bramleytack.Snapshot) (*Filter, *ledger) {
	t.Helper()
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	owner := &ledger{open: map[bramleytack.GrantID]bool{}}
	return &Filter{
		Snapshots: fixedSnapshot{s},
		Owner:     owner,
		Timer:     timers,
		Loads:     &Loads{},
		Policy:    &RoundRobin{},
		Retry:     &Backoff{Timer: timers},
	}, owner
}

func assertDistinct(t *testing.T, ids []bramleytack.UpstreamID) {
	t.Helper()
	seen := map[bramleytack.UpstreamID]bool{}
	for _, id := range ids {
		assert.Assert(t, !seen[id], "%s was offered the request twice", id)
		seen[id] = true
	}
}
