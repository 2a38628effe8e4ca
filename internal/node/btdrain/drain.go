package btdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleytack"
)

const (
	// minLeaving is the least time for which a daemon serves callers after it left the
	// directory. Callers may use a directory response for three times its validity.
	minLeaving = 4 * time.Second
	// closingTime is the least time between the close of the listeners and the end of a
	// daemon. Requests that arrived just before are read and answered in it.
	closingTime = time.Second
	// answerTime is the time between the end of the phase Closing and the end of a daemon.
	// Requests whose callers have got no byte are answered in it, and no more are read.
	answerTime = 300 * time.Millisecond
	// lastReadTime is the least time in the phase Closing. Requests on connections that
	// were accepted just before are read and answered in it.
	lastReadTime = 200 * time.Millisecond
	// earlyTime is the time after the signal in which callers are assumed not to know of it.
	earlyTime = 2500 * time.Millisecond
	// killMargin is the least time between the end of a daemon and its kill by the
	// platform.
	killMargin = 400 * time.Millisecond
	// checkPeriod is the time between two checks whether a phase may end early.
	checkPeriod = 100 * time.Millisecond
)

// Phase is a step of a daemon's end.
type Phase int32

// The phases, in order.
const (
	Serving Phase = iota
	Leaving
	Closing
	Finishing
	Ended
)

var phaseNames = [...]string{"serving", "leaving", "closing", "finishing", "ended"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Server serves callers' connections.
type Server interface {
	// CloseListener refuses new connections. Those that are open are served.
	CloseListener() error
	// Shutdown closes idle connections and reads no further requests. It returns when no
	// connection is active or the context ends.
	Shutdown(ctx context.Context) error
}

// HTTPServer is a Server that serves HTTP on one listener.
type HTTPServer struct {
	*http.Server
	Listener net.Listener
}

// CloseListener implements Server.
func (s *HTTPServer) CloseListener() error { return s.Listener.Close() }

// Drain is the state of a daemon's end. Its fields are set before the first use. The
// methods are safe for concurrent use, but Run may be called once.
type Drain struct {
	Timer bramleytack.Timer
	// Grace is the time from the termination signal to the kill by the platform.
	Grace time.Duration
	// Active returns the number of requests that are being served.
	Active func() int
	// Changed is called at the start of each phase after Serving. It may be nil.
	Changed func(p Phase)

	phase atomic.Int32
	// finishAt is the start of the phase Finishing, once the daemon is not Serving.
	finishAt atomic.Pointer[time.Time]
	once     sync.Once
	finish   context.Context
	// setFinished ends finish.
	setFinished context.CancelFunc
}

// Phase returns the current phase.
func (d *Drain) Phase() Phase { return Phase(d.phase.Load()) }

// Finish returns a context that ends with the phase Closing, when requests whose callers have
// got no byte have to be answered.
func (d *Drain) Finish() context.Context {
	d.once.Do(func() { d.finish, d.setFinished = context.WithCancel(context.Background()) })
	return d.finish
}

// FinishAt returns the time at which the context of Finish ends at the latest. It reports
// false while the daemon is Serving.
func (d *Drain) FinishAt() (time.Time, bool) {
	at := d.finishAt.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// Accepts reports whether a request that arrived at a time and takes some more time should end
// before the phase Finishing. For one that arrived soon after the signal, when few callers know
// that the daemon is leaving and others may be leaving too, the time that it is expected to
// take decides. A later one must end in the longest time that it may take.
func (d *Drain) Accepts(arrived time.Time, expected, longest time.Duration) bool {
	finishAt, leaving := d.FinishAt()
	if !leaving {
		return true
	}
	now := d.Timer.Now()
	if arrived.Before(finishAt.Add(answerTime + killMargin - d.Grace + earlyTime)) {
		return now.Add(expected).Before(finishAt)
	}
	return now.Add(longest).Before(finishAt)
}

// Run passes through the phases and returns when the daemon may end. The servers close
// their listeners in the phase Closing, and all that is idle in the phase Finishing.
func (d *Drain) Run(servers ...Server) {
	started := d.Timer.Now()
	end := started.Add(max(d.Grace-killMargin, 0))
	finishAt := end.Add(-answerTime)
	d.finishAt.Store(&finishAt)
	d.enter(Leaving)
	closeAt := end.Add(-closingTime)
	d.wait(closeAt, func() bool { return d.Timer.Now().Sub(started) >= minLeaving && d.Active() == 0 })
	d.enter(Closing)
	for _, s := range servers {
		// An error means that the listener has closed before.
		_ = s.CloseListener()
	}
	closed := d.Timer.Now()
	d.wait(finishAt, func() bool { return d.Timer.Now().Sub(closed) >= lastReadTime && d.Active() == 0 })
	d.Finish()
	d.setFinished()
	d.enter(Finishing)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var open atomic.Int32
	for _, s := range servers {
		open.Add(1)
		go (&shutdown{server: s, open: &open}).run(ctx)
	}
	// A process that was paused, or got no processor time, still answers.
	d.wait(latest(end, d.Timer.Now().Add(answerTime)), func() bool { return open.Load() == 0 && d.Active() == 0 })
	d.enter(Ended)
}

func (d *Drain) enter(p Phase) {
	d.phase.Store(int32(p))
	if d.Changed != nil {
		d.Changed(p)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wait returns at a time, or earlier once done returns true.
func (d *Drain) wait(until time.Time, done func() bool) {
	for !done() {
		left := until.Sub(d.Timer.Now())
		if left <= 0 || d.Timer.Sleep(context.Background(), min(checkPeriod, left)) != nil {
			return
		}
	}
}

// shutdown is the shutdown of one server.
type shutdown struct {
	server Server
	open   *atomic.Int32
}

func (s *shutdown) run(ctx context.Context) {
	// An error means that connections are still active, which Run waits for itself.
	_ = s.server.Shutdown(ctx)
	s.open.Add(-1)
}
