package btworker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Config describes an upstream.
type Config struct {
	ID   string
	Addr netip.AddrPort
	// Events is the length of a stream. Zero makes a plain service.
	Events int
	// Read is the time to the first event, Gap the one between events.
	Read time.Duration
	Gap  time.Duration
	// Unframed streams have neither a length nor chunks.
	Unframed bool
	// Work is the time of a plain call, Padding the number of bytes by which its answer is longer.
	Work    time.Duration
	Padding int
	// Slots is the number of requests that run at once, zero for any. Others wait, up to
	// Queue of them, zero for any, and get no byte before they run.
	Slots int
	Queue int
	// Fatal reports whether a request crashes the upstream as it begins to run it. Nil
	// means that none does. The upstream starts again after Restart and calls Restarted.
	Fatal func(r *http.Request, body string) bool
	// FatalAt returns the event of a stream that a fatal request crashes the upstream at instead,
	// after it was sent. last is the event that the upstream goes on after. Nil means the begin.
	FatalAt   func(last int) int
	Restart   time.Duration
	Restarted func(*Worker)
	// Flaw makes a part of the answers bad. Nil makes none bad.
	Flaw *Flaw
}

// Fault makes an upstream misbehave.
type Fault uint8

// The faults.
const (
	// Healthy upstreams answer.
	Healthy Fault = iota
	// Full upstreams refuse without running.
	Full
	// Lost answers never leave, and the connection closes.
	Lost
	// Foreign answers carry the id of another request.
	Foreign
	// Truncated answers end before their length.
	Truncated
	// Broken upstreams answer with status 500.
	Broken
	// Mute upstreams run the request and send nothing.
	Mute
	// Doubled answers are followed by a second one.
	Doubled
	// Undeclared upstreams run the request and answer with the status of SetRejection, as one
	// that refuses does, but do not say that it has not run.
	Undeclared
)

var faultNames = [...]string{"healthy", "full", "lost", "foreign", "truncated", "broken", "mute", "doubled", "undeclared"}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

// Worker is one upstream.
type Worker struct {
	pool   *Pool
	cfg    Config
	server *http.Server
	fault  atomic.Uint32
	// stalled holds streams back, as a preemption does.
	stalled atomic.Bool
	// deaf upstreams do not notice that callers leave, those that are deafForGood never.
	deaf        atomic.Bool
	deafForGood atomic.Bool
	// unstoppable upstreams do not obey orders to stop.
	unstoppable atomic.Bool
	// stopDelay is the time from the confirmation of an order to stop until the work ends.
	stopDelay atomic.Int64
	// lostAnswers is the number of the next orders to stop whose answers are lost.
	lostAnswers atomic.Int64
	places      places
	crashed     atomic.Bool
	// retryAfter is the Retry-After value of a full upstream's rejections, empty for none.
	retryAfter atomic.Pointer[string]
	// rejection is the status of undeclared rejections, zero for 503.
	rejection atomic.Int32
	// copyRefusals upstreams send refusals twice.
	copyRefusals atomic.Bool
	// leaving upstreams say so in all their responses.
	leaving atomic.Bool
	// limit is the value of the limit header, empty for none.
	limit atomic.Pointer[string]
	// misdirected counts requests for another instance.
	misdirected atomic.Int64

	mu     sync.Mutex
	copies map[string]heldCopy
	active map[string]*Span
	// cancels end the work on requests.
	cancels map[string]context.CancelFunc
	last    *http.Request
	body    string
	// arrivals are the requests that arrived, in order.
	arrivals []Arrival
	// limitedAt is when the first answer with a limit was sent, told when the first one
	// was sent to each host.
	limitedAt time.Time
	told      map[netip.Addr]time.Time
}

// Arrival is a request that reached an upstream.
type Arrival struct {
	At   time.Time
	From netip.Addr
}

func (w *Worker) serve() {
	l, err := w.pool.Listen(w.cfg.Addr)
	if err != nil {
		panic(err)
	}
	w.server = &http.Server{Handler: w, ConnContext: w.connContext}
	go w.run(l)
}

// run serves until the upstream crashes.
func (w *Worker) run(l net.Listener) { _ = w.server.Serve(l) }

// Crash ends the upstream and cuts its connections.
func (w *Worker) Crash() {
	w.crashed.Store(true)
	w.end()
}

// end cuts the connections and ends the work, also of an upstream that hears nothing.
func (w *Worker) end() {
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancels {
		cancel()
	}
}

