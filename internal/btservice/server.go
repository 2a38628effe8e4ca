package btservice

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/internal/btfault"
	"bramleytack/internal/btlag"
)

// CrashStatus is the exit status of a program whose simulated system crashed.
const CrashStatus = 3

const (
	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 8 << 20
)

var crashDirective = []byte("[[crash]]")

// Options are the settings of a Server.
type Options struct {
	Instance bramleytack.InstanceID
	// Work is the time that a call takes.
	Work time.Duration
	// MaxCalls bounds the calls executed at a time. Zero sets no bound. Further
	// calls are refused as not run.
	MaxCalls int
	// ColdLimit is the number of calls that a cold service survives. Zero makes
	// a service that is never cold.
	ColdLimit int
	// ColdFactor multiplies the work time of a cold service.
	ColdFactor float64
	// WarmAfter is the number of completed calls that warm a service.
	WarmAfter int
	// ColdGrace is the time after an unannounced switch to cold during which
	// the cold limit is not enforced.
	ColdGrace time.Duration
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// Exit is called when the service dies. Without it, the server closes all
	// connections of a dead service.
	Exit func(status int)
}

// Answer is the body of the answer to a call.
type Answer struct {
	RequestID      bramleytack.RequestID  `json:"requestId"`
	IdempotencyKey string                 `json:"idempotencyKey"`
	Method         string                 `json:"method"`
	Path           string                 `json:"path"`
	Body           string                 `json:"body"`
	Executions     int                    `json:"executions"`
	Instance       bramleytack.InstanceID `json:"instance"`
}

// Executions are the numbers of executions since the server was made.
type Executions struct {
	ByKey     map[string]int                `json:"byKey"`
	ByRequest map[bramleytack.RequestID]int `json:"byRequest"`
}

// Stats counts what a service did since the server was made.
type Stats struct {
	Calls   int `json:"calls"`
	Refused int `json:"refused"`
	// CallsLeaving counts calls accepted while the service was leaving.
	CallsLeaving int `json:"callsLeaving"`
	PeakCalls    int `json:"peakCalls"`
	Deaths       int `json:"deaths"`
	ColdDeaths   int `json:"coldDeaths"`
}

// Server is a simulated plain service. It implements btfault.Target.
type Server struct {
	opts   Options
	timer  bramleytack.Timer
	faults *btfault.Switch
	mux    *http.ServeMux

	mu         sync.Mutex
	instances  int
	dead       bool
	cold       bool
	coldFrom   time.Time
	completed  int
	running    int
	executions Executions
	stats      Stats
	condition  btfault.Condition
	reports    btlag.Buffer[bramleytack.LoadReport]
	stale      *bramleytack.LoadReport
	// gone is closed when the current instance dies.
	gone chan struct{}
}

// NewServer returns a running service.
func NewServer(opts Options, timer bramleytack.Timer) *Server {
	s := &Server{
		opts:  opts,
		timer: timer,
		mux:   http.NewServeMux(),
		executions: Executions{
			ByKey:     map[string]int{},
			ByRequest: map[bramleytack.RequestID]int{},
		},
	}
	s.faults = &btfault.Switch{Timer: timer, Target: s}
	s.mux.HandleFunc("/", s.serveCall)
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.HandleFunc("GET /debug/executions", s.serveExecutions)
	s.mux.HandleFunc("GET /debug/stats", s.serveStats)
	s.bootLocked()
	return s
}

// Close ends the calls in progress.
func (s *Server) Close() { s.kill() }

// Faults returns the switch of the server's faults.
func (s *Server) Faults() *btfault.Switch { return s.faults }

// Handler returns the server's handler with its faults.
func (s *Server) Handler() http.Handler { return s.faults.Middleware(s.mux) }

// Crash implements btfault.Target.
func (s *Server) Crash() {
	if s.kill() {
		s.exit()
	}
}

// Restart implements btfault.Target.
func (s *Server) Restart() {
	s.kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootLocked()
}

