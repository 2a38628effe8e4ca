package btstore

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/internal/upstream/btstatus"
)

const (
	defaultCallTimeout = time.Second
	maxIdleConns       = 16
	idleConnTimeout    = 30 * time.Second
)

// Config holds the settings of a Client.
type Config struct {
	// URL is the base URL of the object API.
	URL string
	// CallTimeout bounds each HTTP call, and the opening of a watch. Zero means
	// one second.
	CallTimeout time.Duration
	// Timer is required.
	Timer bramleytack.Timer
	// Seed seeds the random part of the delay before a retry.
	Seed uint64
	// Dial opens connections. Nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client implements bramleytack.Store. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	timer     bramleytack.Timer
	http      *http.Client
	transport *http.Transport
	budget    *retryBudget
	counters  counters
	// lastResponse is the time that LastResponse returns.
	lastResponse atomic.Pointer[time.Time]
}

var _ bramleytack.Store = (*Client)(nil)

// New returns a client. It does not connect.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil {
		return nil, errors.Wrap(err, "btstore: URL of the object API")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errors.Newf("btstore: URL %q is not an absolute http or https URL", cfg.URL)
	}
	if cfg.Timer == nil {
		return nil, errors.New("btstore: timer is missing")
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	t := newTransport(cfg)
	return &Client{
		base:      strings.TrimRight(u.String(), "/"),
		timeout:   cfg.CallTimeout,
		timer:     cfg.Timer,
		http:      &http.Client{Transport: btstatus.Transport{Transport: t}, CheckRedirect: noRedirect},
		transport: t,
		budget:    newRetryBudget(cfg.Seed),
	}, nil
}

// newTransport allows HTTP/1.1 only: an abandoned call then closes its
// connection, while HTTP/2 would keep it open for further calls.
func newTransport(cfg Config) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         cfg.Dial,
		Protocols:           protocols,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections. It does not close open watches.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get implements bramleytack.Store. It also returns ErrStoreDown for a response
// that cannot be decoded.
func (c *Client) Get(ctx context.Context, key bramleytack.Key) (bramleytack.Object, error) {
	r, err := c.read(ctx, objectPath(key), maxObjectResponse)
	if err != nil {
		return bramleytack.Object{}, fmt.Errorf("btstore: get %s/%s: %w", key.Kind, key.Name, err)
	}
	o, err := decodeObject(r.body)
	if err == nil && o.Key != key {
		err = errors.Newf("response holds %s/%s", o.Kind, o.Name)
	}
	if err != nil {
		return bramleytack.Object{}, fmt.Errorf("btstore: get %s/%s: %w: %w", key.Kind, key.Name, bramleytack.ErrStoreDown, err)
	}
	if o.Deleted {
		return bramleytack.Object{}, fmt.Errorf("btstore: get %s/%s: %w", key.Kind, key.Name, bramleytack.ErrNotFound)
	}
	return o, nil
}

// List implements bramleytack.Store. It also returns ErrStoreDown for a response
// that cannot be decoded.
func (c *Client) List(ctx context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	r, err := c.read(ctx, "/objects/"+url.PathEscape(kind), maxListResponse)
	if err != nil {
		return nil, 0, fmt.Errorf("btstore: list %s: %w", kind, err)
	}
	list, rev, err := decodeList(r.body, kind)
	if err != nil {
		return nil, 0, fmt.Errorf("btstore: list %s: %w: %w", kind, bramleytack.ErrStoreDown, err)
	}
	return list, rev, nil
}

// Hosts implements bramleytack.Store. It also returns ErrStoreDown for a response
// that cannot be decoded.
func (c *Client) Hosts(ctx context.Context) (bramleytack.HostList, error) {
	r, err := c.read(ctx, "/hosts", maxListResponse)
	if err != nil {
		return bramleytack.HostList{}, fmt.Errorf("btstore: hosts: %w", err)
	}
	l, err := decodeHosts(r.body)
	if err != nil {
		return bramleytack.HostList{}, fmt.Errorf("btstore: hosts: %w: %w", bramleytack.ErrStoreDown, err)
	}
	return l, nil
}

func objectPath(key bramleytack.Key) string {
	return "/objects/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

func formatRevision(v bramleytack.Revision) string { return strconv.FormatUint(uint64(v), 10) }

// LastResponse returns when the last complete response to a read or write
// arrived. Statuses 429 and 5xx do not count. It is the zero time before the
// first such response.
func (c *Client) LastResponse() time.Time {
	if t := c.lastResponse.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
