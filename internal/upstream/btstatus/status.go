package btstatus

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrStatus means that a status line is none of a final or an interim response.
var ErrStatus = errors.New("btstatus: response has no status")

// statusDigits is the number of digits of a status.
const statusDigits = 3

// Parse checks a status line without its line ending. It reports whether the response is an
// interim one, which another response follows.
func Parse(line string) (interim bool, err error) {
	version, rest, _ := strings.Cut(line, " ")
	status, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(status) != statusDigits {
		return false, errors.Wrapf(ErrStatus, "%.40q", line)
	}
	code := 0
	for _, digit := range []byte(status) {
		if digit < '0' || digit > '9' {
			return false, errors.Wrapf(ErrStatus, "%.40q", line)
		}
		code = 10*code + int(digit-'0')
	}
	switch {
	case code >= http.StatusContinue && code < http.StatusOK && code != http.StatusSwitchingProtocols:
		return true, nil
	case isFinal(code):
		return false, nil
	}
	return false, errors.Wrapf(ErrStatus, "%.40q", line)
}

// isFinal reports whether a status is one of a final response.
func isFinal(code int) bool { return code >= http.StatusOK && code < 600 }

// Transport is an http.RoundTripper that returns ErrStatus instead of a response that is none.
// net/http has skipped interim responses then.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil || resp.ProtoMajor == 1 && resp.ProtoMinor <= 1 && isFinal(resp.StatusCode) {
		return resp, err
	}
	// A connection whose response has no body is idle already.
	_ = resp.Body.Close()
	t.CloseIdleConnections()
	return nil, errors.Wrapf(ErrStatus, "%s %s", resp.Proto, resp.Status)
}
