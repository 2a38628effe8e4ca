package btclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btfront"
	"bramleytack/bttimer"
)

const total = 5

// entry is a scripted entry of a deployment.
type entry struct {
	// cut breaks the connection of a stream after so many tokens. Negative
	// never does.
	cut int
	// fail answers with an error in place of a stream or a call.
	fail  *bramleytack.Error
	calls atomic.Int32
	list  func() []netip.AddrPort
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		_ = json.NewEncoder(w).Encode(map[string]any{"entries": e.list(), "validFor": "1h"})
		return
	}
	e.calls.Add(1)
	switch {
	case e.fail != nil:
		w.Header().Set("Content-Type", btfront.ErrorContentType)
		w.Header().Set(btfront.HeaderOutcome, e.fail.Outcome.String())
		w.WriteHeader(e.fail.Code.Status())
		fmt.Fprintf(w, `{"error":{"code":%q,"message":"x","outcome":%q}}`, e.fail.Code, e.fail.Outcome)
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		w.Header().Set(btfront.HeaderOutcome, "ran")
	default:
		e.stream(w, r)
	}
}

func (e *entry) stream(w http.ResponseWriter, r *http.Request) {
	from := 0
	if s := r.URL.Query().Get("from"); s != "" {
		_, _ = fmt.Sscan(s, &from)
	}
	w.Header().Set(btfront.HeaderGenerationToken, "tok")
	for i := from; i < total; i++ {
		if i == e.cut {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d \"}}]}\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

// Guards against a client that loses or repeats tokens when an entry dies, or
// that repeats a call which may have run.
func TestClient(t *testing.T) {
	t.Run("a cut stream goes on at another entry", func(t *testing.T) {
		for cut := range total + 1 {
			c := newClient(t, &entry{cut: cut}, &entry{cut: -1})
			text := ""
			result, err := c.Generate(t.Context(), Prompt{Model: "m", Text: "x"}, func(tok bramleytack.Token) error {
				text += tok.Text
				return nil
			})
			assert.NilError(t, err)
			assert.Equal(t, text, "0 1 2 3 4 ")
			assert.Equal(t, result.Tokens, total)
			assert.Equal(t, result.FinishReason, "stop")
		}
	})
	for _, c := range []struct {
		name    string
		outcome bramleytack.Outcome
		code    bramleytack.Code
		key     string
		repeats bool
	}{
		{"not run", bramleytack.NotRun, bramleytack.CodeOverloaded, "", true},
		{"unknown without a key", bramleytack.Unknown, bramleytack.CodeUpstreamFailed, "", false},
		{"unknown with a key", bramleytack.Unknown, bramleytack.CodeUpstreamFailed, "k", true},
		{"final refusal", bramleytack.NotRun, bramleytack.CodeForbidden, "k", false},
	} {
		t.Run("a call that was "+c.name, func(t *testing.T) {
			second := &entry{cut: -1}
			client := newClient(t, &entry{fail: bramleytack.NewError(c.code, c.outcome, "x")}, second)
			_, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "p", Key: c.key})
			assert.Equal(t, err == nil, c.repeats, "error: %v", err)
			assert.Equal(t, second.calls.Load() > 0, c.repeats)
		})
	}
	t.Run("an entry that is gone is avoided", func(t *testing.T) {
		second := &entry{cut: -1}
		client := newClient(t, second, second)
		client.entries = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
		client.until = client.Timer.Now().Add(1 << 40)
		_, err := client.Call(t.Context(), Call{Service: "s", Method: http.MethodGet, Path: "p"})
		assert.NilError(t, err)
	})
}

// newClient returns a client that uses the entries in turn.
func newClient(t *testing.T, entries ...*entry) *Client {
	t.Helper()
	var addrs []netip.AddrPort
	for _, e := range entries {
		e.list = func() []netip.AddrPort { return addrs }
		s := httptest.NewUnstartedServer(e)
		s.Config.ErrorLog = nil
		s.Start()
		t.Cleanup(s.Close)
		addrs = append(addrs, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	}
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	next := -1
	return &Client{Seeds: addrs, Key: "key", Timer: timers, Pick: func(n int) int {
		next++
		return next % n
	}}
}
