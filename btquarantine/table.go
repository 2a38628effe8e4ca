package btquarantine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Defaults of a Table.
const (
	DefaultCapacity = 4096
	DefaultExpiry   = 10 * time.Minute
)

const (
	// writePeriod is the time between two tries to write a record.
	writePeriod = time.Second
	// peerDelay gives the reporting daemon time to write the record first.
	peerDelay = 3 * time.Second
	// visibleWithin is how long a written record may take to appear in the
	// snapshot. After that an operator has removed it.
	visibleWithin = time.Minute
)

// Kind is the kind of quarantine records. Their names are fingerprints.
const Kind = "quarantine"

// Record is a quarantine record.
type Record struct {
	SchemaVersion int                    `json:"schemaVersion"`
	Upstream      bramleytack.UpstreamID `json:"upstream"`
	Instance      bramleytack.InstanceID `json:"instance"`
	At            time.Time              `json:"at"`
}

// Table knows the suspects and what is in flight at this entry. Set Store,
// Timer and Snapshots before use; other zero values select the defaults.
type Table struct {
	Store     bramleytack.Store
	Timer     bramleytack.Timer
	Snapshots bramleytack.Snapshots
	// Notify sends a report to the peers. It must not block and may be nil.
	Notify func(Report)
	// Capacity bounds the suspects, and Expiry how long a suspicion lasts.
	Capacity int
	Expiry   time.Duration

	mu        sync.Mutex
	suspects  suspects
	inflight  inflight
	confirmed map[bramleytack.Fingerprint]*confirmation
}

// confirmation is a fingerprint that is yet to appear in the snapshot.
type confirmation struct {
	crash  crash
	at     time.Time
	due    time.Time
	stored time.Time
}

// InFlight returns the fingerprints of requests of this entry that are in
// flight at an instance or ended early a short time ago.
func (t *Table) InFlight(u bramleytack.UpstreamID, i bramleytack.InstanceID) []bramleytack.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inflight.fingerprints(crash{u, i})
}

// ReportCrash makes suspects of the requests that were in flight at a crash
// and tells the peers. The caller has decided by IsCrash that it was one.
func (t *Table) ReportCrash(u bramleytack.UpstreamID, i bramleytack.InstanceID, fps []bramleytack.Fingerprint) {
	c := crash{u, i}
	r := Report{Kind: Crashed, Upstream: u, Instance: i, Fingerprints: fps}
	t.mu.Lock()
	now := t.Timer.Now()
	for _, fp := range fps {
		// A run that began under an instance id which had crashed already is
		// no evidence: the id is that of an old load report.
		s := t.suspects.get(fp, now)
		if t.inflight.alone(c, fp) && s != nil && !s.knows(c) {
			r.Alone = append(r.Alone, fp)
		}
	}
	t.apply(r, now, now)
	t.mu.Unlock()
	t.notify(r)
}

// Apply takes over a report of a peer.
func (t *Table) Apply(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	t.apply(r, now, now.Add(peerDelay))
}

// Grant gives a fingerprint's single run to a request, or refuses it. An
// arbiter calls it for fingerprints that it may not know as suspects yet.
func (t *Table) Grant(fp bramleytack.Fingerprint, request bramleytack.RequestID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grant(fp, request)
}

// apply changes the state. A confirmed fingerprint is written after due.
func (t *Table) apply(r Report, now, due time.Time) {
	for _, fp := range r.Alone {
		t.confirm(fp, crash{r.Upstream, r.Instance}, now, due)
	}
	for _, fp := range r.Fingerprints {
		switch r.Kind {
		case Crashed:
			t.touch(fp, now).count(crash{r.Upstream, r.Instance})
		case Started:
			t.touch(fp, now).run = r.Request
		case Returned:
			if s := t.suspects.get(fp, now); s != nil && s.run == r.Request {
				s.run = ""
			}
		case Completed:
			if s := t.suspects.get(fp, now); s != nil {
				s.cleared = true
			}
		}
	}
}

// confirm quarantines a fingerprint that crashed an upstream alone. A repeated
// report changes nothing, so that it cannot undo an operator's removal of the
// record.
func (t *Table) confirm(fp bramleytack.Fingerprint, c crash, now, due time.Time) {
	s := t.touch(fp, now)
	if s.knows(c) {
		return
	}
	s.count(c)
	s.cleared = true
	if t.confirmed[fp] != nil {
		return
	}
	if t.confirmed == nil {
		t.confirmed = map[bramleytack.Fingerprint]*confirmation{}
	}
	t.confirmed[fp] = &confirmation{crash: c, at: now, due: due}
}

