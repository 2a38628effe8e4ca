package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// streamResult is what a client got of a stream.
type streamResult struct {
	status int
	seal   string
	// pieces are the data fields in order.
	pieces []string
	// complete is set if the response ended as complete.
	complete bool
	err      error
}

// stream sends a request of a streaming route on a new connection and reads all of its
// response.
func stream(d *daemon, path, id string, prompt, output int, deadline time.Duration) streamResult {
	var got streamResult
	c, err := net.DialTimeout("tcp4", d.entry, time.Second)
	if err != nil {
		got.err = err
		return got
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	body := strings.Repeat("x", 200)
	fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Counts: %d,%d\r\nPrompt-Prefix: 5c1e07a2:79,%s:%d\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s",
		path, id, id, prompt, output, id, prompt-79, deadline.Milliseconds(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		got.err = err
		return got
	}
	defer resp.Body.Close()
	got.status, got.seal = resp.StatusCode, resp.Header.Get("Server-Seal")
	data, err := io.ReadAll(resp.Body)
	got.complete, got.err = err == nil, err
	for line := range strings.Lines(string(data)) {
		if piece, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			got.pieces = append(got.pieces, piece)
		}
	}
	return got
}
