package btplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/internal/btfault"
	"bramleytack/internal/btmemstore"
)

// ChangeIDHeader is the header with the change id of a write.
const ChangeIDHeader = "Bramleytack-Change-Id"

// Options are the settings of a Server.
type Options struct {
	// ReadsPerSecond and WritesPerSecond are quotas. Zero sets no quota.
	ReadsPerSecond  int
	WritesPerSecond int
	// HostLag is the time until a change of the host list shows.
	HostLag time.Duration
}

// Counts are the calls that the platform took and refused by quota.
type Counts struct {
	btmemstore.Counts
	RefusedReads  int `json:"refusedReads"`
	RefusedWrites int `json:"refusedWrites"`
}

type hostChange struct {
	due  time.Time
	list bramleytack.HostList
}

// Server is the simulated platform.
type Server struct {
	opts   Options
	store  *btmemstore.Store
	timer  bramleytack.Timer
	faults *btfault.Switch
	mux    *http.ServeMux
	reads  quota
	writes quota

	mu sync.Mutex
	// pending are changes of the host list that do not show yet.
	pending []hostChange
}

// NewServer returns a platform over a store.
func NewServer(opts Options, store *btmemstore.Store, timer bramleytack.Timer) *Server {
	s := &Server{
		opts:   opts,
		store:  store,
		timer:  timer,
		mux:    http.NewServeMux(),
		reads:  quota{limit: opts.ReadsPerSecond},
		writes: quota{limit: opts.WritesPerSecond},
	}
	s.faults = &btfault.Switch{Timer: timer}
	s.route()
	return s
}

func (s *Server) route() {
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.limited(&s.reads, s.serveGet))
	s.mux.HandleFunc("GET /objects/{kind}", s.limited(&s.reads, s.serveList))
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", s.limited(&s.writes, s.servePut))
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.limited(&s.writes, s.serveDelete))
	s.mux.HandleFunc("GET /watch/{kind}", s.limited(&s.reads, s.serveWatch))
	s.mux.HandleFunc("GET /hosts", s.limited(&s.reads, s.serveHosts))
	s.mux.HandleFunc("GET /debug/store", s.serveStoreFault)
	s.mux.HandleFunc("PUT /debug/store", s.serveSetStoreFault)
	s.mux.HandleFunc("GET /debug/hosts", s.serveAllHosts)
	s.mux.HandleFunc("PUT /debug/hosts", s.serveSetHosts)
	s.mux.HandleFunc("GET /debug/counts", s.serveCounts)
}

// Faults returns the switch of the HTTP server's faults.
func (s *Server) Faults() *btfault.Switch { return s.faults }

// Handler returns the platform's handler with its faults.
func (s *Server) Handler() http.Handler { return s.faults.Middleware(s.mux) }

// SetHosts replaces the host list after the configured lag.
func (s *Server) SetHosts(l bramleytack.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	if l.At.IsZero() {
		l.At = now
	}
	s.pending = append(s.pending, hostChange{due: now.Add(s.opts.HostLag), list: l})
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts {
	return Counts{
		Counts:        s.store.Counts(),
		RefusedReads:  s.reads.refusals(),
		RefusedWrites: s.writes.refusals(),
	}
}

// showHosts puts the changes of the host list that are due into the store.
func (s *Server) showHosts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	for len(s.pending) > 0 && !s.pending[0].due.After(now) {
		s.store.SetHosts(s.pending[0].list)
		s.pending = s.pending[1:]
	}
}

func (s *Server) limited(q *quota, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !q.take(s.timer.Now()) {
			w.Header().Set("Retry-After", "1")
			btfault.WriteJSON(w, http.StatusTooManyRequests, ErrorBody{Error: "quota exceeded"})
			return
		}
		h(w, r)
	}
}

func keyOf(r *http.Request) bramleytack.Key {
	return bramleytack.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.store.Get(r.Context(), keyOf(r))
	if err != nil {
		writeError(w, err)
		return
	}
	btfault.WriteJSON(w, http.StatusOK, toWire(o))
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := s.store.List(r.Context(), r.PathValue("kind"))
	if err != nil {
		writeError(w, err)
		return
	}
	l := List{Revision: revision, Objects: make([]Object, 0, len(objects))}
	for _, o := range objects {
		l.Objects = append(l.Objects, toWire(o))
	}
	btfault.WriteJSON(w, http.StatusOK, l)
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	expected, err := ParseVersion(r.Header.Get("If-Match"))
	if err != nil {
		writeError(w, err)
		return
	}
	o, err := DecodeWrite(r.Body, keyOf(r))
	if err != nil {
		writeError(w, err)
		return
	}
	o.ChangeID = r.Header.Get(ChangeIDHeader)
	version, err := s.store.Put(r.Context(), o, expected)
	writeVersion(w, version, err)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	expected, err := ParseVersion(r.Header.Get("If-Match"))
	if err != nil {
		writeError(w, err)
		return
	}
	version, err := s.store.DeleteAs(r.Context(), keyOf(r), r.Header.Get(ChangeIDHeader), expected)
	writeVersion(w, version, err)
}

func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	s.showHosts()
	l, err := s.store.Hosts(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	btfault.WriteJSON(w, http.StatusOK, toWireHosts(l))
}

func writeVersion(w http.ResponseWriter, version bramleytack.Revision, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	btfault.WriteJSON(w, http.StatusOK, WriteReply{Version: version})
}

// writeError answers a call that failed. A write whose effect its caller must
// not learn gets no answer.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, bramleytack.ErrStoreUnknown) {
		panic(http.ErrAbortHandler)
	}
	btfault.WriteJSON(w, statusOf(err), ErrorBody{Error: err.Error()})
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, bramleytack.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, bramleytack.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, bramleytack.ErrStoreDown):
		return http.StatusServiceUnavailable
	case errors.Is(err, errTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errInvalid):
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}

func (s *Server) serveStoreFault(w http.ResponseWriter, _ *http.Request) {
	btfault.WriteJSON(w, http.StatusOK, s.store.Fault())
}

func (s *Server) serveSetStoreFault(w http.ResponseWriter, r *http.Request) {
	var f btmemstore.Fault
	if err := decodeControl(r.Body, &f); err != nil {
		writeError(w, err)
		return
	}
	s.store.SetFault(f)
	s.serveStoreFault(w, r)
}

func (s *Server) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	var h Hosts
	if err := decodeControl(r.Body, &h); err != nil {
		writeError(w, err)
		return
	}
	s.SetHosts(fromWireHosts(h))
	s.serveAllHosts(w, r)
}

// serveAllHosts answers with the newest host list, which may not show yet.
func (s *Server) serveAllHosts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if n := len(s.pending); n > 0 {
		l := s.pending[n-1].list
		s.mu.Unlock()
		btfault.WriteJSON(w, http.StatusOK, toWireHosts(l))
		return
	}
	s.mu.Unlock()
	l, err := s.store.Hosts(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	btfault.WriteJSON(w, http.StatusOK, toWireHosts(l))
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	btfault.WriteJSON(w, http.StatusOK, s.Counts())
}

// decodeControl reads the body of a control request. Unknown fields are
// errors, so that a misspelled fault is not taken for a healthy store.
func decodeControl(r io.Reader, v any) error {
	d := json.NewDecoder(io.LimitReader(r, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Mark(err, errInvalid)
	}
	return nil
}
