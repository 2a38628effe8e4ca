package btfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrecord"
)

const (
	// callTimeout bounds one call of an operator or of the harness.
	callTimeout = 5 * time.Second
	// maxBody bounds an answer.
	maxBody = 16 << 20
)

// Operator calls the operators' API.
type Operator struct {
	Key string
	// Admins are tried in order.
	Admins []netip.AddrPort
}

// Put writes a record whose version is expected and returns the new version.
func (o *Operator) Put(ctx context.Context, r btrecord.Record, expected bramleytack.Revision) (bramleytack.Revision, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "btfleet: record")
	}
	var last error
	for _, a := range o.Admins {
		url := "http://" + a.String() + "/admin/v1/records/" + r.Kind + "/" + r.Name
		header := http.Header{"If-Match": {strconv.FormatUint(uint64(expected), 10)}, "Authorization": {"Bearer " + o.Key}}
		var reply struct {
			Version bramleytack.Revision `json:"version"`
		}
		if last = call(ctx, http.MethodPut, url, header, body, &reply); last == nil {
			return reply.Version, nil
		}
		var status *statusError
		if errors.As(last, &status) {
			return 0, last
		}
	}
	return 0, last
}

// statusError is an answer that is no success.
type statusError struct {
	url    string
	status int
	body   string
}

// Error returns the status with the body.
func (e *statusError) Error() string {
	return "btfleet: " + e.url + ": status " + strconv.Itoa(e.status) + ": " + e.body
}

// harnessClient keeps no connections, since processes come and go.
var harnessClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request and decodes a JSON answer, if one is wanted.
func call(ctx context.Context, method, url string, header http.Header, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "btfleet: request")
	}
	if header != nil {
		req.Header = header
	}
	resp, err := harnessClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "btfleet: call")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return errors.Wrap(err, "btfleet: answer")
	}
	if resp.StatusCode/100 != 2 {
		return &statusError{url: url, status: resp.StatusCode, body: string(data)}
	}
	if answer == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(data, answer), "btfleet: answer of %s", url)
}

func get(ctx context.Context, a netip.AddrPort, path string, answer any) error {
	return call(ctx, http.MethodGet, "http://"+a.String()+path, nil, nil, answer)
}
