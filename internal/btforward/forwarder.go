package btforward

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// copyBytes is the buffer of one copy.
const copyBytes = 4 << 10

// Forwarder copies the answer of an upstream as it arrives.
type Forwarder struct {
	// Target is the upstream's base URL.
	Target string
	Client *http.Client
}

// ServeHTTP sends the request on and copies the answer.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, f.Target+r.URL.Path, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	resp, err := f.Client.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	flush := http.NewResponseController(w)
	buf := make([]byte, copyBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
			if flush.Flush() != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			// net/http closes the connection without ending the response.
			panic(http.ErrAbortHandler)
		}
	}
}
