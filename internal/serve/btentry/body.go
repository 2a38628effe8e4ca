package btentry

import (
	"math"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack/internal/node/btlistener"
	"bramleytack/internal/node/btmemory"
)

// defaultMaxBodyBytes bounds a request body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the request's body. If it returns false, the request was rejected.
func (req *activeRequest) readBody(r *http.Request) bool {
	limit := int64(req.snapshot.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		req.reject(http.StatusRequestEntityTooLarge, 0, "body is too large")
		return false
	}
	if !req.h.Memory.FitsRequest(max(r.ContentLength, 0)) {
		req.reject(http.StatusServiceUnavailable, daemonRetryAfter, "too many bodies in memory")
		return false
	}
	conn := http.NewResponseController(req.w)
	if r.ContentLength != 0 {
		// Only a connection without deadlines returns an error. It keeps the request until
		// its body has come.
		_ = conn.SetReadDeadline(req.beginBy)
	}
	body, err := req.readAll(r, limit)
	// A trailer may have very many lines and is not passed on.
	r.Trailer = nil
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && btlistener.Dropped(r.Context()):
		req.reject(http.StatusServiceUnavailable, daemonRetryAfter, "too many requests in memory")
		return false
	case errors.As(err, &tooLarge):
		req.reject(http.StatusRequestEntityTooLarge, 0, "body is too large")
		return false
	case errors.Is(err, btmemory.ErrFull):
		req.reject(http.StatusServiceUnavailable, daemonRetryAfter, "too many bodies in memory")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded), err != nil && !req.h.Timer.Now().Before(req.beginBy):
		// After the last chunk, net/http does not return the deadline's error but one of its own.
		req.reject(http.StatusRequestTimeout, 0, "body has not come in time")
		return false
	case err != nil:
		// The caller may still read, although it has sent no whole body.
		req.reject(http.StatusBadRequest, 0, "body cannot be read")
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	req.body = body
	return true
}

// readAll reads a body of at most limit bytes. If its length is known, all of it finds memory
// before any of it is read: callers that stop short of the end keep no more.
func (req *activeRequest) readAll(r *http.Request, limit int64) ([]byte, error) {
	defer btlistener.Pace(r.Context())()
	body := http.MaxBytesReader(req.w, r.Body, limit)
	if r.ContentLength > 0 {
		return btmemory.ReadSized(body, int(r.ContentLength), req.kept)
	}
	return btmemory.ReadAll(body, int(r.ContentLength), math.MaxInt, req.kept)
}
