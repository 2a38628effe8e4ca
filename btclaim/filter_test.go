package btclaim

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/btmemstore"
)

type snapshots struct{}

func (snapshots) Snapshot() *bramleytack.Snapshot {
	return &bramleytack.Snapshot{Services: map[string]*bramleytack.ServiceRecord{
		"orders": {Name: "orders", IdempotentMethods: []string{http.MethodPut}},
	}}
}

// responseRecorder records the response and returns err for it.
type responseRecorder struct {
	bramleytack.ResponseWriter
	response *bramleytack.Response
	err      error
}

func (s *responseRecorder) Respond(r *bramleytack.Response) error {
	s.response = r
	return s.err
}

// backend counts the calls that it runs.
type backend struct {
	calls  int
	err    error
	onCall func()
}

func (b *backend) Handle(_ context.Context, _ *bramleytack.Request, w bramleytack.ResponseWriter) error {
	b.calls++
	if b.onCall != nil {
		b.onCall()
	}
	if b.err != nil {
		return b.err
	}
	return w.Respond(&bramleytack.Response{Status: 201, Body: []byte("order 1")})
}

func call(method, key string) *bramleytack.Request {
	return &bramleytack.Request{
		ID: "r", Kind: bramleytack.Call, Workspace: "a", Service: "orders",
		Method: method, IdempotencyKey: key, Body: []byte("two folds"),
	}
}

// Guards against a filter that runs a call twice or never.
func TestFilter(t *testing.T) {
	unknown := bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Unknown, "cut")
	overloaded := bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full")
	for name, c := range map[string]struct {
		request    *bramleytack.Request
		firstErr   error
		respondErr error
		// calls is how often the backend has run after a call and its repeat.
		// code is the error code of the repeat.
		calls int
		code  bramleytack.Code
	}{
		"replay":              {request: call("POST", "k"), calls: 1},
		"caller disconnected": {request: call("POST", "k"), respondErr: context.Canceled, calls: 1},
		"unknown outcome":     {request: call("POST", "k"), firstErr: unknown, calls: 1, code: bramleytack.CodeInProgress},
		"not run":             {request: call("POST", "k"), firstErr: overloaded, calls: 2},
		"without key":         {request: call("POST", ""), calls: 2},
		"GET":                 {request: call("GET", "k"), calls: 2},
		"HEAD":                {request: call("HEAD", "k"), calls: 2},
		"declared idempotent": {request: call("PUT", "k"), calls: 2},
		"generation":          {request: &bramleytack.Request{Kind: bramleytack.Generate, IdempotencyKey: "k"}, calls: 2},
	} {
		run(t, name, func(t *testing.T, e env) {
			f, b := &Filter{Snapshots: snapshots{}, Claims: e.shard()}, &backend{err: c.firstErr}
			_ = f.Handle(t.Context(), c.request, &responseRecorder{err: c.respondErr}, b)
			b.err = nil
			w := &responseRecorder{}
			err := f.Handle(t.Context(), c.request, w, b)
			assert.Equal(t, b.calls, c.calls)
			if c.code != "" {
				assert.Equal(t, bramleytack.AsError(err).Code, c.code)
				assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.Unknown)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(w.response.Body), "order 1")
			assert.Equal(t, w.response.Header.Get(ReplayedHeader) == "true", c.calls == 1)
		})
	}
	run(t, "store down", func(t *testing.T, e env) {
		f, b := &Filter{Snapshots: snapshots{}, Claims: e.shard()}, &backend{}
		e.store.SetFault(btmemstore.Fault{Down: true})
		err := f.Handle(t.Context(), call("POST", "k"), &responseRecorder{}, b)
		assertNotRun(t, err)
		assert.Equal(t, bramleytack.AsError(err).Code, bramleytack.CodeStoreDown)
		assert.Equal(t, b.calls, 0)
	})
	run(t, "store down after dispatch", func(t *testing.T, e env) {
		failedFinishes := 0
		f := &Filter{Snapshots: snapshots{}, Claims: e.shard()}
		f.OnFinishError = func(ClaimKey, bramleytack.RequestID, error) { failedFinishes++ }
		b := &backend{onCall: func() { e.store.SetFault(btmemstore.Fault{Down: true}) }}
		w := &responseRecorder{}
		assert.NilError(t, f.Handle(t.Context(), call("POST", "k"), w, b))
		assert.Equal(t, w.response.Status, 201)
		assert.Equal(t, failedFinishes, 1)
		e.store.SetFault(btmemstore.Fault{})
		assert.Equal(t, bramleytack.OutcomeOf(f.Handle(t.Context(), call("POST", "k"), w, b)), bramleytack.Unknown)
		assert.Equal(t, b.calls, 1)
	})
	run(t, "another body", func(t *testing.T, e env) {
		f, b := &Filter{Snapshots: snapshots{}, Claims: &Router{Count: 8, Owner: e.owner()}}, &backend{}
		assert.NilError(t, f.Handle(t.Context(), call("POST", "k"), &responseRecorder{}, b))
		other := call("POST", "k")
		other.Body = nil
		err := f.Handle(t.Context(), other, &responseRecorder{}, b)
		assert.Equal(t, bramleytack.AsError(err).Code, bramleytack.CodeKeyReused)
		assert.Equal(t, b.calls, 1)
	})
}

// owner returns a function for Router.Owner that starts a Shard for each number.
func (e env) owner() func(int) (Claims, error) {
	shards := map[int]*Shard{}
	return func(n int) (Claims, error) {
		if shards[n] == nil {
			shards[n] = e.shard()
			shards[n].Number = n
		}
		return shards[n], nil
	}
}
