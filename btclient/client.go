package btclient

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btretry"
)

// Defaults of a Client.
const (
	// DefaultAttempts is how often one request is sent.
	DefaultAttempts = 8
	// DefaultSilence is the longest silence of a healthy stream: two of the
	// heartbeats that an entry sends each 5 s.
	DefaultSilence = 10 * time.Second
	// dialTimeout bounds the set-up of a connection to an entry.
	dialTimeout = 2 * time.Second
	// firstWait and longestWait bound the wait before another try. Its random
	// part keeps callers that lost the same entry from coming back in step.
	firstWait   = 400 * time.Millisecond
	longestWait = 2 * time.Second
	// maxErrorBytes bounds the body of an error.
	maxErrorBytes = 64 << 10
)

// Client sends requests to the entries of a deployment. Seeds, Key and Timer
// are required.
type Client struct {
	// Seeds are entry addresses that are asked for the list of all.
	Seeds []netip.AddrPort
	// Key is the workspace's API key.
	Key      string
	Timer    bramleytack.Timer
	Attempts int
	Silence  time.Duration
	// Pick chooses one of n entries. Nil picks at random.
	Pick func(n int) int

	mu      sync.Mutex
	entries []netip.AddrPort
	until   time.Time
	// failed holds when an entry last failed.
	failed map[netip.AddrPort]time.Time

	once sync.Once
	http *http.Client
}

// failedFor is how long an entry that failed is used only as a last resort.
const failedFor = 5 * time.Second

// Entries returns the entry addresses, from the last answer while it is valid.
func (c *Client) Entries(ctx context.Context) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) > 0 && c.Timer.Now().Before(c.until) {
		return c.entries
	}
	for _, from := range c.sources() {
		if c.refresh(ctx, from) == nil {
			return c.entries
		}
	}
	if len(c.entries) > 0 {
		return c.entries
	}
	return c.Seeds
}

// sources returns the entries to ask for the list, those that failed lately
// last. The caller holds mu.
func (c *Client) sources() []netip.AddrPort {
	all := slices.Concat(c.entries, c.Seeds)
	now := c.Timer.Now()
	slices.SortStableFunc(all, func(a, b netip.AddrPort) int {
		switch fa, fb := c.failedLately(a, now), c.failedLately(b, now); {
		case fa == fb:
			return 0
		case fa:
			return 1
		default:
			return -1
		}
	})
	return all
}

// failedLately says whether an entry failed a short time ago. The caller holds
// mu.
func (c *Client) failedLately(a netip.AddrPort, now time.Time) bool {
	t, ok := c.failed[a]
	return ok && now.Sub(t) <= failedFor
}

// refresh reads the entry list from one entry. The caller holds mu.
func (c *Client) refresh(ctx context.Context, from netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+"/v1/entries", nil)
	if err != nil {
		return err
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var list struct {
		Entries  []netip.AddrPort `json:"entries"`
		ValidFor string           `json:"validFor"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&list); err != nil {
		return err
	}
	d, err := time.ParseDuration(list.ValidFor)
	if err != nil || len(list.Entries) == 0 {
		return errors.New("btclient: entry list is empty")
	}
	c.entries = list.Entries
	c.until = c.Timer.Now().Add(d)
	return nil
}

// entry returns the address for the next try.
func (c *Client) entry(ctx context.Context) (netip.AddrPort, error) {
	all := c.Entries(ctx)
	if len(all) == 0 {
		return netip.AddrPort{}, errors.New("btclient: no entry is known")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	healthy := make([]netip.AddrPort, 0, len(all))
	for _, a := range all {
		if !c.failedLately(a, now) {
			healthy = append(healthy, a)
		}
	}
	if len(healthy) == 0 {
		healthy = all
	}
	pick := c.Pick
	if pick == nil {
		pick = rand.IntN
	}
	return healthy[pick(len(healthy))], nil
}

// avoid remembers that an entry failed.
func (c *Client) avoid(a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = map[netip.AddrPort]time.Time{}
	}
	c.failed[a] = c.Timer.Now()
	// The list names an entry that is gone, so it is read again.
	c.until = time.Time{}
}

func (c *Client) attempts() int {
	if c.Attempts > 0 {
		return c.Attempts
	}
	return DefaultAttempts
}

// pause waits after a try, counted from 1, and says whether another may follow.
// It waits at least as long as the answer advises.
func (c *Client) pause(ctx context.Context, try int, advice time.Duration) bool {
	backoff := btretry.Backoff{
		Timer: c.Timer, Base: firstWait, Max: longestWait, Attempts: c.attempts(), Seed: rand.Uint64(),
	}
	deadline, _ := ctx.Deadline()
	wait, ok := backoff.Next(try, deadline)
	return ok && c.Timer.Sleep(ctx, max(advice, wait)) == nil
}

// client returns the HTTP client. Connections are not kept: an open one may
// have gone silent, and a call whose bytes went into it has an unknown outcome.
func (c *Client) client() *http.Client {
	c.once.Do(func() { c.http = c.newHTTP() })
	return c.http
}

func (c *Client) newHTTP() *http.Client {
	silence := c.Silence
	if silence <= 0 {
		silence = DefaultSilence
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &silenceConn{Conn: conn, limit: silence}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// silenceConn limits how long one read may wait.
type silenceConn struct {
	net.Conn
	limit time.Duration
}

// Read waits at most the limit.
func (c *silenceConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// failure turns an error answer into an Error.
func failure(resp *http.Response) *bramleytack.Error {
	var body struct {
		Error struct {
			Code    bramleytack.Code `json:"code"`
			Message string           `json:"message"`
			Outcome string           `json:"outcome"`
		} `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil || body.Error.Code == "" {
		return bramleytack.NewError(bramleytack.CodeInternal, bramleytack.Unknown, "entry answered with status %d", resp.StatusCode).WithCause(err)
	}
	e := bramleytack.NewError(body.Error.Code, bramleytack.ParseOutcome(body.Error.Outcome), "%s", body.Error.Message)
	if d, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		e = e.WithRetryAfter(d)
	}
	return e
}
