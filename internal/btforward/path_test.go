package btforward

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btdispatch"
	"bramleytack/btfront"
	"bramleytack/btidentity"
	"bramleytack/bttimer"
	"bramleytack/bttoken"
	"bramleytack/btupstream"
	"bramleytack/internal/btmemstore"
)

// The load of the benchmark: as many paced streams as one daemon carries at the
// design size in tokens a second.
const (
	streams = 200
	tokens  = 100
	pace    = 15 * time.Millisecond
)

const apiKey = "key"

// BenchmarkPath reports the processor time that each way adds to a token and
// their ratio.
func BenchmarkPath(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(serveEngine))
	defer engine.Close()
	forward := httptest.NewServer(&Forwarder{Target: engine.URL, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	defer forward.Close()
	relay := newRelay(b, engine.URL)
	defer relay.Close()
	var forwardNS, relayNS, ratio, forwardB, relayB []float64
	var last [2]cost
	for range b.N {
		direct := measure(b, engine.URL+"/v1/generations", engineBody)
		forwarded := measure(b, forward.URL+"/v1/generations", engineBody)
		relayed := measure(b, relay.URL+"/v1/chat/completions", chatBody)
		last = [2]cost{direct, relayed}
		added := func(c cost) float64 { return float64(c.cpu-direct.cpu) / (streams * tokens) }
		forwardNS = append(forwardNS, added(forwarded))
		relayNS = append(relayNS, added(relayed))
		ratio = append(ratio, added(relayed)/added(forwarded))
		perToken := func(c cost) float64 { return float64(c.bytes-direct.bytes) / (streams * tokens) }
		forwardB = append(forwardB, perToken(forwarded))
		relayB = append(relayB, perToken(relayed))
	}
	b.ReportMetric(median(forwardNS), "forward-ns/token")
	b.ReportMetric(median(relayNS), "relay-ns/token")
	b.ReportMetric(median(ratio), "relay/forward")
	b.ReportMetric(median(forwardB), "forward-B/token")
	b.ReportMetric(median(relayB), "relay-B/token")
	b.ReportMetric(float64(last[1].goroutines-last[0].goroutines)/streams, "relay-goroutines/stream")
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// Guards against a baseline that does less than copy the whole stream.
func TestForwarder(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(serveEngine))
	defer engine.Close()
	forward := httptest.NewServer(&Forwarder{Target: engine.URL, Client: http.DefaultClient})
	defer forward.Close()
	assert.Equal(t, read(t, forward.URL+"/v1/generations", engineBody("r0", 3)), 3)
}

// Guards against an answer that breaks off and looks whole behind the forwarder.
func TestForwarderBreaksOff(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer engine.Close()
	forward := httptest.NewServer(&Forwarder{Target: engine.URL, Client: http.DefaultClient})
	defer forward.Close()
	resp, err := http.Get(forward.URL + "/")
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.Check(t, err != nil, "the answer looks whole")
}

// cost is what a run used.
type cost struct {
	cpu        time.Duration
	bytes      uint64
	goroutines int
}

func measure(b *testing.B, url string, body func(id string, n int) string) cost {
	b.Helper()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpu()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			if n := read(b, url, body(fmt.Sprint("r", i), tokens)); n != tokens {
				b.Errorf("%d tokens in place of %d", n, tokens)
			}
		})
	}
	time.Sleep(tokens * pace / 2)
	goroutines := runtime.NumGoroutine()
	wg.Wait()
	used := cpu() - start
	runtime.ReadMemStats(&after)
	return cost{cpu: used, bytes: after.TotalAlloc - before.TotalAlloc, goroutines: goroutines}
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// read counts the events of a stream that hold a token.
func read(t testing.TB, url, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	n := 0
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return n
		}
		text := string(line)
		if strings.HasPrefix(text, "data: {") && !strings.Contains(text, `"done":true`) && !strings.Contains(text, `"usage"`) {
			n++
		}
	}
}

// serveEngine streams paced tokens. The number of tokens is maxTokens.
func serveEngine(w http.ResponseWriter, r *http.Request) {
	var req bramleytack.GenerationRequest
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	tick := time.NewTicker(pace)
	defer tick.Stop()
	for i := range req.MaxTokens {
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "data: {\"requestId\":%q,\"generation\":\"g\",\"index\":%d,\"text\":\"token \"}\n\n", req.ID, i)
		_ = flush.Flush()
	}
	fmt.Fprintf(w, "data: {\"requestId\":%q,\"generation\":\"g\",\"done\":true,\"finishReason\":\"stop\",\"tokens\":%d}\n\n", req.ID, req.MaxTokens)
}

func engineBody(id string, n int) string {
	return fmt.Sprintf(`{"id":%q,"model":"m","prompt":"hello","maxTokens":%d}`, id, n)
}

func chatBody(_ string, n int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, n)
}

// newRelay serves the request path of a daemon with one upstream.
func newRelay(t testing.TB, engine string) *httptest.Server {
	t.Helper()
	timers := bttimer.New(1)
	u := &bramleytack.Upstream{
		ID: "e", Kind: bramleytack.KindEngine, FailureDomain: "d", State: bramleytack.UpstreamActive,
		Addr: netip.MustParseAddrPort(strings.TrimPrefix(engine, "http://")),
	}
	ws := &bramleytack.Workspace{Name: "w", Priority: bramleytack.Interactive}
	s := fixed{&bramleytack.Snapshot{
		Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{u.ID: u},
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{"d": {Name: "d", State: bramleytack.DomainActive}},
		ByKeyHash:      map[string]*bramleytack.Workspace{btidentity.HashKey(apiKey): ws},
	}}
	keys := &bttoken.Keyring{Store: btmemstore.New(), Timer: timers}
	assert.NilError(t, keys.Load(context.Background()))
	path := bramleytack.Chain(
		&btdispatch.Dispatcher{Snapshots: s, Upstreams: btupstream.NewPool(btupstream.Options{}), Tokens: keys, Timer: timers},
		&btidentity.Filter{Snapshots: s, Timer: timers},
		target{u, timers},
	)
	front := &btfront.Front{RequestHandler: path, Timer: timers}
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = front.Server()
	srv.Start()
	return srv
}

type fixed struct{ s *bramleytack.Snapshot }

func (f fixed) Snapshot() *bramleytack.Snapshot { return f.s }

// target gives each request the one upstream.
type target struct {
	upstream *bramleytack.Upstream
	timer    bramleytack.Timer
}

func (f target) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	r.Attempt = 1
	r.Target = bramleytack.Target{Upstream: f.upstream, Grant: bramleytack.Grant{ValidUntil: f.timer.Now().Add(time.Second)}}
	return next.Handle(ctx, r, w)
}
