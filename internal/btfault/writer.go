package btfault

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// errTruncated ends a handler whose response was truncated.
var errTruncated = errors.New("btfault: response is truncated")

// writer applies the faults of a response. The handler must send each token
// with one Write.
type writer struct {
	http.ResponseWriter
	request   *http.Request
	fault     Fault
	timer     bramleytack.Timer
	target    Target
	started   bool
	truncated bool
	tokens    int
	bytes     int
}

// WriteHeader sends the header.
func (w *writer) WriteHeader(status int) {
	w.start()
	if !w.truncated {
		w.ResponseWriter.WriteHeader(status)
	}
}

// FlushError sends what is buffered, for http.ResponseController.
func (w *writer) FlushError() error {
	w.start()
	if w.truncated {
		return errTruncated
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Write sends one token, or a comment.
func (w *writer) Write(p []byte) (int, error) {
	w.start()
	if w.truncated {
		return 0, errTruncated
	}
	if len(p) > 0 && p[0] == ':' {
		return w.ResponseWriter.Write(p)
	}
	w.sleep(w.fault.Slow > 0)
	n, err := w.send(p)
	if err == nil && w.tokens == w.fault.DuplicateToken {
		_, err = w.ResponseWriter.Write(p)
	}
	return n, err
}

func (w *writer) sleep(slow bool) {
	if slow {
		_ = w.timer.Sleep(w.request.Context(), w.fault.Slow)
	}
}

// start applies the faults between the effect and the first byte.
func (w *writer) start() {
	if w.started {
		return
	}
	w.started = true
	if w.fault.Late > 0 {
		_ = w.timer.Sleep(w.request.Context(), w.fault.Late)
	}
	if w.fault.LoseReply {
		panic(http.ErrAbortHandler)
	}
	if w.fault.Truncate != nil {
		// net/http then sends no end marker and closes the connection.
		w.Header().Set("Transfer-Encoding", "identity")
		w.Header().Del("Content-Length")
	}
	w.trip(func(p Point) bool { return p == Point{} })
}

// send writes one token up to the first point in bytes that falls into it.
func (w *writer) send(p []byte) (int, error) {
	n := len(p)
	for _, pt := range w.points() {
		if pt != nil && pt.Bytes > 0 && pt.Bytes-w.bytes < n {
			n = pt.Bytes - w.bytes
		}
	}
	n, err := w.ResponseWriter.Write(p[:n])
	if err != nil {
		return n, err
	}
	w.bytes += n
	w.tokens++
	w.trip(func(pt Point) bool {
		if pt.Bytes > 0 {
			return pt.Bytes <= w.bytes
		}
		return pt.Tokens == w.tokens
	})
	if w.truncated {
		return n, errTruncated
	}
	return n, nil
}

func (w *writer) points() [4]*Point {
	return [...]*Point{w.fault.CrashAt, w.fault.Cut, w.fault.FreezeAt, w.fault.Truncate}
}

// trip carries out the faults whose point is reached.
func (w *writer) trip(reached func(Point) bool) {
	hit := func(p *Point) bool { return p != nil && reached(*p) }
	f := w.fault
	if hit(f.CrashAt) || hit(f.Cut) || hit(f.FreezeAt) {
		w.flush()
	}
	if hit(f.CrashAt) {
		if w.target != nil {
			w.target.Crash()
		}
		panic(http.ErrAbortHandler)
	}
	if hit(f.Cut) {
		panic(http.ErrAbortHandler)
	}
	if hit(f.FreezeAt) {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if hit(f.Truncate) {
		w.truncated = true
	}
}

// flush sends what was written before the point. Nothing goes out before the
// first byte of a response.
func (w *writer) flush() {
	if w.bytes > 0 {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
}
