package btentry

import (
	"net/http"

	"bramleytack/internal/node/btlistener"
)

// takeHead counts the request's header in its account. It reports false if there is no memory
// for it.
func (req *activeRequest) takeHead(r *http.Request) bool {
	if fits, counted := btlistener.HandOver(r.Context(), req.kept); counted {
		return fits
	}
	return req.kept.Take(headerSize(r.Header))
}
