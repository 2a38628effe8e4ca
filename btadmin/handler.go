package btadmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrecord"
)

// Handler serves the operators' HTTP API.
type Handler struct {
	Admin *Admin
	// KeyHashes are the SHA-256 hashes of the operator keys. Without any, all
	// calls are rejected.
	KeyHashes [][sha256.Size]byte
	// Status returns the body of the status call.
	Status func(ctx context.Context) any
	// RequestID returns the id of a request for error bodies. It may be nil.
	RequestID func(r *http.Request) bramleytack.RequestID
}

// versionBody answers a change.
type versionBody struct {
	Version bramleytack.Revision `json:"version"`
}

// listBody answers a list.
type listBody struct {
	Revision bramleytack.Revision `json:"revision"`
	Records  []Versioned          `json:"records"`
}

// ErrorBody is the body of every error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error to operators.
type ErrorDetail struct {
	Code      bramleytack.Code      `json:"code"`
	Message   string                `json:"message"`
	Outcome   string                `json:"outcome"`
	RequestID bramleytack.RequestID `json:"requestId"`
	// Findings say why a record was rejected.
	Findings btrecord.Findings `json:"findings,omitempty"`
	// Conflict shows both changes of a conflict.
	Conflict *ConflictError `json:"conflict,omitempty"`
}

// handle is a call that answers with a JSON value.
type handle func(w http.ResponseWriter, r *http.Request) (any, error)

// Mux returns the routes under /admin/v1/.
func (h *Handler) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	for pattern, f := range map[string]handle{
		"GET /admin/v1/records":                  h.list,
		"GET /admin/v1/records/{kind}":           h.list,
		"GET /admin/v1/records/{kind}/{name}":    h.get,
		"PUT /admin/v1/records/{kind}/{name}":    h.put,
		"DELETE /admin/v1/records/{kind}/{name}": h.delete,
		"GET /admin/v1/status":                   h.status,
		"/admin/v1/":                             noRoute,
	} {
		mux.Handle(pattern, h.serve(f))
	}
	return mux
}

func (h *Handler) serve(f handle) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.authorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			h.fail(w, r, bramleytack.NewError(bramleytack.CodeUnauthenticated, bramleytack.NotRun, "operator key is missing or wrong"))
			return
		}
		v, err := f(w, r)
		if err != nil {
			h.fail(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	})
}

// authorized compares the key with all hashes in constant time.
func (h *Handler) authorized(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	match := 0
	for _, hash := range h.KeyHashes {
		match |= subtle.ConstantTimeCompare(sum[:], hash[:])
	}
	return match == 1
}

func (h *Handler) status(_ http.ResponseWriter, r *http.Request) (any, error) {
	if h.Status == nil {
		return nil, bramleytack.NewError(bramleytack.CodeNotFound, bramleytack.NotRun, "status is not available")
	}
	return h.Status(r.Context()), nil
}

func noRoute(_ http.ResponseWriter, r *http.Request) (any, error) {
	return nil, bramleytack.NewError(bramleytack.CodeNotFound, bramleytack.NotRun, "no such call: %s %.200s", r.Method, r.URL.Path)
}

func (h *Handler) list(_ http.ResponseWriter, r *http.Request) (any, error) {
	kind := r.PathValue("kind")
	if kind != "" {
		if err := checkKind(kind); err != nil {
			return nil, err
		}
	}
	rev := h.Admin.Config.Snapshot().Revision
	return listBody{Revision: rev, Records: h.Admin.List(kind)}, nil
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) (any, error) {
	key, err := recordKey(r)
	if err != nil {
		return nil, err
	}
	v, err := h.Admin.Get(r.Context(), key)
	if err != nil {
		return nil, err
	}
	setVersion(w, v.Version)
	return v, nil
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) (any, error) {
	key, expected, err := changeOf(r)
	if err != nil {
		return nil, err
	}
	record, err := readRecord(w, r, key)
	if err != nil {
		return nil, err
	}
	v, err := h.Admin.Apply(r.Context(), record, expected)
	if err != nil {
		return nil, err
	}
	setVersion(w, v)
	return versionBody{Version: v}, nil
}

func (h *Handler) delete(_ http.ResponseWriter, r *http.Request) (any, error) {
	key, expected, err := changeOf(r)
	if err != nil {
		return nil, err
	}
	v, err := h.Admin.Delete(r.Context(), key, expected)
	if err != nil {
		return nil, err
	}
	return versionBody{Version: v}, nil
}

func readRecord(w http.ResponseWriter, r *http.Request, key bramleytack.Key) (btrecord.Record, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bramleytack.MaxObjectBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return btrecord.Record{}, bramleytack.NewError(bramleytack.CodeBodyTooLarge, bramleytack.NotRun, "body is over %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return btrecord.Record{}, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "body is incomplete").WithCause(err)
	}
	record, err := btrecord.DecodeJSON(data)
	if err != nil {
		return record, badRequest(err)
	}
	if record.Key() != key {
		return record, invalid("body holds %s/%s", record.Kind, record.Name)
	}
	return record, nil
}

func changeOf(r *http.Request) (bramleytack.Key, bramleytack.Revision, error) {
	key, err := recordKey(r)
	if err != nil {
		return key, 0, err
	}
	match := strings.Trim(r.Header.Get("If-Match"), `"`)
	v, err := strconv.ParseUint(match, 10, 64)
	if err != nil {
		return key, 0, invalid("If-Match must be the expected version, or 0 to create the record")
	}
	return key, bramleytack.Revision(v), nil
}

func recordKey(r *http.Request) (bramleytack.Key, error) {
	key := bramleytack.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
	if err := checkKind(key.Kind); err != nil {
		return key, err
	}
	if !btrecord.ValidName(key.Name) {
		return key, invalid("%.80q is not a valid name", key.Name)
	}
	return key, nil
}

func checkKind(kind string) error {
	if slices.Contains(btrecord.Kinds(), kind) {
		return nil
	}
	return invalid("kind %.80q is not known; allowed: %s", kind, strings.Join(btrecord.Kinds(), ", "))
}

func invalid(format string, args ...any) *bramleytack.Error {
	return bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, format, args...)
}

func setVersion(w http.ResponseWriter, v bramleytack.Revision) {
	w.Header().Set("ETag", `"`+strconv.FormatUint(uint64(v), 10)+`"`)
}

func (h *Handler) fail(w http.ResponseWriter, r *http.Request, err error) {
	e := bramleytack.AsError(err)
	d := ErrorDetail{Code: e.Code, Message: e.Message, Outcome: e.Outcome.String()}
	if h.RequestID != nil {
		d.RequestID = h.RequestID(r)
	}
	errors.As(err, &d.Findings)
	errors.As(err, &d.Conflict)
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, e.Code.Status(), ErrorBody{Error: d})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":{"code":"internal","message":"answer cannot be encoded","outcome":"unknown","requestId":""}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// The operator is gone if the write fails, and nothing is left to do.
	_, _ = w.Write(append(data, '\n'))
}