// BecomeCold implements btfault.Target.
func (s *Server) BecomeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold, s.completed = s.opts.ColdLimit > 0, 0
	s.coldFrom = s.timer.Now().Add(s.opts.ColdGrace)
}

// SetCondition implements btfault.Target. A service has no memory limit.
func (s *Server) SetCondition(c btfault.Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if c.StaleReports {
		r := s.reportLocked()
		s.stale = &r
	}
	s.condition = c
	s.recordLocked()
}

// Executions returns the numbers of executions so far.
func (s *Server) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{ByKey: maps.Clone(s.executions.ByKey), ByRequest: maps.Clone(s.executions.ByRequest)}
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) bootLocked() {
	s.instances++
	s.dead = false
	s.running, s.completed = 0, 0
	s.cold, s.coldFrom = s.opts.ColdLimit > 0, s.timer.Now()
	s.gone = make(chan struct{})
	s.reports.Clear()
	s.recordLocked()
}

// kill ends the current instance and says whether it was alive.
func (s *Server) kill() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return false
	}
	s.dieLocked()
	return true
}

func (s *Server) dieLocked() {
	s.dead = true
	s.stats.Deaths++
	close(s.gone)
}

func (s *Server) exit() {
	if s.opts.Exit != nil {
		s.opts.Exit(CrashStatus)
	}
}

func (s *Server) instanceLocked() bramleytack.InstanceID {
	return s.opts.Instance + bramleytack.InstanceID("."+strconv.Itoa(s.instances))
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	dead := s.dead
	r := s.reportLocked()
	s.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	btfault.WriteJSON(w, http.StatusOK, r)
}

func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	btfault.WriteJSON(w, http.StatusOK, s.Executions())
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	btfault.WriteJSON(w, http.StatusOK, s.Stats())
}

// recordLocked keeps the current state for load reports.
func (s *Server) recordLocked() {
	now := s.timer.Now()
	s.reports.Add(now, bramleytack.LoadReport{
		Instance: s.instanceLocked(),
		At:       now,
		Running:  s.running,
		Leaving:  s.condition.Leaving,
	})
	s.reports.Latest(now.Add(-s.lagLocked()))
}

// reportLocked returns the load report that the service sends now.
func (s *Server) reportLocked() bramleytack.LoadReport {
	now := s.timer.Now()
	if s.stale != nil {
		r := *s.stale
		r.Age = now.Sub(r.At)
		return r
	}
	by := now.Add(-s.lagLocked())
	r, at, _ := s.reports.Latest(by)
	// The state held until the next one was recorded.
	if by.After(at) {
		r.At = by
	}
	r.Age = now.Sub(r.At)
	return r
}

func (s *Server) lagLocked() time.Duration { return s.opts.ReportLag + s.condition.ReportLag }

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		btfault.WriteRefusal(w, http.StatusBadRequest, "incomplete body")
		return
	}
	c := s.begin(r)
	switch c.result {
	case resultRefused:
		btfault.WriteRefusal(w, http.StatusTooManyRequests, "too many calls")
		return
	case resultDead:
		panic(http.ErrAbortHandler)
	case resultOverload:
		s.exit()
		panic(http.ErrAbortHandler)
	case resultRuns:
	}
	if bytes.Contains(body, crashDirective) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.work(c)
	s.end(c)
	s.answer(w, r, c, body)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, c call, body []byte) {
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	btfault.WriteJSON(w, http.StatusOK, Answer{
		RequestID:      bramleytack.RequestID(r.Header.Get(requestIDHeader)),
		IdempotencyKey: r.Header.Get(idempotencyKeyHeader),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Body:           string(body),
		Executions:     c.executions,
		Instance:       c.instance,
	})
}

// work passes the time of a call. A call whose instance dies has no answer.
func (s *Server) work(c call) {
	if c.work <= 0 {
		return
	}
	alarm := s.timer.After(c.work)
	defer alarm.Stop()
	select {
	case <-alarm.C():
	case <-c.gone:
		panic(http.ErrAbortHandler)
	}
}
