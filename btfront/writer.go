package btfront

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// errUnexpectedResponse is returned if the type of a response does not fit the
// kind of request, such as a plain service's response to a generation.
var errUnexpectedResponse = errors.New("btfront: response type does not fit the kind of request")

// chatWriter collects a generation into one JSON response.
type chatWriter struct {
	w       http.ResponseWriter
	req     *bramleytack.Request
	opening bramleytack.Opening
	text    strings.Builder
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int                 `json:"index"`
	Message      chatResponseMessage `json:"message"`
	FinishReason chatFinishReason    `json:"finish_reason"`
}

type chatResponseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatFinishReason string

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Open implements bramleytack.ResponseWriter. It discards the tokens of an earlier
// attempt.
func (c *chatWriter) Open(o bramleytack.Opening) error {
	c.opening = o
	c.text.Reset()
	return nil
}

// Token implements bramleytack.ResponseWriter.
func (c *chatWriter) Token(t bramleytack.Token) error {
	c.text.WriteString(t.Text)
	return nil
}

// Close implements bramleytack.ResponseWriter.
func (c *chatWriter) Close(done bramleytack.Completion) error {
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, string(c.req.ID))
	h.Set(HeaderGenerationToken, c.opening.GenerationToken)
	return json.NewEncoder(c.w).Encode(chatResponse{
		ID:      "chatcmpl-" + string(c.req.ID),
		Object:  "chat.completion",
		Created: c.req.Received.Unix(),
		Model:   c.opening.Model,
		Choices: []chatChoice{{
			Message:      chatResponseMessage{Role: "assistant", Content: c.text.String()},
			FinishReason: chatFinishReason(done.FinishReason),
		}},
		Usage: usage(done),
	})
}

// Respond implements bramleytack.ResponseWriter.
func (c *chatWriter) Respond(*bramleytack.Response) error { return errUnexpectedResponse }

func usage(done bramleytack.Completion) chatUsage {
	return chatUsage{
		PromptTokens:     done.PromptTokens,
		CompletionTokens: done.Tokens,
		TotalTokens:      done.PromptTokens + done.Tokens,
	}
}

// callWriter sends the response of a plain service.
type callWriter struct {
	w   http.ResponseWriter
	req *bramleytack.Request
}

// droppedHeaders are the response headers of a service that are not passed on:
// those of its connection and those that the front or net/http sets.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Date", HeaderRequestID,
}

// Open implements bramleytack.ResponseWriter.
func (c *callWriter) Open(bramleytack.Opening) error { return errUnexpectedResponse }

// Token implements bramleytack.ResponseWriter.
func (c *callWriter) Token(bramleytack.Token) error { return errUnexpectedResponse }

// Close implements bramleytack.ResponseWriter.
func (c *callWriter) Close(bramleytack.Completion) error { return errUnexpectedResponse }

// Respond implements bramleytack.ResponseWriter.
func (c *callWriter) Respond(r *bramleytack.Response) error {
	h := c.w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	for _, name := range droppedHeaders {
		h.Del(name)
	}
	h.Set(HeaderRequestID, string(c.req.ID))
	h.Set(HeaderOutcome, bramleytack.Ran.String())
	c.w.WriteHeader(r.Status)
	_, err := c.w.Write(r.Body)
	return err
}

// cancelWriter responds to a Cancel request with status 204.
type cancelWriter struct {
	w http.ResponseWriter
}

// Open implements bramleytack.ResponseWriter.
func (c *cancelWriter) Open(bramleytack.Opening) error { return errUnexpectedResponse }

// Token implements bramleytack.ResponseWriter.
func (c *cancelWriter) Token(bramleytack.Token) error { return errUnexpectedResponse }

// Close implements bramleytack.ResponseWriter.
func (c *cancelWriter) Close(bramleytack.Completion) error {
	c.w.WriteHeader(http.StatusNoContent)
	return nil
}

// Respond implements bramleytack.ResponseWriter.
func (c *cancelWriter) Respond(*bramleytack.Response) error { return errUnexpectedResponse }
