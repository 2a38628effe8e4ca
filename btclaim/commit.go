package btclaim

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

const (
	// commitTimeout bounds one commit with all its repeats.
	commitTimeout = 5 * time.Second
	// commitTries bounds the decisions that conflicts undo.
	commitTries = 8
	// settleTries bounds the repeats of a write with an unknown effect.
	settleTries = 4
	// retryWait is the first wait before a repeat. It doubles each time.
	retryWait = 5 * time.Millisecond
	// maxOrphans bounds the attempts to be repaired, so that the repairs of one
	// commit fit into the head. A forgotten one stays without outcome, which
	// is safe.
	maxOrphans = 400
	// deletesPerCommit bounds the deletions of segments after a commit.
	deletesPerCommit = 4
)

// Errors of a Shard. All say that the call was not dispatched.
var (
	errClosed       = bramleytack.NewError(bramleytack.CodeShuttingDown, bramleytack.NotRun, "claim shard is shutting down")
	errTimeout      = bramleytack.NewError(bramleytack.CodeTimeout, bramleytack.NotRun, "claim was not stored in time")
	errUndetermined = bramleytack.NewError(bramleytack.CodeStoreDown, bramleytack.NotRun, "claim has an unknown effect in the store; call not dispatched")
	errStore        = bramleytack.NewError(bramleytack.CodeStoreDown, bramleytack.NotRun, "claim cannot be stored")
	errNoClaim      = errors.New("btclaim: no claim of this attempt")
	errFull         = errors.New("btclaim: shard is full")
	errContent      = errors.New("btclaim: segment has another content")
)

// effect is what became of a write.
type effect uint8

const (
	undetermined effect = iota
	committed
	lost
	refused
)

// commit carries out operations. It returns whether it wrote to the store.
func (s *Shard) commit(ctx context.Context, ops []*operation) bool {
	if len(ops) == 0 && len(s.orphans) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reload := !s.loaded || slices.ContainsFunc(ops, func(o *operation) bool { return o.refresh })
	fresh := false
	for try := range commitTries {
		if reload {
			if _, err := s.reload(ctx, ""); err != nil {
				s.fail(ops, errStore.WithCause(err))
				return false
			}
			fresh = true
		}
		p, err := s.plan(ops)
		if err != nil {
			s.fail(ops, errStore.WithCause(err))
			return false
		}
		if p.missing && !fresh {
			// Another owner may have committed the begin.
			reload = true
			continue
		}
		if len(p.records) == 0 {
			s.finish(p)
			return false
		}
		e, err := s.write(ctx, p)
		switch e {
		case committed:
			s.finish(p)
			s.deleteDropped(ctx)
			return true
		case lost:
			reload = true
		case refused:
			s.fail(ops, errStore.WithCause(err))
			return true
		case undetermined:
			s.abandon(p)
			s.fail(ops, errUndetermined.WithCause(err))
			return true
		}
		if s.Timer.Sleep(ctx, retryWait<<try) != nil {
			break
		}
	}
	s.fail(ops, errStore.WithCause(bramleytack.ErrConflict))
	return true
}

// write stores a plan and brings the ledger up to date if it took effect.
func (s *Shard) write(ctx context.Context, p *plan) (effect, error) {
	if p.rolled != nil {
		if err := s.createSegment(ctx, p.rolled); err != nil {
			return refused, err
		}
		p.header.Segments = append(p.header.Segments, *p.rolled)
	}
	data, err := encodeDocument(p.header, p.lines)
	if err != nil {
		return refused, err
	}
	if len(data) > bramleytack.MaxObjectBytes {
		return refused, errFull
	}
	o := bramleytack.Object{Key: s.headKey(), ChangeID: p.change, Data: data}
	e, err := s.put(ctx, p, o)
	if e == undetermined {
		e, err = s.settle(ctx, p, o)
	}
	if e == lost {
		s.discardSegment(ctx, p)
	}
	return e, err
}

// put writes the head under the version that the plan was made on.
func (s *Shard) put(ctx context.Context, p *plan, o bramleytack.Object) (effect, error) {
	v, err := s.Store.Put(ctx, o, p.expected)
	switch {
	case err == nil:
		s.ledger.advance(v, p)
		return committed, nil
	case errors.Is(err, bramleytack.ErrConflict):
		return lost, err
	case errors.Is(err, bramleytack.ErrStoreDown):
		return refused, err
	}
	return undetermined, err
}

// settle finds out whether a write with an unknown effect took effect. While
// the head stays at the expected version, the write may still be on its way,
// and is sent again: at most one of the two can take effect.
func (s *Shard) settle(ctx context.Context, p *plan, o bramleytack.Object) (effect, error) {
	for try := range settleTries {
		found, err := s.reload(ctx, p.change)
		if err == nil && s.ledger.version > p.expected {
			if found {
				return committed, nil
			}
			return lost, bramleytack.ErrConflict
		}
		if e, _ := s.put(ctx, p, o); e == committed {
			return committed, nil
		}
		if err := s.Timer.Sleep(ctx, retryWait<<try); err != nil {
			return undetermined, err
		}
	}
	return undetermined, bramleytack.ErrStoreUnknown
}

