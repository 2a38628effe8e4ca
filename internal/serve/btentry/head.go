package btentry

import (
	"net/http"

	"bramleytack/internal/node/btlistener"
)

// openAccount sets the account of what the request keeps. It reports false if there is no memory
// for one more request.
func (req *activeRequest) openAccount(r *http.Request) bool {
	account, fits, ok := btlistener.Admit(r.Context())
	if !ok {
		account, fits = req.h.Memory.OpenRequest()
		req.closeAccount = account.Close
	}
	req.kept = account
	return fits
}

// takeHead counts the request's head, after which the request makes no room for others. It reports
// false if there is no memory for it.
func (req *activeRequest) takeHead(r *http.Request) bool {
	if fits, ok := btlistener.HandOver(r.Context()); ok {
		return fits
	}
	return req.kept.Take(headerSize(r.Header))
}
