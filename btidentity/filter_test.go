package btidentity

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
)

type fixed struct{ s *bramleytack.Snapshot }

func (f fixed) Snapshot() *bramleytack.Snapshot { return f.s }

// Guards against a caller that is refused for good by a part of the
// configuration, that passes without a key, or that raises its own limits.
func TestFilter(t *testing.T) {
	ws := &bramleytack.Workspace{Name: "w", Priority: bramleytack.Standard}
	s := fixed{&bramleytack.Snapshot{ByKeyHash: map[string]*bramleytack.Workspace{HashKey("key"): ws}}}
	cases := []struct {
		name     string
		key      string
		starting bool
		priority bramleytack.Priority
		timeout  time.Duration
		code     bramleytack.Code
		want     bramleytack.Priority
		lasts    time.Duration
	}{
		{name: "valid", key: "key", priority: bramleytack.Batch, want: bramleytack.Batch, lasts: DefaultTimeout},
		{name: "priority above the workspace's", key: "key", priority: bramleytack.Interactive, want: bramleytack.Standard, lasts: DefaultTimeout},
		{name: "own timeout", key: "key", timeout: time.Second, lasts: time.Second},
		{name: "timeout above the limit", key: "key", timeout: 100 * time.Hour, lasts: DefaultMaxTimeout},
		{name: "past deadline", key: "key", timeout: -time.Second, code: bramleytack.CodeTimeout},
		{name: "wrong key", key: "kez", code: bramleytack.CodeUnauthenticated},
		{name: "no key", code: bramleytack.CodeUnauthenticated},
		{name: "configuration is loading", key: "kez", starting: true, code: bramleytack.CodeStarting},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := bttimer.New(1)
				defer timers.Close()
				complete := make(chan struct{})
				if !c.starting {
					close(complete)
				}
				f := &Filter{Snapshots: s, Timer: timers, ConfigLoaded: complete}
				r := &bramleytack.Request{Credential: c.key, Priority: c.priority, Received: timers.Now()}
				if c.timeout != 0 {
					r.Deadline = timers.Now().Add(c.timeout)
				}
				next := bramleytack.HandlerFunc(func(ctx context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
					end, _ := ctx.Deadline()
					assert.Equal(t, end.Sub(r.Received), c.lasts)
					assert.Equal(t, r.Workspace, ws.Name)
					assert.Equal(t, r.Priority, c.want)
					assert.Equal(t, r.Credential, "")
					return nil
				})
				err := f.Handle(t.Context(), r, nil, next)
				if c.code == "" {
					assert.NilError(t, err)
					return
				}
				assert.Equal(t, bramleytack.AsError(err).Code, c.code)
				assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
			})
		})
	}
}

// Guards against a restarted daemon that refuses the callers whose entry list
// is from before its restart.
func TestRequestsWaitForTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := bttimer.New(1)
		defer timers.Close()
		complete := make(chan struct{})
		ws := &bramleytack.Workspace{Name: "w"}
		s := fixed{&bramleytack.Snapshot{ByKeyHash: map[string]*bramleytack.Workspace{HashKey("key"): ws}}}
		f := &Filter{Snapshots: s, Timer: timers, ConfigLoaded: complete}
		go func() {
			time.Sleep(time.Second)
			close(complete)
		}()
		r := &bramleytack.Request{Credential: "key", Received: timers.Now()}
		ran := false
		next := bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error {
			ran = true
			return nil
		})
		assert.NilError(t, f.Handle(t.Context(), r, nil, next))
		assert.Assert(t, ran)
	})
}
