package btfront

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// chatRequest is the part of a chat/completions request that is used. Other
// fields are ignored, as client libraries send many.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a message's text, sent as a string or as a list of parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return errors.Newf("content part of type %q is not supported", p.Type)
		}
		*c += chatContent(p.Text)
	}
	return nil
}

// decodeChat reads a chat/completions body.
func decodeChat(body []byte) (*chatRequest, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, bad("body is no valid chat request: %v", err)
	}
	switch {
	case c.Model == "":
		return nil, bad("model is missing")
	case len(c.Messages) == 0:
		return nil, bad("messages are missing")
	case c.MaxTokens < 0 || c.MaxCompletionTokens < 0:
		return nil, bad("max_tokens must not be negative")
	}
	return &c, nil
}

// prompt joins the messages.
func (c *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

func (c *chatRequest) maxTokens() int {
	if c.MaxCompletionTokens > 0 {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// readBody reads a body within its limits of size and time.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := f.MaxBody
	if limit <= 0 {
		limit = DefaultMaxBody
	}
	control := http.NewResponseController(w)
	timeout := f.BodyTimeout
	if timeout <= 0 {
		timeout = DefaultBodyTimeout
	}
	if err := control.SetReadDeadline(f.Timer.Now().Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, bad("connection failed")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// A read deadline that stays set would cancel the request's context
		// later. After a failure it stays, since net/http reads the rest of the
		// body before it sends the answer and would wait for a slow sender.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bramleytack.NewError(bramleytack.CodeBodyTooLarge, bramleytack.NotRun, "body is over the limit of %d bytes", limit)
	case err != nil:
		return nil, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "body did not arrive").WithCause(err)
	}
	return body, nil
}

// options reads the headers that all kinds of requests share.
func options(r *http.Request, req *bramleytack.Request) error {
	if s := r.Header.Get(HeaderPriority); s != "" {
		p, ok := bramleytack.ParsePriority(s)
		if !ok {
			return bad("%s must be batch, standard or interactive", HeaderPriority)
		}
		req.Priority = p
	}
	if s := r.Header.Get(HeaderTimeout); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 {
			return bad("%s must be a positive duration such as 30s", HeaderTimeout)
		}
		req.Deadline = req.Received.Add(d)
	}
	req.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if len(req.IdempotencyKey) > maxKeyBytes {
		return bad("%s is over the limit of %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	return nil
}

// resumeWindow returns how long a generation outlives its caller's connection.
func resumeWindow(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(HeaderResumeWindow)
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, bad("%s must be a duration such as 10s", HeaderResumeWindow)
	}
	return min(d, MaxResumeWindow), nil
}

// startIndex returns the token index at which a resumption starts. A client
// library that reconnects by itself sends the last id that it saw.
func startIndex(r *http.Request) (int, error) {
	if s := r.URL.Query().Get("from"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return 0, bad("from must be a token index")
		}
		return n, nil
	}
	if s := r.Header.Get("Last-Event-ID"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return 0, bad("Last-Event-ID must be a token index")
		}
		return n + 1, nil
	}
	return 0, nil
}

func bearer(h string) string {
	scheme, key, ok := strings.Cut(h, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func bad(format string, args ...any) *bramleytack.Error {
	return bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, format, args...)
}
