package btoperator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// waitPeriod is the time between two looks at the daemons' revisions.
const waitPeriod = 250 * time.Millisecond

// Daemon is the status of one daemon.
type Daemon struct {
	Host          bramleytack.HostID          `json:"host"`
	FailureDomain bramleytack.FailureDomainID `json:"failureDomain"`
	Cell          bramleytack.CellID          `json:"cell"`
	Uptime        string                      `json:"uptime"`
	Config        struct {
		Revision bramleytack.Revision `json:"revision"`
	} `json:"config"`
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	Streams  int  `json:"streams"`
	Queued   int  `json:"queued"`
	// Raw is the whole report, with fields that this client does not know.
	Raw json.RawMessage `json:"-"`
}

// UnmarshalJSON reads the known fields and keeps the whole report.
func (d *Daemon) UnmarshalJSON(data []byte) error {
	type known Daemon
	if err := json.Unmarshal(data, (*known)(d)); err != nil {
		return err
	}
	d.Raw = bytes.Clone(data)
	return nil
}

// MarshalJSON returns the whole report.
func (d Daemon) MarshalJSON() ([]byte, error) {
	if len(d.Raw) > 0 {
		return d.Raw, nil
	}
	type known Daemon
	return json.Marshal(known(d))
}

// Failure is an admin address that did not report.
type Failure struct {
	Addr    netip.AddrPort `json:"addr"`
	Message string         `json:"message"`
}

// String returns the failure on one line.
func (f Failure) String() string { return f.Addr.String() + ": " + f.Message }

// Status is the status of all daemons that are known.
type Status struct {
	Daemons  []Daemon  `json:"daemons"`
	Failures []Failure `json:"failures,omitempty"`
}

// Status asks all addresses for their reports and merges them by host.
func (c *Client) Status(ctx context.Context) Status {
	reports := make([]Status, len(c.Admins))
	errs := make([]error, len(c.Admins))
	var wg sync.WaitGroup
	for i, a := range c.Admins {
		wg.Go(func() {
			errs[i] = c.send(ctx, a, request{method: http.MethodGet, path: "/admin/v1/status"}, &reports[i])
		})
	}
	wg.Wait()
	byHost := map[bramleytack.HostID]Daemon{}
	var s Status
	for i, a := range c.Admins {
		if errs[i] != nil {
			s.Failures = append(s.Failures, Failure{Addr: a, Message: failureMessage(errs[i])})
			continue
		}
		for _, d := range reports[i].Daemons {
			if other, ok := byHost[d.Host]; !ok || d.Config.Revision < other.Config.Revision {
				byHost[d.Host] = d
			}
		}
	}
	s.Daemons = slices.SortedFunc(maps.Values(byHost), func(a, b Daemon) int { return cmp.Compare(a.Host, b.Host) })
	return s
}

// failureMessage returns the message of a daemon's answer, or "no answer".
func failureMessage(err error) string {
	var answer *RejectedError
	if errors.As(err, &answer) {
		return answer.Detail.Message
	}
	return "no answer"
}

// Behind returns the daemons whose revision is lower and the addresses that did
// not report.
func (s Status) Behind(revision bramleytack.Revision) Status {
	behind := Status{Failures: s.Failures}
	for _, d := range s.Daemons {
		if d.Config.Revision < revision {
			behind.Daemons = append(behind.Daemons, d)
		}
	}
	return behind
}

// None says whether the status names no daemon and no failure.
func (s Status) None() bool { return len(s.Daemons) == 0 && len(s.Failures) == 0 }

// Wait waits until all daemons report a revision at least as high. It returns
// those that are still behind when the timeout or the context ends.
func (c *Client) Wait(ctx context.Context, revision bramleytack.Revision, timeout time.Duration) Status {
	deadline := c.Timer.Now().Add(timeout)
	for {
		behind := c.Status(ctx).Behind(revision)
		if behind.None() || !c.Timer.Now().Before(deadline) {
			return behind
		}
		if c.Timer.Sleep(ctx, min(waitPeriod, deadline.Sub(c.Timer.Now()))) != nil {
			return behind
		}
	}
}

// Dump returns the state of the first daemon that answers. An empty part
// returns all parts.
func (c *Client) Dump(ctx context.Context, part string) (json.RawMessage, error) {
	path := "/debug/state"
	if part != "" {
		path += "?part=" + url.QueryEscape(part)
	}
	var state json.RawMessage
	err := c.read(ctx, path, &state)
	return state, err
}
