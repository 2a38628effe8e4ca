package btlistener

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// Guards against answers of ports other than the entry that do not name the idle limit, or name one
// on a connection that closes.
func TestOtherPortsNameTheIdleLimit(t *testing.T) {
	serve(t, memory(), 100, Limits{IdleTimeout: 6 * time.Second, KeepAlive: 5 * time.Second}, func(f *fixture) {
		drops := false
		inner := f.gate.Handler(http.HandlerFunc(leave))
		f.handler = func(w http.ResponseWriter, r *http.Request) {
			if drops {
				connOf(r).drop(NoMemory)
			}
			inner.ServeHTTP(w, r)
		}
		c := f.dial()
		for _, drops = range []bool{false, true} {
			c.write(request("", ""))
			resp, err := http.ReadResponse(c.r, nil)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			assert.Check(t, is.Equal(resp.Close, drops))
			assert.Check(t, is.Equal(resp.Header.Get("Keep-Alive") != "", !drops))
		}
	})
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *Conn { return r.Context().Value(connKey{}).(*Conn) }

// A connection is dropped for a new one when net/http has read the whole head and has not reported
// it yet. Guards against a request that is passed on although its context has ended with the
// connection: its caller gets a broken answer, or a promise that is not kept.
func TestRequestOfDroppedConnectionIsNotPassedOn(t *testing.T) {
	serve(t, memory(), 1, Limits{}, func(f *fixture) {
		read, dropped := make(chan struct{}), make(chan struct{})
		f.server.ConnState = func(c net.Conn, s http.ConnState) {
			if s == http.StateActive {
				read <- struct{}{}
				<-dropped
			}
			stateChanged(c, s)
		}
		passedOn := false
		f.handler = func(w http.ResponseWriter, r *http.Request) {
			if _, fits, _ := Admit(r.Context()); fits {
				fits, _ = HandOver(r.Context())
				passedOn = fits
			}
			time.Sleep(time.Second)
			assert.Check(t, !passedOn || r.Context().Err() == nil, "the request's context has ended")
			if !passedOn {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
		c := f.dial()
		c.write(request("", ""))
		<-read
		f.dial()
		close(dropped)
		assert.Check(t, is.Equal(c.status(), 503))
		assert.Check(t, !passedOn)
	})
}

// What is left of a body has come in time, but the caller reads the answer later than the rest of a
// body may take. Guards against a sound connection that closes although its caller was not told.
func TestConnectionIsKeptForSlowReader(t *testing.T) {
	serve(t, memory(), 100, Limits{HeadBytes: 16_000}, func(f *fixture) {
		f.handler = leave
		for _, body := range []string{"b", strings.Repeat("b", 200_000)} {
			c := f.dial()
			c.write(request("", body))
			time.Sleep(2 * drainTime)
			assert.Check(t, is.Equal(c.status(), 404))
			assert.Check(t, is.Equal(c.send(request("", "")), 404), "%d bytes", len(body))
			c.Close()
		}
	})
}

// The connection of a request is dropped before its handler answers. Guards against an answer that
// does not say that the connection closes, on which callers would send their next requests.
func TestAnswerSaysThatConnectionCloses(t *testing.T) {
	serve(t, memory(), 100, Limits{}, func(f *fixture) {
		inner := f.gate.Handler(http.HandlerFunc(leave))
		f.handler = func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			connOf(r).drop(NoMemory)
			inner.ServeHTTP(w, r)
		}
		for _, body := range []string{"", "body"} {
			c := f.dial()
			c.write(request("", body))
			resp, err := http.ReadResponse(c.r, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.Check(t, err)
			assert.Check(t, is.Equal(resp.StatusCode, 503))
			assert.Check(t, resp.Close, "body %q", body)
			assert.Check(t, c.closed())
		}
	})
}

// Whole requests come on a kept connection, in one read each, and wait before their handler runs
// for longer than a head may take. Guards against a read ahead of net/http that is taken for the
// read of a head and refuses a request that is served.
func TestReadAheadIsNoHead(t *testing.T) {
	serve(t, memory(), 100, Limits{HeadBytes: 8000, HeadLines: 20, HeadTimeout: time.Second, IdleTimeout: 2 * time.Second}, func(f *fixture) {
		serving := f.server.Handler
		f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(3 * time.Second)
			serving.ServeHTTP(w, r)
		})
		c := f.dial()
		for i := range 3 {
			text := request(strings.Repeat("a:\n", 10), strings.Repeat("b", 10*i))
			go (&writer{c, text, len(text)}).run()
			assert.Check(t, is.Equal(c.status(), 200), "%d", i)
		}
		// The second one is in net/http's buffer before the first one is served.
		text := request(strings.Repeat("a:\n", 15), "") + request(strings.Repeat("a:\n", 15), "")
		go (&writer{c, text, len(text)}).run()
		assert.Check(t, is.Equal(c.status(), 200))
		assert.Check(t, is.Equal(c.status(), 200))
		assert.Check(t, !c.closed())
	})
}

// The read deadline that a handler sets for a body passes after the body's end, before the handler
// lifts it. Guards against a caller that is taken for gone, and against its connection that closes.
func TestDeadlineOfBodyEndsWithIt(t *testing.T) {
	serve(t, memory(), 100, Limits{}, func(f *fixture) {
		f.handler = func(w http.ResponseWriter, r *http.Request) {
			conn := http.NewResponseController(w)
			assert.Check(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
			_, err := io.Copy(io.Discard, r.Body)
			assert.Check(t, err)
			time.Sleep(2 * time.Second)
			assert.Check(t, r.Context().Err())
			assert.Check(t, !Closes(r.Context()))
		}
		c := f.dial()
		for _, text := range []string{
			request("", "b"), request("", strings.Repeat("b", 100_000)),
			chunkedLine + "0\r\n\r\n", chunkedLine + "1\r\nb\r\n0\r\n\r\n", chunkedLine + chunks(100) + "0\r\na: b\r\n\r\n",
		} {
			assert.Check(t, is.Equal(c.send(text), 200), "%.80q", text)
		}
		c.write(request("Expect: 100-continue\r\n", "body"))
		assert.Check(t, is.Equal(c.status(), 100))
		assert.Check(t, is.Equal(c.status(), 200))
		assert.Check(t, !c.closed())
	})
}
