package btcapacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack/btidentity"
)

const (
	// streamKey is the API key of the first workspace, which has no limits.
	streamKey = "capacity"
	// tokenPeriod gives 800 streams 11,400 tokens a second.
	tokenPeriod = 70 * time.Millisecond
	// streamTokens is more than a run takes.
	streamTokens = 30_000
	// startSpacing keeps the start of many streams from overrunning queues.
	startSpacing = 2 * time.Millisecond
	// copyBuffer is the size of a read of the bare copy.
	copyBuffer = 4 << 10
)

// Load is what the clients of a Backend have open and have received.
type Load struct {
	Open   int64 `json:"open"`
	Tokens int64 `json:"tokens"`
	Failed int64 `json:"failed"`
}

// clients opens streams and counts their tokens.
type clients struct {
	open, tokens, failed atomic.Int64
	http                 *http.Client
}

func newClients() *clients {
	return &clients{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// control starts streams and reports the counts.
func (b *Backend) control(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams", func(_ http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.FormValue("n"))
		url := "http://" + r.FormValue("to") + "/v1/chat/completions"
		for range n {
			b.wg.Go(func() { b.clients.stream(ctx, url) })
			_ = b.timers.Sleep(ctx, startSpacing)
		}
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Load{Open: b.clients.open.Load(), Tokens: b.clients.tokens.Load(), Failed: b.clients.failed.Load()})
	})
	return mux
}

// stream reads one stream to the end of the context.
func (c *clients) stream(ctx context.Context, url string) {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"fold"}],"max_tokens":%d,"stream":true}`, modelName, streamTokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		c.failed.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+streamKey)
	resp, err := c.http.Do(req)
	if err != nil {
		c.failed.Add(1)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		c.failed.Add(1)
		return
	}
	c.open.Add(1)
	defer c.open.Add(-1)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data:")) {
			c.tokens.Add(1)
		}
	}
}

// generate sends tokens until the caller goes away.
func (b *Backend) generate(w http.ResponseWriter, r *http.Request) {
	var q struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	tick := b.timers.Every(tokenPeriod, tokenPeriod/10)
	defer tick.Stop()
	for i := 0; i < streamTokens; i++ {
		_, err := fmt.Fprintf(w, "data: {\"requestId\":%q,\"generation\":\"g-%s\",\"index\":%d,\"text\":\" fold\"}\n\n", q.ID, q.ID, i)
		if err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-tick.C():
		case <-r.Context().Done():
			return
		}
	}
}

// copyHandler passes an engine's stream on as it is.
type copyHandler struct {
	next   atomic.Int64
	engine []string
	http   *http.Client
}

// ServeHTTP implements http.Handler.
func (c *copyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	n := c.next.Add(1)
	body := strings.NewReader(fmt.Sprintf(`{"id":"%032d"}`, n))
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, c.engine[int(n)%len(c.engine)], body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	flusher := http.NewResponseController(w)
	for b := make([]byte, copyBuffer); ; {
		n, err := resp.Body.Read(b)
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil || flusher.Flush() != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// serveCopy runs the bare copy in place of a daemon.
func (f *Fleet) serveCopy(ctx context.Context) {
	h := &copyHandler{http: &http.Client{Transport: &http.Transport{}}}
	for i := range f.scenario.Upstreams {
		h.engine = append(h.engine, "http://"+upstreamAddr(i).String()+"/v1/generations")
	}
	s := &http.Server{Addr: daemonAddr(0, 0).String(), Handler: h, ReadHeaderTimeout: shutdownTimeout}
	f.wg.Go(func() {
		if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			f.failed <- err
		}
	})
	f.wg.Go(func() {
		<-ctx.Done()
		_ = s.Close()
	})
}

// measureStreams opens the streams and measures tokens and memory.
func (f *Fleet) measureStreams(ctx context.Context) (Sample, error) {
	s := Sample{Scenario: f.scenario}
	before := memory()
	target := fmt.Sprintf("http://%s/streams?n=%d&to=%s", backendAddr, f.scenario.Streams, daemonAddr(0, 0))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return s, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return s, err
	}
	_ = resp.Body.Close()
	if err := f.timers.Sleep(ctx, settleTime); err != nil {
		return s, err
	}
	first, err := f.load(ctx)
	if err != nil {
		return s, err
	}
	start, used := f.timers.Now(), processor()
	if err := f.timers.Sleep(ctx, f.scenario.duration()); err != nil {
		return s, err
	}
	used = processor() - used
	seconds := f.timers.Now().Sub(start).Seconds()
	last, err := f.load(ctx)
	if err != nil {
		return s, err
	}
	if last.Open < int64(f.scenario.Streams) {
		return s, errors.Newf("btcapacity: %d streams are open, %d failed", last.Open, last.Failed)
	}
	m, n := memory(), float64(last.Open)
	tokens := float64(last.Tokens - first.Tokens)
	s.Processor = used.Seconds() / seconds
	s.Tokens = tokens / seconds
	s.PerToken = used.Seconds() / tokens
	s.StreamHeap = (float64(m.HeapAlloc) - float64(before.HeapAlloc)) / n
	s.StreamStack = (float64(m.StackInuse) - float64(before.StackInuse)) / n
	return s, nil
}

func (f *Fleet) load(ctx context.Context) (Load, error) {
	var l Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+backendAddr.String()+"/load", nil)
	if err != nil {
		return l, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return l, err
	}
	defer func() { _ = resp.Body.Close() }()
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// streamWorkspaceHash is the hash of streamKey.
func streamWorkspaceHash() string { return btidentity.HashKey(streamKey) }
