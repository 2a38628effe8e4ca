package btclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btfront"
)

// maxLineBytes bounds a line of an event stream.
const maxLineBytes = 1 << 20

// Prompt asks for a generation.
type Prompt struct {
	Model     string
	Text      string
	MaxTokens int
	// Priority is batch, standard or interactive. Empty takes the workspace's.
	Priority string
	Timeout  time.Duration
	// ResumeWindow keeps the generation alive after a lost connection.
	ResumeWindow time.Duration
}

// Result describes a complete generation.
type Result struct {
	// Token is the generation token.
	Token        string
	Tokens       int
	FinishReason string
	// Resumed counts the connections beyond the first.
	Resumed int
	// FirstToken is the time to the first token, Longest the longest time
	// between two.
	FirstToken time.Duration
	Longest    time.Duration
}

// Generate streams a generation to sink. It resumes a broken stream and starts
// over only while no token has arrived.
func (c *Client) Generate(ctx context.Context, p Prompt, sink func(bramleytack.Token) error) (Result, error) {
	g := &generation{Client: c, prompt: p, sink: sink, begin: c.Timer.Now()}
	g.last = g.begin
	for try := 1; ; try++ {
		err := g.try(ctx)
		if err == nil {
			return g.result, nil
		}
		if !g.mayRepeat(err) || !c.pause(ctx, try, bramleytack.AsError(err).RetryAfter) {
			return g.result, err
		}
		g.result.Resumed++
	}
}

// generation is the state of one generation over its connections.
type generation struct {
	*Client
	prompt Prompt
	sink   func(bramleytack.Token) error
	result Result
	begin  time.Time
	last   time.Time
	// sinkErr is the error of the caller's sink.
	sinkErr error
}

// chunk is the used part of an event.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error struct {
		Code    bramleytack.Code `json:"code"`
		Message string           `json:"message"`
		Outcome string           `json:"outcome"`
	} `json:"error"`
}

// errBroken marks a stream that ended without its last event.
var errBroken = errors.New("btclient: stream broke")

func (g *generation) mayRepeat(err error) bool {
	if g.sinkErr != nil {
		return false
	}
	if errors.Is(err, errBroken) {
		return true
	}
	e := bramleytack.AsError(err)
	if g.result.Tokens > 0 {
		return e.Outcome == bramleytack.NotRun || e.Code == bramleytack.CodeInternal
	}
	switch e.Code {
	case bramleytack.CodeOverloaded, bramleytack.CodeNoUpstream, bramleytack.CodeShuttingDown, bramleytack.CodeStarting,
		bramleytack.CodeIsolated, bramleytack.CodeRateLimited, bramleytack.CodeUpstreamFailed:
		return true
	default:
		return false
	}
}

func (g *generation) try(ctx context.Context) error {
	addr, err := g.entry(ctx)
	if err != nil {
		return err
	}
	req, err := g.request(ctx, addr)
	if err != nil {
		return err
	}
	resp, err := g.client().Do(req)
	if err != nil {
		g.avoid(addr)
		return broken(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failure(resp)
	}
	if t := resp.Header.Get(btfront.HeaderGenerationToken); t != "" {
		g.result.Token = t
	}
	err = g.read(resp.Body)
	if errors.Is(err, errBroken) {
		g.avoid(addr)
	}
	return err
}

func (g *generation) request(ctx context.Context, addr netip.AddrPort) (*http.Request, error) {
	var req *http.Request
	var err error
	if g.result.Tokens > 0 {
		u := "http://" + addr.String() + "/v1/generations/" + url.PathEscape(g.result.Token) + "?from=" + strconv.Itoa(g.result.Tokens)
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	} else {
		req, err = g.start(ctx, addr)
	}
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("Authorization", "Bearer "+g.Key)
	if g.prompt.Priority != "" {
		h.Set(btfront.HeaderPriority, g.prompt.Priority)
	}
	if g.prompt.Timeout > 0 {
		h.Set(btfront.HeaderTimeout, g.prompt.Timeout.String())
	}
	if g.prompt.ResumeWindow > 0 {
		h.Set(btfront.HeaderResumeWindow, g.prompt.ResumeWindow.String())
	}
	return req, nil
}

func (g *generation) start(ctx context.Context, addr netip.AddrPort) (*http.Request, error) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Stream    bool      `json:"stream"`
	}{g.prompt.Model, []message{{"user", g.prompt.Text}}, g.prompt.MaxTokens, true})
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/chat/completions", bytes.NewReader(body))
}

// read passes the events of one connection to the sink.
func (g *generation) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	index := -1
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			n, err := strconv.Atoi(value)
			if err != nil {
				return broken(err)
			}
			index = n
		case "data":
			done, err := g.event(index, value)
			if err != nil || done {
				return err
			}
			index = -1
		}
	}
	return broken(lines.Err())
}

// event handles one data line. It reports whether it was the last.
func (g *generation) event(index int, data string) (done bool, err error) {
	if data == "[DONE]" {
		return true, nil
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return false, broken(err)
	}
	if c.Error.Code != "" {
		return false, bramleytack.NewError(c.Error.Code, bramleytack.ParseOutcome(c.Error.Outcome), "%s", c.Error.Message)
	}
	if len(c.Choices) == 0 {
		return false, nil
	}
	if reason := c.Choices[0].FinishReason; reason != "" {
		g.result.FinishReason = reason
		return false, nil
	}
	return false, g.token(bramleytack.Token{Index: index, Text: c.Choices[0].Delta.Content})
}

func (g *generation) token(t bramleytack.Token) error {
	if t.Index != g.result.Tokens {
		return bramleytack.NewError(bramleytack.CodeInternal, bramleytack.Ran, "token %d arrived in the place of token %d", t.Index, g.result.Tokens)
	}
	now := g.Timer.Now()
	if gap := now.Sub(g.last); t.Index == 0 {
		g.result.FirstToken = now.Sub(g.begin)
	} else if gap > g.result.Longest {
		g.result.Longest = gap
	}
	g.last = now
	g.result.Tokens++
	g.sinkErr = g.sink(t)
	return g.sinkErr
}

// broken marks an error of the connection. A nil error means an early end.
func broken(err error) error {
	if err == nil {
		return errBroken
	}
	return errors.Mark(err, errBroken)
}
