package btfault

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramleytack"
)

// ControlPath is the path of the control endpoint.
const ControlPath = "/debug/fault"

const debugPrefix = "/debug/"

// Target is a simulated system whose state can be made faulty.
type Target interface {
	Crash()
	Restart()
	BecomeCold()
	SetCondition(Condition)
}

// Switch holds the current fault of one simulated system.
type Switch struct {
	Timer bramleytack.Timer
	// Target takes the faults of the system's state. It may be nil.
	Target Target

	mu      sync.Mutex
	fault   Fault
	ends    time.Time
	spent   bool
	conns   map[*conn]struct{}
	waiting *crossing
}

// Set replaces the fault and carries out its immediate parts.
func (s *Switch) Set(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.fault.Crash, s.fault.Restart, s.fault.Cold = false, false, false
	s.spent = false
	s.ends = time.Time{}
	if f.For > 0 {
		s.ends = s.Timer.Now().Add(f.For)
	}
	if f.FreezeOpen {
		for c := range s.conns {
			c.frozen.Store(true)
		}
	}
	s.mu.Unlock()
	s.apply(f)
}

// Fault returns the current fault with the number of requests that are left.
// A fault whose requests are used up keeps only its condition.
func (s *Switch) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if s.spent {
		return Fault{Condition: s.fault.Condition}
	}
	return s.fault
}

func (s *Switch) apply(f Fault) {
	if s.Target == nil {
		return
	}
	s.Target.SetCondition(f.Condition)
	if f.Cold {
		s.Target.BecomeCold()
	}
	if f.Restart {
		s.Target.Restart()
	}
	if f.Crash {
		s.Target.Crash()
	}
}

// expireLocked ends a fault whose time is over.
func (s *Switch) expireLocked() {
	if s.ends.IsZero() || s.Timer.Now().Before(s.ends) {
		return
	}
	s.fault, s.ends = Fault{}, time.Time{}
	if s.Target != nil {
		s.Target.SetCondition(Condition{})
	}
}

// useLocked takes one from the number of requests that are left.
func (s *Switch) useLocked() bool {
	if s.spent {
		return false
	}
	if s.fault.Requests > 0 {
		s.fault.Requests--
		s.spent = s.fault.Requests == 0
	}
	return true
}

// take returns the fault that applies to a request.
func (s *Switch) take(r *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if strings.HasPrefix(r.URL.Path, debugPrefix) || !s.fault.matches(r) || !s.useLocked() {
		return Fault{}
	}
	return s.fault
}

// refusesConnection says whether the next connection is to be reset.
func (s *Switch) refusesConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return s.fault.RefuseConnections && s.useLocked()
}

// Middleware applies the faults of requests to next and serves ControlPath.
func (s *Switch) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ControlPath {
			s.serveControl(w, r)
			return
		}
		s.serve(w, r, next)
	})
}

func (s *Switch) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	f := s.take(r)
	if f.Refuse != nil {
		writeRefuse(w, *f.Refuse)
		return
	}
	if f.Freeze {
		freeze(r)
	}
	if f.changesResponse() {
		w = &writer{ResponseWriter: w, request: r, fault: f, timer: s.Timer, target: s.Target}
	}
	if f.Cross {
		s.cross(w, r, next)
		return
	}
	next.ServeHTTP(w, r)
}

func (s *Switch) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut:
		f, err := DecodeFault(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(f)
	default:
		http.Error(w, "btfault: use GET or PUT", http.StatusMethodNotAllowed)
		return
	}
	WriteJSON(w, http.StatusOK, s.Fault())
}

// freeze holds a request until its caller gives up.
func freeze(r *http.Request) {
	// The server notices a closed connection only after the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
