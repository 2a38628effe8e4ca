package btlease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bramleytack"
)

const (
	// callTimeout bounds a store call. It leaves time to repeat a failed
	// renewal before the lease ends.
	callTimeout = 2 * time.Second
	// maxAcquireDelay bounds the delay by which candidates stagger their
	// acquisitions.
	maxAcquireDelay = time.Second
	// unknownHolder stands for the holder of a lease object that was deleted or
	// cannot be decoded. Candidates wait for the end of its lease like for any
	// other.
	unknownHolder = "unknown"
)

// Lease acquires and renews a cell's lease on behalf of one host. The exported
// fields must be set before the first call and not changed afterwards. Run is
// called once; the other methods are safe for concurrent use.
type Lease struct {
	Store bramleytack.Store
	Timer bramleytack.Timer
	Cell  bramleytack.CellID
	Host  bramleytack.HostID
	// PeerAddr is where other hosts reach this one when it holds the lease.
	PeerAddr netip.AddrPort

	once    sync.Once
	mu      sync.Mutex
	machine machine
	wake    chan struct{}
	// changed is closed and replaced at the start of each step.
	changed chan struct{}
}

// Run acquires and renews the lease until ctx ends. It does not release it.
func (l *Lease) Run(ctx context.Context) {
	l.init()
	for ctx.Err() == nil {
		l.runStep(ctx)
	}
}

// Held returns the fencing token and the remaining time of the lease. It
// returns false if this host does not hold the lease.
func (l *Lease) Held() (bramleytack.Fence, time.Duration, bool) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.held(l.Timer.Now())
}

// Version returns the newest version of the lease object that the host knows,
// or 0.
func (l *Lease) Version() bramleytack.Revision {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.acquired {
		return l.machine.version
	}
	return l.machine.seenVersion
}

// Holder returns the last record that the host read or wrote, and whether it
// names a holder. The lease of that holder may have ended since.
func (l *Lease) Holder() (Record, bool) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, _, ok := l.machine.held(l.Timer.Now()); ok {
		return Record{Holder: l.Host, PeerAddr: l.PeerAddr, Term: l.machine.term}, true
	}
	r := l.machine.seenRecord
	return r, r.Holder != ""
}

// Observe records a version of the lease object that the holder named in a
// message. While a candidate gets new versions this way it reads nothing.
func (l *Lease) Observe(version bramleytack.Revision) {
	l.init()
	l.mu.Lock()
	l.machine.observe(l.Timer.Now(), version)
	l.mu.Unlock()
	l.notify()
}

// RequestRead asks for a read of the lease object. It is called when the known
// holder does not reply or is no longer the holder. Calls within a second of
// the last read have no effect.
func (l *Lease) RequestRead() {
	l.init()
	l.mu.Lock()
	l.machine.requestRead(l.Timer.Now())
	l.mu.Unlock()
	l.notify()
}

// Resign releases the lease and does not acquire it again during the backoff.
// Held returns false from the start of the call. Resign returns when the
// release is written, or with the context's error; the release is then still
// tried.
func (l *Lease) Resign(ctx context.Context, backoff time.Duration) error {
	l.init()
	l.mu.Lock()
	l.machine.resign(l.Timer.Now(), backoff)
	l.mu.Unlock()
	l.notify()
	for {
		l.mu.Lock()
		done, changed := !l.machine.releasing, l.changed
		l.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "btlease: release is not confirmed")
		}
	}
}

// Release releases the lease and never acquires it again.
func (l *Lease) Release(ctx context.Context) error {
	const never = 100 * 365 * 24 * time.Hour
	return l.Resign(ctx, never)
}

func (l *Lease) init() {
	l.once.Do(func() {
		l.wake = make(chan struct{}, 1)
		l.changed = make(chan struct{})
		l.machine.newChangeID = rand.Text
		l.machine.acquireDelay = time.Duration(xxhash.Sum64String(string(l.Cell)+"/"+string(l.Host)) % uint64(maxAcquireDelay))
	})
}

func (l *Lease) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runStep runs the next step to its end.
func (l *Lease) runStep(ctx context.Context) {
	s, w := l.nextStep()
	switch s.kind {
	case stepWait:
		l.waitUntil(ctx, s.at)
		return
	case stepRead:
		l.read(ctx)
	case stepWrite:
		l.write(ctx, w)
	}
}

func (l *Lease) nextStep() (step, pendingWrite) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.machine.nextStep(l.Timer.Now())
	close(l.changed)
	l.changed = make(chan struct{})
	if s.kind != stepWrite {
		return s, pendingWrite{}
	}
	return s, *l.machine.pending
}

func (l *Lease) waitUntil(ctx context.Context, until time.Time) {
	alarm := l.Timer.After(until.Sub(l.Timer.Now()))
	defer alarm.Stop()
	select {
	case <-alarm.C():
	case <-l.wake:
	case <-ctx.Done():
	}
}

func (l *Lease) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var rec Record
	o, err := l.Store.Get(ctx, l.key())
	switch {
	case errors.Is(err, bramleytack.ErrNotFound):
		err = nil
	case err == nil && json.Unmarshal(o.Data, &rec) != nil:
		rec = Record{Holder: unknownHolder}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.handleRead(l.Timer.Now(), o.Version, o.ChangeID, rec, err)
}

func (l *Lease) write(ctx context.Context, w pendingWrite) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(l.record(w))
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "btlease: record cannot be encoded"))
	}
	o := bramleytack.Object{Key: l.key(), ChangeID: w.changeID, Data: data}
	version, err := l.Store.Put(ctx, o, w.expected)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.handleWrite(l.Timer.Now(), version, err)
}

func (l *Lease) record(w pendingWrite) Record {
	if w.kind == writeRelease {
		return Record{Term: w.term}
	}
	if w.kind == writeRestore {
		return Record{Holder: unknownHolder, Term: w.term}
	}
	return Record{Holder: l.Host, PeerAddr: l.PeerAddr, HeldUntil: w.firstSent.Add(Duration).Round(0).UTC(), Term: w.term}
}

func (l *Lease) key() bramleytack.Key {
	return bramleytack.Key{Kind: Kind, Name: string(l.Cell)}
}