// reload reads the head and the segments that are new in it. A head that is
// not newer than the loaded one is a stale read and changes nothing. It returns
// whether a newer head holds records of the given change.
func (s *Shard) reload(ctx context.Context, change string) (bool, error) {
	o, err := s.Store.Get(ctx, s.headKey())
	switch {
	case errors.Is(err, bramleytack.ErrNotFound):
		if !s.loaded {
			s.replace(0, header{}, nil, nil, nil)
		}
		return false, nil
	case err != nil:
		return false, err
	case s.loaded && o.Version <= s.ledger.version:
		s.wakeWaiters()
		return false, nil
	}
	h, lines, open, err := decodeDocument(o.Data)
	if err != nil {
		return false, err
	}
	sealed, err := s.loadSegments(ctx, h)
	if err != nil {
		return false, err
	}
	found := slices.ContainsFunc(open, func(r record) bool { return r.Change == change }) ||
		slices.ContainsFunc(sealed, func(r sealedRecord) bool { return r.Change == change })
	s.replace(o.Version, h, lines, open, sealed)
	return found, nil
}

func (s *Shard) replace(v bramleytack.Revision, h header, lines []byte, open []record, sealed []sealedRecord) {
	s.ledger.replace(v, h, lines, open, sealed)
	s.loaded = true
	s.wakeWaiters()
}

func (s *Shard) loadSegments(ctx context.Context, h header) ([]sealedRecord, error) {
	var sealed []sealedRecord
	for _, seg := range h.Segments {
		if s.loaded && s.ledger.holds(seg.Name) {
			continue
		}
		o, err := s.Store.Get(ctx, s.object(seg.Name))
		if err != nil {
			return nil, errors.Wrapf(err, "btclaim: reading segment %s", seg.Name)
		}
		_, _, records, err := decodeDocument(o.Data)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			sealed = append(sealed, sealedRecord{record: r, segment: seg.Name})
		}
	}
	return sealed, nil
}

// createSegment stores the head's current records under the name that follows
// from the head's version. Whoever created the object, its content is the same.
func (s *Shard) createSegment(ctx context.Context, seg *segment) error {
	data, err := encodeDocument(header{SchemaVersion: schemaVersion}, s.ledger.lines)
	if err != nil {
		return err
	}
	o := bramleytack.Object{Key: s.object(seg.Name), Data: data}
	if seg.Version, err = s.Store.Put(ctx, o, 0); err == nil {
		return nil
	}
	if errors.Is(err, bramleytack.ErrStoreDown) {
		return err
	}
	stored, err := s.Store.Get(ctx, o.Key)
	if err != nil {
		return err
	}
	if !bytes.Equal(stored.Data, o.Data) {
		return errContent
	}
	seg.Version = stored.Version
	return nil
}

// discardSegment deletes the segment of a plan that lost, once the head has
// moved on without listing it. Nobody can list it afterwards.
func (s *Shard) discardSegment(ctx context.Context, p *plan) {
	if p.rolled == nil {
		return
	}
	if _, err := s.reload(ctx, ""); err != nil {
		return
	}
	if s.ledger.version > p.expected && !s.ledger.lists(p.rolled.Name) {
		_, _ = s.Store.Delete(ctx, s.object(p.rolled.Name), p.rolled.Version)
	}
}

// deleteDropped deletes segments past their retention. The next commit removes
// them from the head; those that could not be deleted are tried again then.
func (s *Shard) deleteDropped(ctx context.Context) {
	gone := map[string]bool{}
	for i, seg := range s.ledger.header.Dropped {
		if i == deletesPerCommit {
			break
		}
		_, err := s.Store.Delete(ctx, s.object(seg.Name), seg.Version)
		gone[seg.Name] = err == nil || errors.Is(err, bramleytack.ErrConflict) || errors.Is(err, bramleytack.ErrNotFound)
	}
	s.gone = gone
}

// finish answers the operations of a plan that is in effect.
func (s *Shard) finish(p *plan) {
	s.orphans = slices.DeleteFunc(s.orphans, func(o orphan) bool { return s.ledger.version > o.after })
	for _, r := range p.records {
		if w, ok := s.waiters[r.ClaimKey]; ok && r.State != claimed {
			close(w)
			delete(s.waiters, r.ClaimKey)
		}
	}
	for i, o := range p.ops {
		r := p.results[i]
		if r.Kind == InProgress && !o.finish {
			r.settled = s.waiter(o.next.ClaimKey)
		}
		if !o.deliver(r) && r.Kind == Run {
			s.addOrphan(orphan{key: o.next.ClaimKey, attempt: r.Attempt})
		}
	}
	if len(p.rest) > 0 {
		s.requeue(p.rest)
	}
}

// abandon remembers the begins of a plan with an undetermined effect, which
// are not dispatched.
func (s *Shard) abandon(p *plan) {
	for i, o := range p.ops {
		if p.results[i].Kind == Run {
			s.addOrphan(orphan{key: o.next.ClaimKey, attempt: p.results[i].Attempt, after: p.expected})
		}
	}
}

func (s *Shard) addOrphan(o orphan) {
	if len(s.orphans) >= maxOrphans {
		s.orphans = s.orphans[1:]
	}
	s.orphans = append(s.orphans, o)
	if o.after < s.ledger.version {
		notify(s.wake)
	}
}

func (s *Shard) fail(ops []*operation, err error) {
	for _, o := range ops {
		o.deliver(result{err: err})
	}
}

func (s *Shard) waiter(k ClaimKey) <-chan struct{} {
	if s.waiters == nil {
		s.waiters = map[ClaimKey]chan struct{}{}
	}
	if s.waiters[k] == nil {
		s.waiters[k] = make(chan struct{})
	}
	return s.waiters[k]
}

func (s *Shard) wakeWaiters() {
	for _, w := range s.waiters {
		close(w)
	}
	clear(s.waiters)
}

func segmentName(v bramleytack.Revision) string { return strconv.FormatUint(uint64(v), 10) }
