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

// recordingOwner is an Owner that records its calls and the open grants.
type recordingOwner struct {
	open     map[bramleytack.GrantID]bool
	offered  []bramleytack.UpstreamID
	requests []bramleytack.RequestID
	releases []bramleytack.Release
	suspects int
	mu       sync.Mutex
	reject   map[bramleytack.UpstreamID]error
}

func (o *recordingOwner) Reserve(_ context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	o.offered = append(o.offered, r.Upstream)
	o.requests = append(o.requests, r.Request)
	if r.Suspect {
		o.suspects++
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.reject[r.Upstream]; err != nil {
		return bramleytack.Grant{}, err
	}
	o.open[r.Grant] = true
	return bramleytack.Grant{ID: r.Grant, Upstream: r.Upstream}, nil
}

func (o *recordingOwner) Release(_ context.Context, r bramleytack.Release) error {
	delete(o.open, r.Grant)
	o.releases = append(o.releases, r)
	return nil
}

type nullWriter struct{ opened, tokens int }

func (n *nullWriter) Open(bramleytack.Opening) error      { n.opened++; return nil }
func (n *nullWriter) Token(bramleytack.Token) error       { n.tokens++; return nil }
func (n *nullWriter) Close(bramleytack.Completion) error  { return nil }
func (n *nullWriter) Respond(*bramleytack.Response) error { return nil }

// newSnapshot returns a snapshot with the model "m" and the service "s" on all
// given upstreams, which are in the failure domain "d".
func newSnapshot(ids ...bramleytack.UpstreamID) *bramleytack.Snapshot {
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
// tokens reached the caller, a reservation that is never released, and the
// outcome NotRun after an attempt that may have run.
func TestFilterRetries(t *testing.T) {
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
				f, owner := newFilter(t, newSnapshot("a", "b", "c", "d"))
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
				w := &nullWriter{}
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

// Guards against releasing the capacity of a generation that still runs and
// that nobody can cancel, because its upstream sent no opening with its name.
func TestUnopenedGenerationIsAbandoned(t *testing.T) {
	for _, test := range []struct {
		name      string
		open      bool
		err       error
		abandoned bool
	}{
		{"caller disconnects before the opening", false, context.Canceled, true},
		{"caller disconnects after the opening", true, context.Canceled, false},
		{"refused", false, bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full"), false},
		{"complete", true, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, owner := newFilter(t, newSnapshot("a"))
				next := bramleytack.HandlerFunc(func(_ context.Context, _ *bramleytack.Request, w bramleytack.ResponseWriter) error {
					if test.open {
						_ = w.Open(bramleytack.Opening{})
					}
					return test.err
				})
				_ = f.Handle(t.Context(), &bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}, &nullWriter{}, next)
				assert.Equal(t, owner.releases[0].Abandoned, test.abandoned)
			})
		})
	}
}

// Guards against a request that fails, or gets a wrong outcome, when owners
// reject reservations or do not reply, and against a suspect that is not
// reserved as one or moves to another upstream.
func TestFilterReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner := newFilter(t, newSnapshot("a", "b", "c"))
		owner.reject = map[bramleytack.UpstreamID]error{
			"a": bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full"),
			"c": context.DeadlineExceeded,
		}
		r := &bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}
		ok := bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error { return nil })
		assert.NilError(t, f.Handle(t.Context(), r, &nullWriter{}, ok))
		assert.Equal(t, r.Target.Upstream.ID, bramleytack.UpstreamID("b"))
		assert.Equal(t, len(owner.releases), 2, "the reservation without a reply must be released too")

		owner.reject["b"] = context.DeadlineExceeded
		err := f.Handle(t.Context(), r, &nullWriter{}, ok)
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)

		owner.reject = nil
		crash := bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error {
			return bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Unknown, "crashed")
		})
		assert.Assert(t, f.Handle(t.Context(), r, &nullWriter{}, crash) != nil)
		assert.Equal(t, owner.suspects, 1)

		// A suspect waits for one upstream to drain.
		owner.offered = nil
		full := bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full")
		owner.reject = map[bramleytack.UpstreamID]error{"a": full, "b": full, "c": full}
		r.Suspect = true
		go func() {
			_ = f.Timer.Sleep(t.Context(), 5*time.Second)
			owner.mu.Lock()
			defer owner.mu.Unlock()
			owner.reject = nil
		}()
		assert.NilError(t, f.Handle(t.Context(), r, &nullWriter{}, ok))
		for _, id := range owner.offered {
			assert.Equal(t, id, owner.offered[0])
		}
	})
}

// Guards against new work on an upstream of a domain that is out of service
// and against quarantined requests that run.
func TestFilterCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSnapshot("a")
		f, owner := newFilter(t, s)
		r := &bramleytack.Request{Kind: bramleytack.Generate, Model: "m"}
		assertRejected := func(code bramleytack.Code) {
			t.Helper()
			e := bramleytack.AsError(f.Handle(t.Context(), r, &nullWriter{}, nil))
			assert.Equal(t, e.Code, code)
			assert.Equal(t, e.Outcome, bramleytack.NotRun)
			assert.Equal(t, len(owner.offered), 0)
		}
		s.Upstreams["a"].Cell = "other"
		assertRejected(bramleytack.CodeNoUpstream)
		s.Upstreams["a"].Cell = ""
		s.FailureDomains["d"].State = bramleytack.DomainOut
		assertRejected(bramleytack.CodeNoUpstream)
		s.Quarantined = map[string]bool{r.Fingerprint().String(): true}
		assertRejected(bramleytack.CodeQuarantined)
		s.Quarantined = nil
		r.Model = "other"
		assertRejected(bramleytack.CodeUnknownModel)
	})
}

// Guards against reservations under another id than the engine's load report
// uses, which would count each request twice.
func TestReservationUsesAttemptID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, owner := newFilter(t, newSnapshot("a", "b"))
		r := &bramleytack.Request{ID: "r", Kind: bramleytack.Generate, Model: "m"}
		var sent []bramleytack.RequestID
		reject := bramleytack.HandlerFunc(func(_ context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
			sent = append(sent, r.AttemptID())
			return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full")
		})
		assert.Assert(t, f.Handle(t.Context(), r, &nullWriter{}, reject) != nil)
		assert.Assert(t, len(sent) > 1)
		assert.DeepEqual(t, owner.requests, sent)
	})
}

func newFilter(t testing.TB, s *bramleytack.Snapshot) (*Filter, *recordingOwner) {
	t.Helper()
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	owner := &recordingOwner{open: map[bramleytack.GrantID]bool{}}
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
