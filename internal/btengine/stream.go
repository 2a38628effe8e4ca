package btengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bramleytack"
)

// heartbeatPeriod is the time without a token after which a stream gets a
// heartbeat.
const heartbeatPeriod = time.Second

const heartbeat = ": heartbeat\n\n"

func (s *Server) serveStart(w http.ResponseWriter, r *http.Request) {
	q, err := DecodeRequest(r.Body)
	if err != nil {
		writeError(w, err)
		return
	}
	var id bramleytack.StreamID
	s.do(func(now time.Time) {
		if id, err = s.core.Submit(now, q); err == nil {
			s.executions[q.ID]++
		}
	})
	if err != nil {
		writeError(w, err)
		return
	}
	s.stream(w, r, id, 0)
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	from := 0
	if q := r.FormValue("from"); q != "" {
		n, err := strconv.Atoi(q)
		if err != nil || n < 0 {
			writeError(w, Refusal{Reason: ReasonInvalid})
			return
		}
		from = n
	}
	id := bramleytack.StreamID(r.PathValue("id"))
	if v := s.look(id); !v.known {
		http.Error(w, "btengine: unknown generation", http.StatusNotFound)
		return
	}
	s.stream(w, r, id, from)
}

// look is the state of a generation and a channel that is closed when it changes.
type look struct {
	Progress
	known   bool
	changed <-chan struct{}
}

func (s *Server) look(id bramleytack.StreamID) look {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.core.Generation(s.timer.Now(), id)
	if !ok || p.Finish != FinishNone {
		return look{Progress: p, known: ok}
	}
	c := s.changed[id]
	if c == nil {
		c = make(chan struct{})
		s.changed[id] = c
	}
	return look{Progress: p, known: true, changed: c}
}

// stream sends the tokens of a generation from an index on. It closes the
// connection when the engine dies or forgets the generation.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id bramleytack.StreamID, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	next := from
	for {
		v := s.look(id)
		if !v.known {
			panic(http.ErrAbortHandler)
		}
		if err := sendTokens(w, &v.Progress, next); err != nil {
			return
		}
		next = max(next, v.Tokens)
		if v.Finish != FinishNone {
			// The caller is gone if this fails, and nothing is left to do.
			_ = send(w, last(&v.Progress))
			return
		}
		if flusher.Flush() != nil || !s.await(w, r, v.changed) {
			return
		}
	}
}

func sendTokens(w http.ResponseWriter, p *Progress, from int) error {
	for i := from; i < p.Tokens; i++ {
		c := Chunk{RequestID: p.Request, Generation: p.Stream, Index: i, Text: p.Text(i)}
		if err := send(w, c); err != nil {
			return err
		}
	}
	return nil
}

func last(p *Progress) Chunk {
	return Chunk{
		RequestID: p.Request, Generation: p.Stream, Index: p.Tokens, Done: true,
		FinishReason: p.Finish.String(), PromptTokens: p.PromptTokens, Tokens: p.Tokens,
	}
}

// await waits for a change and sends heartbeats meanwhile. It returns false
// when the reader is gone.
func (s *Server) await(w http.ResponseWriter, r *http.Request, changed <-chan struct{}) bool {
	alarm := s.timer.Every(heartbeatPeriod, 0)
	defer alarm.Stop()
	flusher := http.NewResponseController(w)
	for {
		select {
		case <-changed:
			return true
		case <-alarm.C():
			if _, err := w.Write([]byte(heartbeat)); err != nil || flusher.Flush() != nil {
				return false
			}
		case <-r.Context().Done():
			return false
		case <-s.done:
			panic(http.ErrAbortHandler)
		}
	}
}

// send writes one event with one Write, as btfault counts tokens.
func send(w http.ResponseWriter, c Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	event := append([]byte("data: "), data...)
	_, err = w.Write(append(event, "\n\n"...))
	return err
}
