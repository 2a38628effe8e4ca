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
	// flushInterval is the time between two attempts to write a record.
	flushInterval = time.Second
	// peerWriteDelay gives the daemon that sent a report time to write the record
	// first.
	peerWriteDelay = 3 * time.Second
	// visibilityTimeout is how long a written record may take to appear in
	// the snapshot. If it is not there by then, an operator has removed it.
	visibilityTimeout = time.Minute
)

// Kind is the kind of quarantine records in the store. Their names are
// fingerprints in hexadecimal.
const Kind = "quarantine"

// Record is the data of a quarantine record. Upstream and Instance name the
// crash that confirmed the fingerprint, At is the time when the writing daemon
// learned of it.
type Record struct {
	SchemaVersion int                    `json:"schemaVersion"`
	Upstream      bramleytack.UpstreamID `json:"upstream"`
	Instance      bramleytack.InstanceID `json:"instance"`
	At            time.Time              `json:"at"`
}

// Table holds the suspects, and this entry's requests in flight. Set Store,
// Timer and Snapshots before use; other zero values select the defaults. It is
// safe for concurrent use.
type Table struct {
	Store     bramleytack.Store
	Timer     bramleytack.Timer
	Snapshots bramleytack.Snapshots
	// Notify sends a report to the peers. It must not block and may be nil.
	Notify func(Report)
	// Capacity bounds the number of suspects, Expiry how long a suspicion lasts.
	Capacity int
	Expiry   time.Duration

	mu        sync.Mutex
	suspects  suspects
	inflight  inflight
	confirmed map[bramleytack.Fingerprint]*confirmation
}

// confirmation is a fingerprint that was found to crash upstreams and is not yet
// in the snapshot.
type confirmation struct {
	crash       upstreamInstance
	confirmedAt time.Time
	writeAfter  time.Time
	// storedAt is zero until the record is in the store.
	storedAt time.Time
}

// InFlight returns the fingerprints of this entry's requests that are in flight
// at an instance, or ended early there within about the last 30 s.
func (t *Table) InFlight(u bramleytack.UpstreamID, i bramleytack.InstanceID) []bramleytack.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inflight.fingerprints(upstreamInstance{u, i})
}

// ReportCrash makes the requests that were in flight at a crash suspects and
// reports them to the peers. It quarantines suspects that ran alone. Call it
// only if IsCrash reports a crash.
func (t *Table) ReportCrash(u bramleytack.UpstreamID, i bramleytack.InstanceID, fps []bramleytack.Fingerprint) {
	c := upstreamInstance{u, i}
	r := Report{Kind: Crashed, Upstream: u, Instance: i, Fingerprints: fps}
	t.mu.Lock()
	now := t.Timer.Now()
	for _, fp := range fps {
		// A run alone proves nothing if the instance was already known to have
		// crashed: its id came from an outdated load report.
		s := t.suspects.get(fp, now)
		if t.inflight.alone(c, fp) && s != nil && !s.hasCrash(c) {
			r.Alone = append(r.Alone, fp)
		}
	}
	t.apply(r, now, now)
	t.mu.Unlock()
	t.notify(r)
}

// Apply applies a report of a peer.
func (t *Table) Apply(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	t.apply(r, now, now.Add(peerWriteDelay))
}

// Grant gives the single run of a suspect to a request, or returns an Error with
// CodeQuarantined if another request has it. The fingerprint becomes a suspect
// if it is none, because an arbiter may be asked before it gets the report of
// the crash.
func (t *Table) Grant(fp bramleytack.Fingerprint, request bramleytack.RequestID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grant(fp, request)
}

