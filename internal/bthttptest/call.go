package bthttptest

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Reply is what a handler answered.
type Reply struct {
	*httptest.ResponseRecorder
	// Aborted is set when the handler closed the connection.
	Aborted bool
}

// Request returns a request with headers given as pairs of name and value.
func Request(ctx context.Context, method, path, body string, headers ...string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// Call returns the handler's reply to a request.
func Call(h http.Handler, r *http.Request) (reply Reply) {
	reply.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		p := recover()
		reply.Aborted = p == http.ErrAbortHandler
		if p != nil && !reply.Aborted {
			panic(p)
		}
	}()
	h.ServeHTTP(reply, r)
	return reply
}

// Decode returns the JSON body of a reply.
func Decode[T any](t testing.TB, r Reply) (v T) {
	t.Helper()
	if err := json.Unmarshal(r.Body.Bytes(), &v); err != nil {
		t.Fatalf("bthttptest: decode %q: %v", r.Body, err)
	}
	return v
}