func (t *Table) touch(fp bramleytack.Fingerprint, now time.Time) *suspect {
	capacity := t.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return t.suspects.touch(fp, now, t.expiry(), capacity)
}

// admit decides about a request: it runs, it runs alone, or it is refused.
func (t *Table) admit(fp bramleytack.Fingerprint, request bramleytack.RequestID) (alone bool, err error) {
	if t.Snapshots.Snapshot().Quarantined[fp.String()] {
		return false, errQuarantined
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed[fp] != nil {
		return false, errQuarantined
	}
	s := t.suspects.get(fp, t.Timer.Now())
	if s == nil || s.cleared {
		return false, nil
	}
	return true, t.grant(fp, request)
}

func (t *Table) grant(fp bramleytack.Fingerprint, request bramleytack.RequestID) error {
	now := t.Timer.Now()
	if s := t.suspects.get(fp, now); s != nil && s.run != "" && s.run != request {
		return errSuspect.WithRetryAfter(s.expires.Sub(now))
	}
	t.touch(fp, now).run = request
	return nil
}

// end records how a request ended.
func (t *Table) end(fp bramleytack.Fingerprint, request bramleytack.RequestID, alone bool, err error) {
	r := Report{Fingerprints: []bramleytack.Fingerprint{fp}, Request: request}
	switch {
	case err == nil:
		r.Kind = Completed
	case alone && bramleytack.OutcomeOf(err) == bramleytack.NotRun:
		r.Kind = Returned
	default:
		return
	}
	t.mu.Lock()
	now := t.Timer.Now()
	known := t.suspects.get(fp, now) != nil
	t.apply(r, now, now)
	t.mu.Unlock()
	if known {
		t.notify(r)
	}
}

// enter notes a request as in flight and returns the function that ends it.
func (t *Table) enter(c crash, fp bramleytack.Fingerprint, alone bool) func(early bool) {
	r := &run{fingerprint: fp, alone: alone}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inflight == nil {
		t.inflight = inflight{}
	}
	t.inflight.enter(c, r)
	return func(early bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.inflight.leave(c, r, early, t.Timer.Now())
	}
}

func (t *Table) notify(r Report) {
	if t.Notify != nil {
		t.Notify(r)
	}
}

func (t *Table) expiry() time.Duration {
	if t.Expiry > 0 {
		return t.Expiry
	}
	return DefaultExpiry
}

// Run writes quarantine records until ctx ends.
func (t *Table) Run(ctx context.Context) {
	tick := t.Timer.Every(writePeriod, writePeriod/4)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			t.Flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Flush writes the records that are due and forgets those that the snapshot
// shows. A write that fails is tried again at the next Flush.
func (t *Table) Flush(ctx context.Context) {
	for fp, c := range t.due() {
		err := t.write(ctx, fp, c)
		if err == nil || errors.Is(err, bramleytack.ErrConflict) {
			t.mu.Lock()
			c.stored = t.Timer.Now()
			t.mu.Unlock()
		}
	}
}

// due returns the confirmations to be written.
func (t *Table) due() map[bramleytack.Fingerprint]*confirmation {
	known := t.Snapshots.Snapshot().Quarantined
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	t.inflight.prune(now)
	due := map[bramleytack.Fingerprint]*confirmation{}
	for fp, c := range t.confirmed {
		switch {
		case known[fp.String()], !c.stored.IsZero() && now.Sub(c.stored) > visibleWithin:
			delete(t.confirmed, fp)
		case c.stored.IsZero() && !now.Before(c.due):
			due[fp] = c
		}
	}
	return due
}

// write creates a record. ErrConflict means that another daemon did.
func (t *Table) write(ctx context.Context, fp bramleytack.Fingerprint, c *confirmation) error {
	data, err := json.Marshal(Record{SchemaVersion: 1, Upstream: c.crash.upstream, Instance: c.crash.instance, At: c.at})
	if err != nil {
		return errors.Wrap(err, "btquarantine: encoding record")
	}
	o := bramleytack.Object{
		Key:      bramleytack.Key{Kind: Kind, Name: fp.String()},
		ChangeID: rand.Text(),
		Data:     data,
	}
	_, err = t.Store.Put(ctx, o, 0)
	return err
}
