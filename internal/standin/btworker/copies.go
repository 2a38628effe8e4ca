package btworker

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// lateCopies are the copies of refusals that a connection still has to send.
type lateCopies struct {
	conn net.Conn

	mu   sync.Mutex
	text []byte
}

// copiesKey is the key of a connection's lateCopies in the context of its requests.
type copiesKey struct{}

// connContext gives the requests of a connection its copies.
func (w *Worker) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, copiesKey{}, &lateCopies{conn: c})
}

// CopyRefusals makes the upstream send each refusal once more, as soon as it has read the next
// request on the same connection. A copy has the id of the refused request.
func (w *Worker) CopyRefusals(on bool) { w.copyRefusals.Store(on) }

// copyRefusal keeps a copy of a refusal for later, if the upstream sends copies.
func (w *Worker) copyRefusal(r *http.Request, status int, header http.Header) {
	c, ok := r.Context().Value(copiesKey{}).(*lateCopies)
	if !ok || !w.copyRefusals.Load() {
		return
	}
	var b bytes.Buffer
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header.Clone(), Body: http.NoBody}
	// Writing to a buffer cannot fail.
	_ = response.Write(&b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text = append(c.text, b.Bytes()...)
}

// sendCopies sends the copies of earlier refusals, before the answer that is due.
func sendCopies(r *http.Request) {
	c, ok := r.Context().Value(copiesKey{}).(*lateCopies)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.text) > 0 {
		// The caller may have closed the connection.
		_, _ = c.conn.Write(c.text)
		c.text = nil
	}
}
