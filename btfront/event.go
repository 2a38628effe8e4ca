package btfront

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleytack"
)

// eventReply sends a generation as server-sent events.
type eventReply struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *bramleytack.Request
	timer   bramleytack.Timer
	// kept says that the generation goes on without the caller, who may have
	// resumed it at another entry.
	kept bool

	// mu orders the relay's writes and the heartbeats.
	mu    sync.Mutex
	open  bool
	ended bool
	// lost says that the caller of a kept generation is gone.
	lost   bool
	prefix []byte
	buf    []byte
	// deadline is the write deadline that is set on the connection.
	deadline time.Time
	lastSent time.Time
}

func newEventReply(w http.ResponseWriter, req *bramleytack.Request, timer bramleytack.Timer, kept bool) *eventReply {
	return &eventReply{w: w, control: http.NewResponseController(w), req: req, timer: timer, kept: kept}
}

// Open implements bramleytack.ResponseWriter. The header goes out with the first token:
// until then another attempt may take the place of this one.
func (e *eventReply) Open(o bramleytack.Opening) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, string(e.req.ID))
	h.Set(HeaderGenerationToken, o.GenerationToken)
	e.prefix = e.chunkPrefix(o)
	return nil
}

// Token implements bramleytack.ResponseWriter.
func (e *eventReply) Token(t bramleytack.Token) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := append(e.buf[:0], "id: "...)
	b = strconv.AppendInt(b, int64(t.Index), 10)
	b = append(b, "\ndata: "...)
	b = append(b, e.prefix...)
	b = append(b, `{"content":`...)
	b = appendJSON(b, t.Text)
	b = append(b, `},"finish_reason":null}]}`...)
	b = append(b, "\n\n"...)
	e.buf = b
	return e.send(b)
}

// Close implements bramleytack.ResponseWriter.
func (e *eventReply) Close(done bramleytack.Completion) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	reason, err := json.Marshal(done.FinishReason)
	if err != nil {
		return err
	}
	total, err := json.Marshal(usage(done))
	if err != nil {
		return err
	}
	b := append(e.buf[:0], "data: "...)
	b = append(b, e.prefix...)
	b = append(b, `{},"finish_reason":`...)
	b = append(b, reason...)
	b = append(b, `}],"usage":`...)
	b = append(b, total...)
	b = append(b, "}\n\ndata: [DONE]\n\n"...)
	e.ended = true
	return e.send(b)
}

// Respond implements bramleytack.ResponseWriter.
func (e *eventReply) Respond(*bramleytack.Response) error { return errWrongAnswer }

// fail ends a stream with an error event.
func (e *eventReply) fail(err *bramleytack.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	b := append(e.buf[:0], "event: error\ndata: "...)
	b = append(b, encodeFailure(e.req, err)...)
	b = append(b, "\n\n"...)
	_ = e.send(b)
}

// heartbeat sends a comment if the stream was idle since a time.
// A stream that is being written to needs none, and waiting for its caller
// would hold up the heartbeats of all other streams.
func (e *eventReply) heartbeat(since time.Time) {
	if !e.mu.TryLock() {
		return
	}
	defer e.mu.Unlock()
	if !e.open || e.ended || e.lastSent.After(since) {
		return
	}
	_ = e.send([]byte(": heartbeat\n\n"))
}

// started says whether a part of the answer was sent.
func (e *eventReply) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// send writes and flushes. The caller holds mu.
func (e *eventReply) send(b []byte) error {
	if e.lost {
		return nil
	}
	now := e.timer.Now()
	// Setting the deadline on each token would cost more than the write.
	if e.deadline.Sub(now) < WriteTimeout/2 {
		e.deadline = now.Add(WriteTimeout)
		_ = e.control.SetWriteDeadline(e.deadline)
	}
	e.open = true
	e.lastSent = now
	_, err := e.w.Write(b)
	if err == nil {
		err = e.control.Flush()
	}
	if err != nil && e.kept {
		// An error would cancel the generation before its window ends.
		e.lost = true
		return nil
	}
	if err != nil {
		return canceled(err)
	}
	return nil
}

// chunkPrefix returns the part that all chunks of a stream share.
func (e *eventReply) chunkPrefix(o bramleytack.Opening) []byte {
	model, _ := json.Marshal(o.Model)
	b := []byte(`{"id":"chatcmpl-` + string(e.req.ID) + `","object":"chat.completion.chunk","created":`)
	b = strconv.AppendInt(b, e.req.Received.Unix(), 10)
	b = append(b, `,"model":`...)
	b = append(b, model...)
	return append(b, `,"choices":[{"index":0,"delta":`...)
}

// appendJSON appends a string as JSON. Text without special characters, which
// most tokens are, needs no encoder.
func appendJSON(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			// Marshal can't fail on a string.
			encoded, _ := json.Marshal(text)
			return append(b, encoded...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

func canceled(err error) error {
	return bramleytack.NewError(bramleytack.CodeCanceled, bramleytack.Ran, "caller is gone").WithCause(err)
}
