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
	DefaultInterval       = 20 * time.Millisecond
	DefaultRetention      = 24 * time.Hour
	DefaultSegmentBytes   = 256 << 10
	DefaultMaxRepeatWait  = 2 * time.Second
	DefaultOutcomeTimeout = time.Minute
)

// Kind is the store kind of the heads and segments of all shards.
const Kind = "claim"

// Shard implements Claims for the keys of one shard in the daemon that owns it.
// Set Store, Timer, Cell and Number before use; other zero values select the
// defaults. Begin, Finish and Abandon wait for Run, which must run once. They
// may be called concurrently.
type Shard struct {
	Store  bramleytack.Store
	Timer  bramleytack.Timer
	Cell   bramleytack.CellID
	Number int
	// Interval is the least time between two commits.
	Interval time.Duration
	// Retention is the least time that a claim is kept.
	Retention time.Duration
	// SegmentBytes is the size of the head's records above which they move to a
	// new segment. Each commit writes the whole head, so it must be well under
	// bramleytack.MaxObjectBytes.
	SegmentBytes int
	// MaxRepeatWait bounds how long a repeat waits for the outcome of the first
	// call.
	MaxRepeatWait time.Duration
	// OutcomeTimeout is the age of a claim from which its outcome is no longer
	// expected. It should exceed the longest timeout of a call.
	OutcomeTimeout time.Duration

	mu    sync.Mutex
	queue []*operation
	// wake receives a value when Run has work.
	wake   chan struct{}
	closed bool

	// The fields below are used only by Run. loaded reports whether cache was
	// read from the store.
	loaded          bool
	cache           shardCache
	orphans         []orphan
	waiters         map[ClaimKey]chan struct{}
	deletedSegments map[string]bool
}

// Begin implements Claims. A repeat of a call that has no outcome yet waits for
// it up to MaxRepeatWait.
func (s *Shard) Begin(ctx context.Context, key ClaimKey, body bramleytack.Fingerprint, entry bramleytack.HostID, request bramleytack.RequestID) (Decision, error) {
	if err := key.validate(); err != nil {
		return Decision{}, err
	}
	next := record{ClaimKey: key, State: claimed, Body: body[:], Entry: entry, Request: request}
	r := s.begin(ctx, next, false)
	if r.err != nil || r.Kind != InProgress {
		return r.Decision, r.err
	}
	timeout := s.Timer.After(orDefault(s.MaxRepeatWait, DefaultMaxRepeatWait))
	defer timeout.Stop()
	for r.Kind == InProgress {
		reload := false
		select {
		case <-r.changed:
		case <-timeout.C():
			// The outcome may have been recorded by another owner.
			reload = true
		case <-ctx.Done():
			return r.Decision, nil
		}
		again := s.begin(ctx, next, reload)
		if again.err != nil {
			// The error's outcome is NotRun, but the earlier call may have
			// run, so the decision before the error is returned.
			return r.Decision, nil
		}
		r = again
		if reload {
			break
		}
	}
	return r.Decision, nil
}

func (s *Shard) begin(ctx context.Context, next record, reload bool) result {
	next.Attempt, next.ClaimedAt = AttemptID(rand.Text()), s.Timer.Now()
	o := newOperation(next)
	o.reload = reload
	return s.submit(ctx, o)
}

// Finish implements Claims.
func (s *Shard) Finish(ctx context.Context, key ClaimKey, attempt AttemptID, outcome bramleytack.Outcome, response *bramleytack.Response) error {
	next := record{ClaimKey: key, Attempt: attempt}
	switch outcome {
	case bramleytack.NotRun:
		next.State = notRun
	case bramleytack.Ran:
		next.State, next.Response = done, newStoredResponse(response)
	default:
		return nil
	}
	o := newOperation(next)
	o.finish = true
	return s.submit(ctx, o).err
}

// Abandon marks the claim of a call as notRun. Unlike Finish, it needs no
// attempt id: it serves a call whose begin at a remote owner got no reply. Only
// the entry daemon of the call may use it, and it must never dispatch the call.
func (s *Shard) Abandon(ctx context.Context, key ClaimKey, entry bramleytack.HostID, request bramleytack.RequestID) error {
	o := newOperation(record{ClaimKey: key, State: notRun, Entry: entry, Request: request})
	o.finish = true
	o.reload = true
	return s.submit(ctx, o).err
}

// Run commits operations until ctx ends; later operations fail. It reads the
// shard from the store when the first operation arrives.
func (s *Shard) Run(ctx context.Context) {
	wake := s.wakeChannel()
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			s.close()
			return
		}
		if s.commit(ctx, s.takeQueue()) {
			_ = s.Timer.Sleep(ctx, orDefault(s.Interval, DefaultInterval))
		}
	}
}

// submit queues an operation and waits for its result or for the end of ctx.
func (s *Shard) submit(ctx context.Context, o *operation) result {
	if !s.enqueue(o) {
		return result{err: errClosed}
	}
	select {
	case r := <-o.result:
		return r
	case <-ctx.Done():
	}
	if o.delivery.CompareAndSwap(waiting, abandoned) {
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

func (s *Shard) takeQueue() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops := s.queue
	s.queue = nil
	return ops
}

// requeue puts the operations that a commit postponed at the front of the queue.
func (s *Shard) requeue(ops []*operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(ops[:len(ops):len(ops)], s.queue...)
	notify(s.wake)
}

// close rejects the queued operations and all later ones.
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

// objectKey returns the store key of the shard's head or of a segment.
func (s *Shard) objectKey(name string) bramleytack.Key {
	return bramleytack.Key{Kind: Kind, Name: string(s.Cell) + "." + strconv.Itoa(s.Number) + "." + name}
}

func (s *Shard) headKey() bramleytack.Key { return s.objectKey("head") }

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

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
