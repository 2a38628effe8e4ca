package btfault

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/bttimer"
	"bramleytack/internal/bthttptest"
)

// fixture is a server whose responses are five tokens of two bytes, with a
// comment before each.
type fixture struct {
	*httptest.Server
	faults  *Switch
	effects atomic.Int32
	crashes atomic.Int32
	cond    atomic.Pointer[Condition]
}

func newFixture(t *testing.T) *fixture {
	timers := bttimer.New(1)
	f := &fixture{}
	f.faults = &Switch{Timer: timers, Target: f}
	f.Server = httptest.NewUnstartedServer(f.faults.Middleware(f))
	f.Listener = f.faults.Listen(f.Listener)
	f.Start()
	t.Cleanup(func() {
		f.CloseClientConnections()
		f.Close()
		timers.Close()
	})
	return f
}

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.effects.Add(1)
	for i := range 5 {
		if _, err := fmt.Fprintf(w, ":"); err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "%s%d", r.URL.Query().Get("id"), i); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (f *fixture) Crash()                   { f.crashes.Add(1) }
func (f *fixture) Restart()                 {}
func (f *fixture) BecomeCold()              {}
func (f *fixture) SetCondition(c Condition) { f.cond.Store(&c) }

// get returns the body without comments and the error of the call or its body.
func (f *fixture) get(ctx context.Context, path string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := f.Client().Do(r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		err = errNoEnd
	}
	return strings.ReplaceAll(string(body), ":", ""), err
}

var errNoEnd = fmt.Errorf("neither length nor end marker")

const whole = "x0x1x2x3x4"

// Guards against a fault that has another effect than its name says, or that
// outlives its number of requests.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fault   Fault
		body    string
		fails   bool
		effects int32
		crashes int32
	}{
		"none":                {body: whole, effects: 1},
		"other path":          {fault: Fault{Path: "/other", LoseReply: true}, body: whole, effects: 1},
		"other method":        {fault: Fault{Method: "PUT", LoseReply: true}, body: whole, effects: 1},
		"cut at a token":      {fault: Fault{Cut: &Point{Tokens: 2}}, body: "x0x1", fails: true, effects: 1},
		"cut at a byte":       {fault: Fault{Cut: &Point{Bytes: 3}}, body: "x0x", fails: true, effects: 1},
		"cut at the start":    {fault: Fault{Cut: &Point{}}, fails: true, effects: 1},
		"truncate":            {fault: Fault{Truncate: &Point{Bytes: 5}}, body: "x0x1x", fails: true, effects: 1},
		"truncate at a token": {fault: Fault{Truncate: &Point{Tokens: 1}}, body: "x0", fails: true, effects: 1},
		"lose reply":          {fault: Fault{LoseReply: true}, fails: true, effects: 1},
		"duplicate":           {fault: Fault{DuplicateToken: 2}, body: "x0x1x1x2x3x4", effects: 1},
		"refuse":              {fault: Fault{Refuse: &Refuse{}}, body: `{"notRun"true,"reason""fault"}` + "\n"},
		"refuse untyped":      {fault: Fault{Refuse: &Refuse{Untyped: true}}, body: `{"notRun"false,"reason""fault"}` + "\n"},
		"crash":               {fault: Fault{CrashAt: &Point{Tokens: 4}}, body: "x0x1x2x3", fails: true, effects: 1, crashes: 1},
		"refuse connections":  {fault: Fault{RefuseConnections: true}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			test.fault.Requests = 1
			f.faults.Set(test.fault)
			body, err := f.get(t.Context(), "/?id=x")
			assert.Equal(t, body, test.body)
			assert.Equal(t, err != nil, test.fails, "error %v", err)
			assert.Equal(t, f.effects.Load(), test.effects)
			assert.Equal(t, f.crashes.Load(), test.crashes)
			if test.fault.Path == "" && test.fault.Method == "" {
				body, err = f.get(t.Context(), "/?id=x")
				assert.NilError(t, err)
				assert.Equal(t, body, whole)
			}
		})
	}
}

