package btclient

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bramleytack"
	"bramleytack/bttimer"
)

// answer is a transport that gives the same answer to each call.
type answer []byte

func (a answer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(a))}, nil
}

// Guards against an entry list that leaves the client without an address.
func FuzzEntries(f *testing.F) {
	f.Add([]byte(`{"entries":["127.0.0.1:80"],"validFor":"5s"}`))
	f.Add([]byte(`{"entries":[],"validFor":"-1s"}`))
	timers := bttimer.New(1)
	f.Cleanup(timers.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &Client{Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Timer: timers}
		c.once.Do(func() { c.http = &http.Client{Transport: answer(data)} })
		if len(c.Entries(t.Context())) == 0 {
			t.Fatal("no address")
		}
	})
}

// Guards against tokens that are passed on out of order or more than once.
func FuzzEvents(f *testing.F) {
	f.Add("id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	f.Add(strings.Repeat("id: 1\ndata: {}\n\n", 2))
	timers := bttimer.New(1)
	f.Cleanup(timers.Close)
	f.Fuzz(func(t *testing.T, body string) {
		next := 0
		g := &generation{Client: &Client{Timer: timers}, begin: time.Now(), sink: func(v bramleytack.Token) error {
			if v.Index != next {
				t.Fatalf("index %d, not %d", v.Index, next)
			}
			next++
			return nil
		}}
		_ = g.read(strings.NewReader(body))
		if g.result.Tokens != next {
			t.Fatalf("%d tokens counted, %d passed on", g.result.Tokens, next)
		}
	})
}
