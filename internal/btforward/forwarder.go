package btforward

import "net/http"

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
		if err != nil {
			// An early end of the answer can't be told from its end here.
			return
		}
	}
}
