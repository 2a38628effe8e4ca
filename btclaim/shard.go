package btclaim

import (
	"context"
	"crypto/rand"
	"strconv"
	"sync"
	"time"

	"bramleytack"
)

// Defaults of a Shard.
const (
	DefaultInterval      = 20 * time.Millisecond
	DefaultRetention     = 24 * time.Hour
	DefaultSegmentBytes  = 256 << 10
	DefaultRepeatWait    = 2 * time.Second
	DefaultProgressLimit = time.Minute
)

// Kind is the kind of the objects that hold claims.
const Kind = "claim"

// Shard owns one shard's claims and implements Claims for them. Set Store,
// Timer, Cell and Number before use; other zero values select the defaults.
type Shard struct {
	Store  bramleytack.Store
	Timer  bramleytack.Timer
	Cell   bramleytack.CellID
	Number int
	// Interval is the least time between two commits.
	Interval time.Duration
	// Retention is how long claims are kept.
	Retention time.Duration
	// SegmentBytes is the size of the head at which a new segment starts. Each
	// commit writes the whole head, so it is well under the store's limit.
	SegmentBytes int
	// RepeatWait is how long a repeat waits for the outcome of the first call.
	RepeatWait time.Duration
	// ProgressLimit is the age from which a claim without outcome counts as
	// lost. It should exceed the longest timeout of a call.
	ProgressLimit time.Duration

	mu     sync.Mutex
	queue  []*operation
	wake   chan struct{}
	closed bool

	// The fields below belong to run.
	loaded  bool
	ledger  ledger
	orphans []orphan
	waiters map[ClaimKey]chan struct{}
	gone    map[string]bool
}

// Begin implements Claims. A repeat of a call that has no outcome yet waits up
// to RepeatWait for it.
func (s *Shard) Begin(ctx context.Context, key ClaimKey, body bramleytack.Fingerprint, entry bramleytack.HostID, request bramleytack.RequestID) (Decision, error) {
	if err := key.validate(); err != nil {
		return Decision{}, err
	}
	next := record{ClaimKey: key, State: claimed, Body: body[:], Entry: entry, Request: request}
	r := s.begin(ctx, next, false)
	if r.err != nil || r.Kind != InProgress {
		return r.Decision, r.err
	}
	patience := s.Timer.After(or(s.RepeatWait, DefaultRepeatWait))
	defer patience.Stop()
	for r.Kind == InProgress {
		refresh := false
		select {
		case <-r.settled:
		case <-patience.C():
			// The outcome may have been recorded by another owner.
			refresh = true
		case <-ctx.Done():
			return r.Decision, nil
		}
		again := s.begin(ctx, next, refresh)
		if again.err != nil {
			// The earlier call may have run, so the error's outcome is not
			// the outcome of the key.
			return r.Decision, nil
		}
		r = again
		if refresh {
			break
		}
	}
	return r.Decision, nil
}

func (s *Shard) begin(ctx context.Context, next record, refresh bool) result {
	next.Attempt, next.At = AttemptID(rand.Text()), s.Timer.Now()
	o := newOperation(next)
	o.refresh = refresh
	return s.submit(ctx, o)
}

// Finish implements Claims.
func (s *Shard) Finish(ctx context.Context, key ClaimKey, attempt AttemptID, outcome bramleytack.Outcome, response *bramleytack.Response) error {
	next := record{ClaimKey: key, Attempt: attempt}
	switch outcome {
	case bramleytack.NotRun:
		next.State = notRun
	case bramleytack.Ran:
		next.State, next.Answer = done, newAnswer(response)
	default:
		return nil
	}
	o := newOperation(next)
	o.finish = true
	return s.submit(ctx, o).err
}

// Abandon marks the claim of a call as notRun although its attempt is not
// known. Only the entry of a call that will never be dispatched may use it, such
// as one whose begin at another owner got no answer.
func (s *Shard) Abandon(ctx context.Context, key ClaimKey, entry bramleytack.HostID, request bramleytack.RequestID) error {
	o := newOperation(record{ClaimKey: key, State: notRun, Entry: entry, Request: request})
	o.finish = true
	o.refresh = true
	return s.submit(ctx, o).err
}

// Run commits operations until ctx ends. It reads the shard when the first
// operation arrives.
func (s *Shard) Run(ctx context.Context) {
	wake := s.wakeChannel()
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			s.close()
			return
		}
		if s.commit(ctx, s.take()) {
			_ = s.Timer.Sleep(ctx, or(s.Interval, DefaultInterval))
		}
	}
}

// submit queues an operation and waits for its result.
func (s *Shard) submit(ctx context.Context, o *operation) result {
	if !s.enqueue(o) {
		return result{err: errClosed}
	}
	select {
	case r := <-o.result:
		return r
	case <-ctx.Done():
	}
	if o.owner.CompareAndSwap(waiting, abandoned) {
		return result{err: errTimeout.WithCause(ctx.Err())}
	}
	return <-o.result
}

func (s *Shard) enqueue(ops ...*operation) bool {
	wake := s.wakeChannel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.queue = append(s.queue, ops...)
	notify(wake)
	return true
}

func (s *Shard) take() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops := s.queue
	s.queue = nil
	return ops
}

// requeue puts operations that a commit left over before all others.
func (s *Shard) requeue(ops []*operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(ops[:len(ops):len(ops)], s.queue...)
	notify(s.wake)
}

func (s *Shard) close() {
	s.mu.Lock()
	s.closed = true
	ops := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, o := range ops {
		o.deliver(result{err: errClosed})
	}
}

func (s *Shard) wakeChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

// object returns the key of one of the shard's objects.
func (s *Shard) object(name string) bramleytack.Key {
	return bramleytack.Key{Kind: Kind, Name: string(s.Cell) + "." + strconv.Itoa(s.Number) + "." + name}
}

func (s *Shard) headKey() bramleytack.Key { return s.object("head") }

func (s *Shard) segmentBytes() int {
	if s.SegmentBytes > 0 {
		return s.SegmentBytes
	}
	return DefaultSegmentBytes
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func or(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
