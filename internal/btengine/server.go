package btengine

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/internal/btfault"
)

// CrashStatus is the exit status of a program whose simulated system crashed.
const CrashStatus = 3

// Options are the settings of a Server.
type Options struct {
	Config
	// Exit is called when the engine dies. Without it, the server closes all
	// connections of a dead engine.
	Exit func(status int)
	// RestartAfter starts a dead engine again. Zero leaves it dead.
	RestartAfter time.Duration
}

// Server serves a Core over HTTP. It implements btfault.Target.
type Server struct {
	opts   Options
	timer  bramleytack.Timer
	faults *btfault.Switch
	mux    *http.ServeMux
	wake   chan struct{}
	done   chan struct{}
	once   sync.Once

	mu         sync.Mutex
	core       *Core
	changed    map[bramleytack.StreamID]chan struct{}
	executions map[bramleytack.RequestID]int
	restartAt  time.Time
}

// NewServer returns a server of a running engine.
func NewServer(opts Options, timer bramleytack.Timer) *Server {
	s := &Server{
		opts:       opts,
		timer:      timer,
		mux:        http.NewServeMux(),
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		core:       NewCore(opts.Config, timer.Now()),
		changed:    map[bramleytack.StreamID]chan struct{}{},
		executions: map[bramleytack.RequestID]int{},
	}
	s.faults = &btfault.Switch{Timer: timer, Target: s}
	s.route()
	go s.run()
	return s
}

func (s *Server) route() {
	s.mux.HandleFunc("POST /v1/generations", s.alive(s.serveStart))
	s.mux.HandleFunc("GET /v1/generations/{id}", s.alive(s.serveResume))
	s.mux.HandleFunc("DELETE /v1/generations/{id}", s.alive(s.serveCancel))
	s.mux.HandleFunc("GET /v1/load", s.alive(s.serveLoad))
	s.mux.HandleFunc("GET /v1/cache-events", s.alive(s.serveCacheEvents))
	s.mux.HandleFunc("POST /v1/orders", s.alive(s.serveOrder))
	s.mux.HandleFunc("GET /debug/stats", s.serveStats)
	s.mux.HandleFunc("GET /debug/executions", s.serveExecutions)
}

// Close stops the engine and its streams.
func (s *Server) Close() {
	s.once.Do(func() { close(s.done) })
}

// Faults returns the switch of the server's faults.
func (s *Server) Faults() *btfault.Switch { return s.faults }

// Handler returns the server's handler with its faults.
func (s *Server) Handler() http.Handler { return s.faults.Middleware(s.mux) }

// Crash implements btfault.Target.
func (s *Server) Crash() { s.do(s.core.Crash) }

// Restart implements btfault.Target.
func (s *Server) Restart() { s.do(s.core.Restart) }

// BecomeCold implements btfault.Target.
func (s *Server) BecomeCold() { s.do(s.core.BecomeCold) }

// SetCondition implements btfault.Target.
func (s *Server) SetCondition(cond btfault.Condition) {
	s.do(func(now time.Time) { s.core.SetCondition(now, cond) })
}

// Stats returns the engine's counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Stats()
}

// Executions returns how often each request was accepted.
func (s *Server) Executions() map[bramleytack.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// do changes the core and informs the readers of what happened.
func (s *Server) do(change func(now time.Time)) {
	s.mu.Lock()
	change(s.timer.Now())
	died := s.publishLocked(s.timer.Now())
	s.mu.Unlock()
	s.notify()
	s.exit(died)
}

func (s *Server) exit(died bool) {
	if died && s.opts.Exit != nil {
		s.opts.Exit(CrashStatus)
	}
}

func (s *Server) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// publishLocked advances the core, wakes the readers of generations that
// changed and says whether the engine died.
func (s *Server) publishLocked(now time.Time) bool {
	died := false
	for _, e := range s.core.Step(now) {
		if e.Kind == EventDied {
			// A restart ends the old instance and leaves the engine alive.
			died = s.core.Dead()
			s.wakeAllLocked()
			s.planRestartLocked(now)
			continue
		}
		if c, ok := s.changed[e.Stream]; ok {
			close(c)
			delete(s.changed, e.Stream)
		}
	}
	return died
}

func (s *Server) wakeAllLocked() {
	for _, c := range s.changed {
		close(c)
	}
	clear(s.changed)
}

func (s *Server) planRestartLocked(now time.Time) {
	if s.opts.RestartAfter > 0 && s.core.Dead() {
		s.restartAt = now.Add(s.opts.RestartAfter)
	}
}

// run advances the core when its next change is due.
func (s *Server) run() {
	for {
		wait, due := s.advance()
		if !due {
			select {
			case <-s.wake:
				continue
			case <-s.done:
				return
			}
		}
		alarm := s.timer.After(wait)
		select {
		case <-alarm.C():
		case <-s.wake:
		case <-s.done:
			alarm.Stop()
			return
		}
		alarm.Stop()
	}
}

// advance brings the core to the present and returns the time to its next
// change, if there is one.
func (s *Server) advance() (time.Duration, bool) {
	s.mu.Lock()
	now := s.timer.Now()
	if s.core.Dead() && !s.restartAt.IsZero() && !now.Before(s.restartAt) {
		s.core.Restart(now)
		s.restartAt = time.Time{}
	}
	died := s.publishLocked(now)
	next, due := s.core.Next()
	if s.core.Dead() && !s.restartAt.IsZero() {
		next, due = s.restartAt, true
	}
	s.mu.Unlock()
	s.exit(died)
	return next.Sub(now), due
}

// alive closes the connections of a dead engine.
func (s *Server) alive(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		dead := s.core.Dead()
		s.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	known := false
	s.do(func(now time.Time) {
		known = s.core.Cancel(now, bramleytack.StreamID(r.PathValue("id")))
	})
	if !known {
		http.Error(w, "btengine: unknown generation", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	var report bramleytack.LoadReport
	s.do(func(now time.Time) { report = s.core.Report(now) })
	btfault.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if q := r.FormValue("after"); q != "" {
		n, err := strconv.ParseUint(q, 10, 64)
		if err != nil {
			writeError(w, Refusal{Reason: ReasonInvalid})
			return
		}
		after = n
	}
	var reply CacheEvents
	s.do(func(now time.Time) {
		reply = CacheEvents{Instance: s.core.Instance(), Events: s.core.CacheEvents(now, after)}
	})
	btfault.WriteJSON(w, http.StatusOK, reply)
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	o, err := DecodeOrder(r.Body)
	if err != nil {
		writeError(w, err)
		return
	}
	reply := OrderReply{Accepted: true}
	s.do(func(now time.Time) {
		err = s.core.Order(now, o)
		reply.Instance = s.core.Instance()
	})
	if err != nil {
		writeError(w, err)
		return
	}
	btfault.WriteJSON(w, http.StatusOK, reply)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	btfault.WriteJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	btfault.WriteJSON(w, http.StatusOK, s.Executions())
}
