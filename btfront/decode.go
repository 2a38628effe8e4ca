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

const maxIdempotencyKeyBytes = 255

// chatRequest holds the supported fields of a chat/completions request. Others
// are ignored, because client libraries send many more.
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

// decodeChat decodes and validates a chat/completions body.
func decodeChat(body []byte) (*chatRequest, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badRequest("body is not a valid chat request: %v", err)
	}
	switch {
	case c.Model == "":
		return nil, badRequest("model is missing")
	case len(c.Messages) == 0:
		return nil, badRequest("messages are missing")
	case c.MaxTokens < 0 || c.MaxCompletionTokens < 0:
		return nil, badRequest("max_tokens must not be negative")
	}
	return &c, nil
}

// prompt joins the messages into lines of the form "role: content".
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

// readBody reads a request's body within the limits of size and time.
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
		return nil, badRequest("cannot set the read deadline of the connection")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// Clear the deadline: when it passes, net/http cancels the request's
		// context. After an error it stays set, because net/http reads the rest of
		// the body before it sends the response and would wait for a slow caller.
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bramleytack.NewError(bramleytack.CodeBodyTooLarge, bramleytack.NotRun, "body is over the limit of %d bytes", limit)
	case err != nil:
		return nil, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "body was not received in full").WithCause(err)
	}
	return body, nil
}

// decodeOptions sets the priority, deadline and idempotency key of req from
// optional headers.
func decodeOptions(r *http.Request, req *bramleytack.Request) error {
	if s := r.Header.Get(HeaderPriority); s != "" {
		p, ok := bramleytack.ParsePriority(s)
		if !ok {
			return badRequest("%s must be batch, standard or interactive", HeaderPriority)
		}
		req.Priority = p
	}
	if s := r.Header.Get(HeaderTimeout); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 {
			return badRequest("%s must be a positive duration such as 30s", HeaderTimeout)
		}
		req.Deadline = req.Received.Add(d)
	}
	req.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if len(req.IdempotencyKey) > maxIdempotencyKeyBytes {
		return badRequest("%s is over the limit of %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return nil
}

// resumeWindow returns how long a generation continues after its caller
// disconnects.
func resumeWindow(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(HeaderResumeWindow)
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, badRequest("%s must be a duration such as 10s", HeaderResumeWindow)
	}
	return min(d, MaxResumeWindow), nil
}

// startIndex returns the token index at which a resumed stream starts: the query
// parameter "from", or the index after Last-Event-ID, the header that client
// libraries send when they reconnect automatically, or 0.
func startIndex(r *http.Request) (int, error) {
	if s := r.URL.Query().Get("from"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return 0, badRequest("from must be a token index")
		}
		return n, nil
	}
	if s := r.Header.Get("Last-Event-ID"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			return 0, badRequest("Last-Event-ID must be a token index")
		}
		return n + 1, nil
	}
	return 0, nil
}

// bearerToken returns the token of an Authorization header, or an empty string.
func bearerToken(h string) string {
	scheme, token, ok := strings.Cut(h, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

func badRequest(format string, args ...any) *bramleytack.Error {
	return bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, format, args...)
}