// apply applies a report. Records of the fingerprints that it confirms are not
// written before writeAfter.
func (t *Table) apply(r Report, now, writeAfter time.Time) {
	for _, fp := range r.Alone {
		t.confirm(fp, upstreamInstance{r.Upstream, r.Instance}, now, writeAfter)
	}
	for _, fp := range r.Fingerprints {
		switch r.Kind {
		case Crashed:
			t.refreshSuspect(fp, now).addCrash(upstreamInstance{r.Upstream, r.Instance})
		case Started:
			t.refreshSuspect(fp, now).grantedTo = r.Request
		case Returned:
			if s := t.suspects.get(fp, now); s != nil && s.grantedTo == r.Request {
				s.grantedTo = ""
			}
		case Completed:
			if s := t.suspects.get(fp, now); s != nil {
				s.cleared = true
			}
		}
	}
}

// confirm quarantines a fingerprint that ran alone when an upstream crashed. A
// repeated report of the same crash has no effect, so that it cannot undo an
// operator's removal of the record.
func (t *Table) confirm(fp bramleytack.Fingerprint, c upstreamInstance, now, writeAfter time.Time) {
	s := t.refreshSuspect(fp, now)
	if s.hasCrash(c) {
		return
	}
	s.addCrash(c)
	s.cleared = true
	if t.confirmed[fp] != nil {
		return
	}
	if t.confirmed == nil {
		t.confirmed = map[bramleytack.Fingerprint]*confirmation{}
	}
	t.confirmed[fp] = &confirmation{crash: c, confirmedAt: now, writeAfter: writeAfter}
}

func (t *Table) refreshSuspect(fp bramleytack.Fingerprint, now time.Time) *suspect {
	capacity := t.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return t.suspects.refresh(fp, now, t.expiry(), capacity)
}

// admit decides whether a request runs, runs alone or is rejected.
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
	if s := t.suspects.get(fp, now); s != nil && s.grantedTo != "" && s.grantedTo != request {
		return errSuspect.WithRetryAfter(s.expires.Sub(now))
	}
	t.refreshSuspect(fp, now).grantedTo = request
	return nil
}

// finish records how a request ended, and reports it to the peers if the
// fingerprint is in the table of suspects.
func (t *Table) finish(fp bramleytack.Fingerprint, request bramleytack.RequestID, alone bool, err error) {
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

// track records an attempt as in flight and returns the function that ends it.
func (t *Table) track(key upstreamInstance, fp bramleytack.Fingerprint, alone bool) func(early bool) {
	a := &attempt{fingerprint: fp, alone: alone}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inflight == nil {
		t.inflight = inflight{}
	}
	t.inflight.add(key, a)
	return func(early bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.inflight.end(key, a, early, t.Timer.Now())
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
	tick := t.Timer.Every(flushInterval, flushInterval/4)
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

// Flush writes the records that are due and drops those that are in the
// snapshot. A write that fails is repeated at the next Flush.
func (t *Table) Flush(ctx context.Context) {
	for fp, c := range t.dueWrites() {
		err := t.writeRecord(ctx, fp, c)
		if err == nil || errors.Is(err, bramleytack.ErrConflict) {
			t.mu.Lock()
			c.storedAt = t.Timer.Now()
			t.mu.Unlock()
		}
	}
}

// dueWrites returns the confirmations to be written and drops those that need
// no write any more.
func (t *Table) dueWrites() map[bramleytack.Fingerprint]*confirmation {
	known := t.Snapshots.Snapshot().Quarantined
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	t.inflight.prune(now)
	due := map[bramleytack.Fingerprint]*confirmation{}
	for fp, c := range t.confirmed {
		switch {
		case known[fp.String()], !c.storedAt.IsZero() && now.Sub(c.storedAt) > visibilityTimeout:
			delete(t.confirmed, fp)
		case c.storedAt.IsZero() && !now.Before(c.writeAfter):
			due[fp] = c
		}
	}
	return due
}

// writeRecord creates a record. It returns ErrConflict if another daemon has
// done so.
func (t *Table) writeRecord(ctx context.Context, fp bramleytack.Fingerprint, c *confirmation) error {
	data, err := json.Marshal(Record{SchemaVersion: 1, Upstream: c.crash.upstream, Instance: c.crash.instance, At: c.confirmedAt})
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
