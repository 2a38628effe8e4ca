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

// fixedSnapshot is a Snapshots whose snapshot never changes.
type fixedSnapshot struct{ snapshot *bramleytack.Snapshot }

func (f fixedSnapshot) Snapshot() *bramleytack.Snapshot { return f.snapshot }

// Guards against a caller that is rejected permanently while the configuration
// loads, that is accepted without a valid key, or that exceeds the limits of its
// workspace.
func TestFilter(t *testing.T) {
	ws := &bramleytack.Workspace{Name: "w", Priority: bramleytack.Standard}
	snapshots := fixedSnapshot{&bramleytack.Snapshot{ByKeyHash: map[string]*bramleytack.Workspace{HashKey("key"): ws}}}
	cases := []struct {
		name         string
		key          string
		starting     bool
		priority     bramleytack.Priority
		timeout      time.Duration
		code         bramleytack.Code
		wantPriority bramleytack.Priority
		timeLimit    time.Duration
	}{
		{name: "valid", key: "key", priority: bramleytack.Batch, wantPriority: bramleytack.Batch, timeLimit: DefaultTimeout},
		{name: "priority above the workspace's", key: "key", priority: bramleytack.Interactive, wantPriority: bramleytack.Standard, timeLimit: DefaultTimeout},
		{name: "own timeout", key: "key", timeout: time.Second, timeLimit: time.Second},
		{name: "timeout above the limit", key: "key", timeout: 100 * time.Hour, timeLimit: DefaultMaxTimeout},
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
				configLoaded := make(chan struct{})
				if !c.starting {
					close(configLoaded)
				}
				f := &Filter{Snapshots: snapshots, Timer: timers, ConfigLoaded: configLoaded}
				r := &bramleytack.Request{Credential: c.key, Priority: c.priority, Received: timers.Now()}
				if c.timeout != 0 {
					r.Deadline = timers.Now().Add(c.timeout)
				}
				next := bramleytack.HandlerFunc(func(ctx context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
					deadline, _ := ctx.Deadline()
					assert.Equal(t, deadline.Sub(r.Received), c.timeLimit)
					assert.Equal(t, r.Workspace, ws.Name)
					assert.Equal(t, r.Priority, c.wantPriority)
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

// Guards against a restarted daemon that rejects callers who cached the entry
// list before the restart, although its configuration loads within configWait.
func TestRequestsWaitForTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := bttimer.New(1)
		defer timers.Close()
		configLoaded := make(chan struct{})
		ws := &bramleytack.Workspace{Name: "w"}
		snapshots := fixedSnapshot{&bramleytack.Snapshot{ByKeyHash: map[string]*bramleytack.Workspace{HashKey("key"): ws}}}
		f := &Filter{Snapshots: snapshots, Timer: timers, ConfigLoaded: configLoaded}
		go func() {
			time.Sleep(time.Second)
			close(configLoaded)
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