// Set sets the fault of later requests.
func (w *Worker) Set(f Fault) { w.fault.Store(uint32(f)) }

// Stall holds streams back, or lets them go on.
func (w *Worker) Stall(on bool) { w.stalled.Store(on) }

// SetLeaving makes the upstream say that it is leaving, or end that.
func (w *Worker) SetLeaving(on bool) { w.leaving.Store(on) }

// SetLimit makes the upstream name a limit in all its responses. An empty one ends it.
func (w *Worker) SetLimit(value string) { w.limit.Store(&value) }

// nameLimit adds the limit to a response to a host.
func (w *Worker) nameLimit(header http.Header, to netip.Addr) {
	v := w.limit.Load()
	if v == nil || *v == "" {
		return
	}
	header.Set(w.pool.Dialect.Limit, *v)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.limitedAt.IsZero() {
		w.limitedAt, w.told = now, map[netip.Addr]time.Time{}
	}
	if _, ok := w.told[to]; !ok {
		w.told[to] = now
	}
}

// MostWithin returns the largest number of requests that arrived within a window, from
// stable after the first response with a limit on. Requests of hosts that were told of it
// less than notice before do not count.
func (w *Worker) MostWithin(window, stable, notice time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limitedAt.IsZero() {
		return 0
	}
	var counted []time.Time
	most := 0
	for _, a := range w.arrivals {
		told, ok := w.told[a.From]
		if !ok || a.At.Sub(told) < notice || a.At.Sub(w.limitedAt) < stable {
			continue
		}
		counted = append(counted, a.At)
		for a.At.Sub(counted[0]) >= window {
			counted = counted[1:]
		}
		most = max(most, len(counted))
	}
	return most
}

// ArrivedAfter returns the number of requests that arrived later than a time.
func (w *Worker) ArrivedAfter(at time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.arrivals {
		if a.At.After(at) {
			n++
		}
	}
	return n
}

// FirstAfter returns the time of the first request that arrived at a time or later, or the
// zero time.
func (w *Worker) FirstAfter(at time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if !a.At.Before(at) {
			return a.At
		}
	}
	return time.Time{}
}

// Last returns the last request and its body.
func (w *Worker) Last() (*http.Request, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.body
}

// Active returns the number of requests that run.
func (w *Worker) Active() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}

