package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id     string
	path   string
	sent   time.Time
	status int
	whole  bool
	body   string
	err    error
}

// clients send requests and keep the answers.
type clients struct {
	fleet *fleet
	http  *http.Client
	wg    sync.WaitGroup

	// only is set if all requests go to daemon 0.
	only bool

	mu      sync.Mutex
	answers []answer
	next    int
}

func newClients(f *fleet) *clients {
	return &clients{fleet: f, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// send sends one request in the background.
func (c *clients) send(path string, header map[string]string, deadline time.Duration) {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%08x%08x", c.next, rand.Uint32())
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.exchange(id, path, header, deadline)
	}()
}

func (c *clients) exchange(id, path string, header map[string]string, deadline time.Duration) {
	i := rand.IntN(c.fleet.size)
	if c.only {
		i = 0
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.entry(i)+path, bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		panic(err)
	}
	a := answer{id: id, path: path, sent: time.Now()}
	r.Host = "shop.example"
	r.Header.Set("Daemon", strconv.Itoa(i))
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Sent-Nanos", strconv.FormatInt(a.sent.UnixNano(), 10))
	r.Header.Set("Authorization", "Bearer key-1")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c.fleet.rec.line("client sends %s %s to daemon %d", id, path, i)
	resp, err := c.http.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.whole, a.body = resp.StatusCode, err == nil, string(body)
	}
	a.err = err
	c.fleet.rec.line("client gets for %s: status %d, whole %v, %d events, %q, error %v", id, a.status, a.whole, strings.Count(a.body, "data:"), short(a), err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

func short(a answer) string {
	if strings.Contains(a.body, "data:") {
		return ""
	}
	return a.body[:min(len(a.body), 80)]
}

// each sends requests at a rate until a time.
func (c *clients) each(perSecond float64, until time.Time, send func()) {
	for next := time.Now(); next.Before(until); next = next.Add(time.Duration(float64(time.Second) / perSecond * (0.5 + rand.Float64()))) {
		time.Sleep(time.Until(next))
		send()
	}
}
