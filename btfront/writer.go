package btfront

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// errWrongAnswer says that an upstream answered with the wrong shape.
var errWrongAnswer = errors.New("btfront: answer has the wrong shape for the request")

// chatReply collects a generation into one JSON answer.
type chatReply struct {
	w       http.ResponseWriter
	req     *bramleytack.Request
	opening bramleytack.Opening
	text    strings.Builder
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int              `json:"index"`
	Message      chatAnswerPart   `json:"message"`
	FinishReason chatFinishReason `json:"finish_reason"`
}

type chatAnswerPart struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatFinishReason string

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Open implements bramleytack.ResponseWriter. A later attempt starts over.
func (c *chatReply) Open(o bramleytack.Opening) error {
	c.opening = o
	c.text.Reset()
	return nil
}

// Token implements bramleytack.ResponseWriter.
func (c *chatReply) Token(t bramleytack.Token) error {
	c.text.WriteString(t.Text)
	return nil
}

// Close implements bramleytack.ResponseWriter.
func (c *chatReply) Close(done bramleytack.Completion) error {
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, string(c.req.ID))
	h.Set(HeaderGenerationToken, c.opening.GenerationToken)
	return json.NewEncoder(c.w).Encode(chatAnswer{
		ID:      "chatcmpl-" + string(c.req.ID),
		Object:  "chat.completion",
		Created: c.req.Received.Unix(),
		Model:   c.opening.Model,
		Choices: []chatChoice{{
			Message:      chatAnswerPart{Role: "assistant", Content: c.text.String()},
			FinishReason: chatFinishReason(done.FinishReason),
		}},
		Usage: usage(done),
	})
}

// Respond implements bramleytack.ResponseWriter.
func (c *chatReply) Respond(*bramleytack.Response) error { return errWrongAnswer }

func usage(done bramleytack.Completion) chatUsage {
	return chatUsage{
		PromptTokens:     done.PromptTokens,
		CompletionTokens: done.Tokens,
		TotalTokens:      done.PromptTokens + done.Tokens,
	}
}

// callReply sends the answer of a plain service.
type callReply struct {
	w   http.ResponseWriter
	req *bramleytack.Request
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Date", HeaderRequestID,
}

// Open implements bramleytack.ResponseWriter.
func (c *callReply) Open(bramleytack.Opening) error { return errWrongAnswer }

// Token implements bramleytack.ResponseWriter.
func (c *callReply) Token(bramleytack.Token) error { return errWrongAnswer }

// Close implements bramleytack.ResponseWriter.
func (c *callReply) Close(bramleytack.Completion) error { return errWrongAnswer }

// Respond implements bramleytack.ResponseWriter.
func (c *callReply) Respond(r *bramleytack.Response) error {
	h := c.w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(HeaderRequestID, string(c.req.ID))
	h.Set(HeaderOutcome, bramleytack.Ran.String())
	c.w.WriteHeader(r.Status)
	_, err := c.w.Write(r.Body)
	return err
}

// cancelReply answers a cancellation.
type cancelReply struct {
	w http.ResponseWriter
}

// Open implements bramleytack.ResponseWriter.
func (c *cancelReply) Open(bramleytack.Opening) error { return errWrongAnswer }

// Token implements bramleytack.ResponseWriter.
func (c *cancelReply) Token(bramleytack.Token) error { return errWrongAnswer }

// Close implements bramleytack.ResponseWriter.
func (c *cancelReply) Close(bramleytack.Completion) error {
	c.w.WriteHeader(http.StatusNoContent)
	return nil
}

// Respond implements bramleytack.ResponseWriter.
func (c *cancelReply) Respond(*bramleytack.Response) error { return errWrongAnswer }
