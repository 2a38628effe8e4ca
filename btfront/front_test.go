package btfront

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
)

// testHandler is a RequestHandler whose behavior a test defines.
type testHandler func(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error

func (h testHandler) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	return h(ctx, r, w)
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hi"}]%s}`

// Guards against bad input that reaches an upstream, gets an untyped error or
// costs more memory than its limit.
func TestBadInput(t *testing.T) {
	unreachable := testHandler(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error {
		t.Error("bad input reached the request handler")
		return nil
	})
	cases := []struct {
		name, method, path, body string
		header                   [2]string
		status                   int
		code                     bramleytack.Code
	}{
		{name: "oversized body", body: strings.Repeat("x", DefaultMaxBody+1), status: 413, code: bramleytack.CodeBodyTooLarge},
		{name: "broken JSON", body: `{"model":`, status: 400, code: bramleytack.CodeBadRequest},
		{name: "no model", body: `{"messages":[{"role":"user","content":"x"}]}`, status: 400, code: bramleytack.CodeBadRequest},
		{name: "no messages", body: `{"model":"m"}`, status: 400, code: bramleytack.CodeBadRequest},
		{name: "negative length", body: fmt.Sprintf(chatBody, `,"max_tokens":-1`), status: 400, code: bramleytack.CodeBadRequest},
		{name: "content of another type", body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]}`, status: 400, code: bramleytack.CodeBadRequest},
		{name: "huge header", header: [2]string{"X-Long", strings.Repeat("x", DefaultMaxHeader)}, status: 400, code: bramleytack.CodeBadRequest},
		{name: "unknown priority", body: fmt.Sprintf(chatBody, ""), header: [2]string{HeaderPriority, "highest"}, status: 400, code: bramleytack.CodeBadRequest},
		{name: "bad timeout", body: fmt.Sprintf(chatBody, ""), header: [2]string{HeaderTimeout, "-1s"}, status: 400, code: bramleytack.CodeBadRequest},
		{name: "long idempotency key", path: "/v1/services/orders/x", header: [2]string{HeaderIdempotencyKey, strings.Repeat("k", maxIdempotencyKeyBytes+1)}, status: 400, code: bramleytack.CodeBadRequest},
		{name: "path out of the service", path: "/v1/services/orders/a/%2e%2e/%2e%2e/x", status: 400, code: bramleytack.CodeBadRequest},
		{name: "negative index", method: "GET", path: "/v1/generations/t?from=-1", status: 400, code: bramleytack.CodeBadRequest},
		{name: "unknown path", path: "/v2/x", status: 404, code: bramleytack.CodeNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			base := serve(t, unreachable)
			method, path := c.method, c.path
			if method == "" {
				method = "POST"
			}
			if path == "" {
				path = "/v1/chat/completions"
			}
			req, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader(c.body))
			assert.NilError(t, err)
			if c.header[0] != "" {
				req.Header.Set(c.header[0], c.header[1])
			}
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			assertFailure(t, resp, c.status, c.code, bramleytack.NotRun)
		})
	}
	t.Run("body that never arrives", func(t *testing.T) {
		base := serve(t, unreachable)
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assertFailure(t, resp, 400, bramleytack.CodeBadRequest, bramleytack.NotRun)
	})
}

// Guards against a stream that common clients of server-sent events can't read.
func TestStream(t *testing.T) {
	generate := testHandler(func(_ context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
		if err := w.Open(bramleytack.Opening{Model: r.Model, GenerationToken: "tok"}); err != nil {
			return err
		}
		for i := range 3 {
			if err := w.Token(bramleytack.Token{Index: i, Text: fmt.Sprintf("t%d\n", i)}); err != nil {
				return err
			}
		}
		if r.Model == "broken" {
			return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "engine crashed")
		}
		return w.Close(bramleytack.Completion{FinishReason: "stop", PromptTokens: 2, Tokens: 3})
	})
	t.Run("whole stream", func(t *testing.T) {
		resp := post(t, serve(t, generate), fmt.Sprintf(chatBody, `,"stream":true`))
		assert.Equal(t, resp.Header.Get("Content-Type"), "text/event-stream")
		assert.Equal(t, resp.Header.Get(HeaderGenerationToken), "tok")
		text, last := readEvents(t, resp.Body)
		assert.Equal(t, text, "t0\nt1\nt2\n")
		assert.Equal(t, last, "[DONE]")
	})
	t.Run("broken stream ends with a typed error", func(t *testing.T) {
		body := strings.Replace(fmt.Sprintf(chatBody, `,"stream":true`), `"m"`, `"broken"`, 1)
		text, last := readEvents(t, post(t, serve(t, generate), body).Body)
		assert.Equal(t, text, "t0\nt1\nt2\n")
		assert.Assert(t, strings.Contains(last, `"code":"incomplete"`), last)
		assert.Assert(t, strings.Contains(last, `"outcome":"ran"`), last)
	})
	t.Run("whole response as JSON", func(t *testing.T) {
		resp := post(t, serve(t, generate), fmt.Sprintf(chatBody, ""))
		var response chatResponse
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&response))
		assert.Equal(t, response.Choices[0].Message.Content, "t0\nt1\nt2\n")
		assert.Equal(t, response.Usage.TotalTokens, 5)
	})
	t.Run("incomplete response as JSON is an error", func(t *testing.T) {
		resp := post(t, serve(t, generate), strings.Replace(fmt.Sprintf(chatBody, ""), `"m"`, `"broken"`, 1))
		assertFailure(t, resp, 502, bramleytack.CodeIncomplete, bramleytack.Ran)
	})
}

// Guards against a generation that continues after its caller disconnects
// without a resume window, and against one that is canceled within its window.
func TestDisconnect(t *testing.T) {
	for _, c := range []struct {
		name, window string
		canceled     bool
	}{{"without a window", "", true}, {"with a window", "1m", false}} {
		t.Run(c.name, func(t *testing.T) {
			tokenSent, disconnected, ctxErr := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			base := serve(t, testHandler(func(ctx context.Context, _ *bramleytack.Request, w bramleytack.ResponseWriter) error {
				assert.Check(t, w.Open(bramleytack.Opening{}))
				assert.Check(t, w.Token(bramleytack.Token{}))
				close(tokenSent)
				<-disconnected
				if c.canceled {
					<-ctx.Done()
				}
				// The first writes to a closed connection may succeed.
				for i := 1; i < 50 && !c.canceled; i++ {
					assert.Check(t, w.Token(bramleytack.Token{Index: i, Text: strings.Repeat("x", 64<<10)}))
				}
				ctxErr <- ctx.Err()
				return ctx.Err()
			}))
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, "POST", base+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(chatBody, `,"stream":true`)))
			assert.NilError(t, err)
			req.Header.Set(HeaderResumeWindow, c.window)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			<-tokenSent
			cancel()
			_ = resp.Body.Close()
			close(disconnected)
			assert.Equal(t, <-ctxErr != nil, c.canceled)
		})
	}
}

// Guards against a service's response headers that break the caller's connection.
func TestCall(t *testing.T) {
	base := serve(t, testHandler(func(_ context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
		assert.Check(t, r.Service == "orders" && r.Path == "a/b" && r.Query == "q=1" && r.IdempotencyKey == "k")
		h := http.Header{"Content-Length": {"999"}, "Connection": {"close"}, "X-Kept": {"1"}}
		return w.Respond(&bramleytack.Response{Status: 201, Header: h, Body: []byte("ok")})
	}))
	req, err := http.NewRequestWithContext(t.Context(), "POST", base+"/v1/services/orders/a/b?q=1", nil)
	assert.NilError(t, err)
	req.Header.Set(HeaderIdempotencyKey, "k")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.Equal(t, resp.StatusCode, 201)
	assert.Equal(t, resp.Header.Get("X-Kept"), "1")
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "ran")
}

// Guards against a crash on a chat body of any content.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(chatBody, "")))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"type":"text","text":"x"}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := decodeChat(body)
		assert.Assert(t, (c == nil) == (err != nil))
	})
}

// Guards against a service path that leaves the service's root.
func FuzzServicePath(f *testing.F) {
	f.Add("a/../b")
	f.Add("a//b/")
	f.Fuzz(func(t *testing.T, p string) {
		clean, err := servicePath(p)
		if err != nil {
			return
		}
		for _, part := range strings.Split(clean, "/") {
			assert.Assert(t, part != "..", "path %q", clean)
		}
	})
}

// noEntries is an EntryLister without addresses.
type noEntries struct{}

func (noEntries) Entries() ([]netip.AddrPort, time.Duration) { return nil, time.Second }

// serve starts a Front with the handler and returns its base URL.
func serve(t *testing.T, handler bramleytack.Handler) string {
	t.Helper()
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	f := &Front{RequestHandler: handler, Timer: timers, Entries: noEntries{}, BodyTimeout: time.Second}
	s := httptest.NewUnstartedServer(nil)
	s.Config = f.Server()
	s.Start()
	t.Cleanup(s.Close)
	return s.URL
}

func post(t *testing.T, base, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "POST", base+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readEvents returns the text of all chunks and the last data line.
func readEvents(t *testing.T, body io.Reader) (text, last string) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		last = data
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
	}
	assert.NilError(t, lines.Err())
	return text, last
}

func assertFailure(t *testing.T, resp *http.Response, status int, code bramleytack.Code, outcome bramleytack.Outcome) {
	t.Helper()
	defer resp.Body.Close()
	var body failureBody
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
	assert.Equal(t, resp.StatusCode, status)
	assert.Equal(t, body.Error.Code, code)
	assert.Equal(t, body.Error.Outcome, outcome.String())
	assert.Assert(t, body.Error.RequestID != "")
}
