package btnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/upstream/btconn"
)

// Guards against a success that no upstream gave, and against no answer, where net/http
// answers itself.
func TestServerAnswersWithoutHandler(t *testing.T) {
	n := New(Settings{Host: "h"}, Adapter{Engines: func(*btconn.Pool) Engines { return noEngines{} }}, io.Discard)
	defer n.timer.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := newServer(n.handler)
	defer server.Close()
	go (&listener{node: n, server: server, l: l}).run()
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"question to the server as a whole", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusServiceUnavailable},
		{"no host", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n", http.StatusNotImplemented},
		{"large header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*http.DefaultMaxHeaderBytes), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", l.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			go (&textWriter{conn, c.text}).run()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, c.status)
		})
	}
}

// Guards against a body that is read although nobody wants it: callers sent chunks without end to
// the directory, and no other request was served.
func TestInfoTakesNoBody(t *testing.T) {
	n := New(Settings{Host: "h"}, Adapter{Engines: func(*btconn.Pool) Engines { return noEngines{} }, Dialect: bramleytack.FleetDialect{ReadyPath: "/ready", ResolvePath: "/resolve"}}, io.Discard)
	defer n.timer.Close()
	mux := n.infoMux()
	for _, c := range []struct {
		name   string
		body   io.Reader
		status int
	}{
		{"none", nil, http.StatusNotFound},
		{"known length", strings.NewReader("b"), http.StatusRequestEntityTooLarge},
		{"chunks", io.MultiReader(strings.NewReader("b")), http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/nothing", c.body))
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, w.Header().Get("Connection") == "close", c.status == http.StatusRequestEntityTooLarge)
		})
	}
}

// textWriter writes to a connection that may close before its end.
type textWriter struct {
	w    io.Writer
	text string
}

func (w *textWriter) run() { _, _ = io.WriteString(w.w, w.text) }
