package btfront

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleytack"
)

// eventWriter sends a generation's response as server-sent events. Its methods
// may be called concurrently.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *bramleytack.Request
	timer   bramleytack.Timer
	// resumable is set if the generation continues after the caller disconnects.
	// The caller may resume it at another entry daemon.
	resumable bool

	// mu serializes tokens and heartbeats and guards the fields below.
	mu         sync.Mutex
	headerSent bool
	ended      bool
	// disconnected is set when a write of a resumable generation fails. Later
	// writes are discarded.
	disconnected bool
	// prefix is the JSON that starts each chunk.
	prefix []byte
	// buf is reused for each event.
	buf []byte
	// writeDeadline is the deadline that is set on the connection.
	writeDeadline time.Time
	lastSent      time.Time
}

func newEventWriter(w http.ResponseWriter, req *bramleytack.Request, timer bramleytack.Timer, resumable bool) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), req: req, timer: timer, resumable: resumable}
}

// Open implements bramleytack.ResponseWriter. It does not send the header: until
// the first token is sent, another attempt can replace this one.
func (e *eventWriter) Open(o bramleytack.Opening) error {
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
func (e *eventWriter) Token(t bramleytack.Token) error {
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
func (e *eventWriter) Close(done bramleytack.Completion) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	reason, err := json.Marshal(done.FinishReason)
	if err != nil {
		return err
	}
	usageJSON, err := json.Marshal(usage(done))
	if err != nil {
		return err
	}
	b := append(e.buf[:0], "data: "...)
	b = append(b, e.prefix...)
	b = append(b, `{},"finish_reason":`...)
	b = append(b, reason...)
	b = append(b, `}],"usage":`...)
	b = append(b, usageJSON...)
	b = append(b, "}\n\ndata: [DONE]\n\n"...)
	e.ended = true
	return e.send(b)
}

// Respond implements bramleytack.ResponseWriter.
func (e *eventWriter) Respond(*bramleytack.Response) error { return errUnexpectedResponse }

// fail ends a stream with an error event.
func (e *eventWriter) fail(err *bramleytack.Error) {
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

// heartbeat sends a comment if the last write was not after since. It skips a stream
// that is being written to: waiting for a blocked write would delay the
// heartbeats of all other streams.
func (e *eventWriter) heartbeat(since time.Time) {
	if !e.mu.TryLock() {
		return
	}
	defer e.mu.Unlock()
	if !e.headerSent || e.ended || e.lastSent.After(since) {
		return
	}
	_ = e.send([]byte(": heartbeat\n\n"))
}

// started reports whether the header was sent. A later error must be sent as an
// event.
func (e *eventWriter) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.headerSent
}

// send writes and flushes b. mu must be held.
func (e *eventWriter) send(b []byte) error {
	if e.disconnected {
		return nil
	}
	now := e.timer.Now()
	// Renew the deadline only after half of it: setting it for each token would
	// cost more than the write.
	if e.writeDeadline.Sub(now) < WriteTimeout/2 {
		e.writeDeadline = now.Add(WriteTimeout)
		_ = e.control.SetWriteDeadline(e.writeDeadline)
	}
	e.headerSent = true
	e.lastSent = now
	_, err := e.w.Write(b)
	if err == nil {
		err = e.control.Flush()
	}
	if err != nil && e.resumable {
		// Returning the error would cancel the generation before its resume window
		// ends.
		e.disconnected = true
		return nil
	}
	if err != nil {
		return canceled(err)
	}
	return nil
}

// chunkPrefix returns the start of each chunk's JSON, up to the delta.
func (e *eventWriter) chunkPrefix(o bramleytack.Opening) []byte {
	model, _ := json.Marshal(o.Model)
	b := []byte(`{"id":"chatcmpl-` + string(e.req.ID) + `","object":"chat.completion.chunk","created":`)
	b = strconv.AppendInt(b, e.req.Received.Unix(), 10)
	b = append(b, `,"model":`...)
	b = append(b, model...)
	return append(b, `,"choices":[{"index":0,"delta":`...)
}

// appendJSON appends text as a JSON string. Most tokens are printable ASCII
// without quotes and backslashes, and need no encoder.
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
	return bramleytack.NewError(bramleytack.CodeCanceled, bramleytack.Ran, "caller disconnected").WithCause(err)
}
