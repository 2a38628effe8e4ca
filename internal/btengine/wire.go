package btengine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/internal/btfault"
)

// Chunk is one event of a stream: a token, or the end with Done set.
type Chunk struct {
	RequestID    bramleytack.RequestID `json:"requestId"`
	Generation   bramleytack.StreamID  `json:"generation"`
	Index        int                   `json:"index"`
	Text         string                `json:"text"`
	Done         bool                  `json:"done"`
	FinishReason string                `json:"finishReason,omitempty"`
	PromptTokens int                   `json:"promptTokens,omitempty"`
	Tokens       int                   `json:"tokens,omitempty"`
}

// CacheEvents is the answer to a request for cache events. Sequence numbers
// start again at 1 with each instance.
type CacheEvents struct {
	Instance bramleytack.InstanceID   `json:"instance"`
	Events   []bramleytack.CacheEvent `json:"events"`
}

// OrderReply is the answer to an order that was accepted.
type OrderReply struct {
	Instance bramleytack.InstanceID `json:"instance"`
	Accepted bool                   `json:"accepted"`
}

// maxRequestBytes bounds the body of a request: 1 MiB of prompt and its
// escapes in JSON.
const maxRequestBytes = 8 << 20

var errInvalid = errors.New("btengine: invalid request")

// DecodeRequest reads a generation request.
func DecodeRequest(r io.Reader) (bramleytack.GenerationRequest, error) {
	var q bramleytack.GenerationRequest
	if err := decode(r, &q); err != nil {
		return q, err
	}
	if q.ID == "" || q.Model == "" || q.MaxTokens < 0 {
		return q, errors.Wrap(errInvalid, "id, model or maxTokens")
	}
	return q, nil
}

// DecodeOrder reads an order.
func DecodeOrder(r io.Reader) (bramleytack.Command, error) {
	var o bramleytack.Command
	err := decode(r, &o)
	return o, err
}

func decode(r io.Reader, v any) error {
	d := json.NewDecoder(io.LimitReader(r, maxRequestBytes))
	return errors.Wrap(d.Decode(v), "btengine: decode")
}

// status returns the HTTP status of a refusal.
func (r Reason) status() int {
	switch r {
	case ReasonQueueFull:
		return http.StatusTooManyRequests
	case ReasonOldFence:
		return http.StatusPreconditionFailed
	case ReasonNoRoom:
		return http.StatusConflict
	case ReasonInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// writeError answers with a refusal. A dead engine answers nothing.
func writeError(w http.ResponseWriter, err error) {
	var refusal Refusal
	if !errors.As(err, &refusal) {
		btfault.WriteRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	if refusal.Reason == ReasonDead {
		panic(http.ErrAbortHandler)
	}
	btfault.WriteRefusal(w, refusal.Reason.status(), refusal.Reason.String())
}