// running returns the work on a request, or nil.
func (w *Worker) running(id string) *Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active[id]
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d := w.pool.Dialect
	if w.pool.Calls != nil && w.pool.Calls(rw, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	sendCopies(r)
	id := r.Header.Get(d.RequestID)
	var caller netip.Addr
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		caller = a.Addr()
	}
	w.mu.Lock()
	w.last, w.body = r, string(body)
	w.arrivals = append(w.arrivals, Arrival{At: time.Now(), From: caller})
	w.mu.Unlock()
	visit := w.pool.arrived(id, w.cfg.ID)
	defer w.pool.mark(&visit.Ended)
	rw.Header().Set(d.RequestID, id)
	w.nameLimit(rw.Header(), caller)
	if w.leaving.Load() {
		rw.Header().Set(d.Leaving, "1")
	}
	if want := r.Header.Get(d.ExpectInstance); want != "" && want != w.cfg.ID {
		w.misdirected.Add(1)
		w.copyRefusal(r, http.StatusMisdirectedRequest, rw.Header())
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var from *heldCopy
	if handle := r.Header.Get(d.From); handle != "" {
		from = w.use(handle)
	}
	if Fault(w.fault.Load()) == Full || from == nil && r.Header.Get(d.From) != "" {
		w.refuse(rw, r, errFull)
		return
	}
	ctx, done := w.workContext(r)
	if err := w.places.take(ctx, from != nil); err != nil {
		done()
		w.refuse(rw, r, err)
		return
	}
	defer w.places.leave()
	w.pool.mark(&visit.Began)
	last, _ := strconv.Atoi(r.Header.Get(d.LastEvent))
	work := w.pool.begin(w.cfg.ID, id, from, last)
	w.nameLoad(rw.Header())
	w.mu.Lock()
	w.active[id], w.cancels[id] = work, done
	w.mu.Unlock()
	defer func() {
		done()
		w.pool.end(work)
		w.mu.Lock()
		if w.active[id] == work {
			delete(w.active, id)
			delete(w.cancels, id)
		}
		w.mu.Unlock()
	}()
	rw.Header().Set(d.Seal, "seal-"+w.cfg.ID)
	slow := w.cfg.Flaw.of(r, w.Active())
	if slow != soundPace {
		w.pool.markBad(work)
	}
	if slow == fails {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	if Fault(w.fault.Load()) == Undeclared {
		w.reject(ctx, rw)
		return
	}
	fatal := w.cfg.Fatal != nil && w.cfg.Fatal(r, string(body))
	if w.cfg.Events > 0 {
		w.stream(ctx, rw, r, work, slow, fatal)
		return
	}
	if fatal {
		w.crashByRequest()
	}
	w.answer(ctx, rw, id, slow)
}

// deafPoll is the time between two looks whether a deaf upstream hears again.
const deafPoll = 10 * time.Millisecond

// workContext returns a context that ends when the upstream notices that the caller of a
// request has disconnected, or the time is over that the request's header names in
// milliseconds.
func (w *Worker) workContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	if ms, err := strconv.Atoi(r.Header.Get(w.pool.Dialect.DeadlineMillis)); err == nil && ms > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	stop := context.AfterFunc(r.Context(), func() {
		for w.deaf.Load() {
			time.Sleep(deafPoll)
		}
		if !w.deafForGood.Load() {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// nameLoad adds the load to a response if the number of places is limited.
func (w *Worker) nameLoad(header http.Header) {
	if v := w.places.load(); v != "" {
		header.Set(w.pool.Dialect.Load, v)
	}
}

func (w *Worker) answer(ctx context.Context, rw http.ResponseWriter, id string, slow int) {
	if !pause(ctx, time.Duration(slow)*w.cfg.Work) {
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	body := "answer of " + w.cfg.ID + strings.Repeat(" ", w.cfg.Padding) + " to " + id
	switch Fault(w.fault.Load()) {
	case Lost:
		panic(http.ErrAbortHandler)
	case Mute:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case Foreign:
		rw.Header().Set(w.pool.Dialect.RequestID, "another")
	case Truncated:
		rw.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
		_, _ = io.WriteString(rw, body)
		panic(http.ErrAbortHandler)
	case Broken:
		rw.WriteHeader(http.StatusInternalServerError)
	case Doubled:
		w.double(rw, body, id)
		return
	}
	_, _ = io.WriteString(rw, body)
}

// double sends two answers to one request.
func (w *Worker) double(rw http.ResponseWriter, body, id string) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", w.pool.Dialect.RequestID, id, len(body), body)
	_, _ = io.WriteString(c, text+text)
}

// stream sends events until the end, or until the connection closes.
func (w *Worker) stream(ctx context.Context, rw http.ResponseWriter, r *http.Request, work *Span, slow int, fatal bool) {
	d := w.pool.Dialect
	if backup := r.Header.Get(d.Backup); backup != "" {
		if addr, err := netip.ParseAddrPort(strings.TrimSpace(backup)); err == nil && w.pool.at(addr) != nil {
			w.pool.at(addr).keep(addr.String()+"/"+work.ID, work, w.pool.CopyDelay)
		}
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	if w.cfg.Unframed {
		// net/http sends no chunks then, and closes the connection at the end.
		rw.Header().Set("Transfer-Encoding", "identity")
	}
	// The head leaves before the first event.
	_ = http.NewResponseController(rw).Flush()
	if !pause(ctx, time.Duration(slow)*w.cfg.Read) || Fault(w.fault.Load()) == Lost {
		panic(http.ErrAbortHandler)
	}
	crashAt := 0
	if fatal && w.cfg.FatalAt != nil {
		crashAt = w.cfg.FatalAt(work.Last)
	}
	if fatal && crashAt <= work.Last {
		w.crashByRequest()
	}
	for n := work.Last + 1; n <= w.cfg.Events; n++ {
		for w.stalled.Load() {
			if !pause(ctx, w.cfg.Gap) {
				panic(http.ErrAbortHandler)
			}
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: event %d, run %d from %d of %s\n\n", n, n, work.Run, work.Start, work.ID); err != nil && w.hears() {
			return
		}
		if err := http.NewResponseController(rw).Flush(); err != nil && w.hears() || !pause(ctx, time.Duration(slow)*w.cfg.Gap) {
			panic(http.ErrAbortHandler)
		}
		if n == crashAt {
			w.crashByRequest()
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ID returns the upstream's id.
func (w *Worker) ID() string { return w.cfg.ID }

// Addr returns the upstream's address.
func (w *Worker) Addr() netip.AddrPort { return w.cfg.Addr }

// Misdirected returns the number of requests that expected another instance.
func (w *Worker) Misdirected() int { return int(w.misdirected.Load()) }