// Guards against a frozen response that ends, or that has the wrong length.
func TestFreeze(t *testing.T) {
	for name, test := range map[string]struct {
		fault   Fault
		body    string
		effects int32
	}{
		"before the effect": {fault: Fault{Freeze: true}},
		"after the effect":  {fault: Fault{FreezeAt: &Point{}}, effects: 1},
		"mid-stream":        {fault: Fault{FreezeAt: &Point{Tokens: 3}}, body: "x0x1x2", effects: 1},
	} {
		bthttptest.Fake(t, name, func(t *testing.T, timers *bttimer.Service) {
			f := &fixture{faults: &Switch{Timer: timers}}
			f.faults.Set(test.fault)
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			w := bthttptest.Call(f.faults.Middleware(f), bthttptest.Request(ctx, "GET", "/?id=x", ""))
			assert.Assert(t, w.Aborted)
			assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
			assert.Equal(t, strings.ReplaceAll(w.Body.String(), ":", ""), test.body)
			assert.Equal(t, f.effects.Load(), test.effects)
		})
	}
	t.Run("open connections only", func(t *testing.T) {
		f := newFixture(t)
		_, err := f.get(t.Context(), "/?id=x")
		assert.NilError(t, err)
		f.faults.Set(Fault{FreezeOpen: true})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err = f.get(ctx, "/?id=x")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, f.effects.Load(), int32(1))
		f.Client().CloseIdleConnections()
		body, err := f.get(t.Context(), "/?id=x")
		assert.NilError(t, err)
		assert.Equal(t, body, whole)
	})
}

// Guards against crossed answers that are mixed instead of swapped.
func TestCross(t *testing.T) {
	f := newFixture(t)
	f.faults.Set(Fault{Cross: true, Requests: 2})
	bodies := make(chan string, 1)
	go func() {
		body, _ := f.get(t.Context(), "/?id=a")
		bodies <- body
	}()
	body, err := f.get(t.Context(), "/?id=b")
	assert.NilError(t, err)
	assert.Equal(t, body, "a0a1a2a3a4")
	assert.Equal(t, <-bodies, "b0b1b2b3b4")
}

// Guards against delays that are missing, and against a fault that outlasts
// its time.
func TestTimes(t *testing.T) {
	for name, test := range map[string]struct {
		fault Fault
		want  time.Duration
	}{
		"late":          {Fault{Late: 3 * time.Second}, 3 * time.Second},
		"slow":          {Fault{Slow: time.Second}, 5 * time.Second},
		"cross, alone":  {Fault{Cross: true}, crossWait},
		"for some time": {Fault{Late: 3 * time.Second, For: time.Second}, 0},
	} {
		bthttptest.Fake(t, name, func(t *testing.T, timers *bttimer.Service) {
			f := &fixture{faults: &Switch{Timer: timers}}
			f.faults.Set(test.fault)
			time.Sleep(test.fault.For)
			begin := time.Now()
			w := httptest.NewRecorder()
			f.faults.Middleware(f).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/?id=x", nil))
			assert.Equal(t, time.Since(begin), test.want)
			assert.Equal(t, strings.ReplaceAll(w.Body.String(), ":", ""), whole)
		})
	}
}

// Guards against a control endpoint that loses a condition, hides the
// remaining requests or takes a misspelled fault.
func TestControl(t *testing.T) {
	f := newFixture(t)
	put := func(body string) (int, string) {
		w := bthttptest.Call(f.Config.Handler, bthttptest.Request(t.Context(), http.MethodPut, ControlPath, body))
		return w.Code, strings.TrimSpace(w.Body.String())
	}
	const fault = `{"requests":2,"duplicateToken":1,"memoryLimit":7}`
	status, answer := put(fault)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer, fault)
	assert.Equal(t, f.cond.Load().MemoryLimit, 7)
	_, err := f.get(t.Context(), "/?id=x")
	assert.NilError(t, err)
	assert.Equal(t, f.faults.Fault().Requests, 1)
	_, err = f.get(t.Context(), "/?id=x")
	assert.NilError(t, err)
	assert.DeepEqual(t, f.faults.Fault(), Fault{Condition: Condition{MemoryLimit: 7}})
	status, _ = put(`{"loseReplies":true}`)
	assert.Equal(t, status, http.StatusBadRequest)
	_, _ = put(`{"crash":true}`)
	assert.Equal(t, f.crashes.Load(), int32(1))
}

func FuzzDecodeFault(f *testing.F) {
	f.Add(`{"cut":{"tokens":5},"requests":1,"late":5}`)
	f.Add(`{"crash":true,"memoryLimit":-1}`)
	f.Fuzz(func(t *testing.T, data string) {
		fault, err := DecodeFault(strings.NewReader(data))
		if err != nil {
			assert.DeepEqual(t, fault, Fault{})
		}
	})
}
