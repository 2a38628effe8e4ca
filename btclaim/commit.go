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
	// commitTimeout bounds one commit with all its retries.
	commitTimeout = 5 * time.Second
	// maxCommitTries bounds how often a commit plans its operations. It plans
	// them again after each conflict.
	maxCommitTries = 8
	// maxResolveTries bounds how often a write with an unknown effect is sent
	// again.
	maxResolveTries = 4
	// firstRetryWait is the wait before the first retry. It doubles each time.
	firstRetryWait = 5 * time.Millisecond
	// maxOrphans bounds the orphans, so that the records that mark them as
	// notRun fit into one commit of the head. The claim of an orphan that is
	// dropped stays without outcome, so its call is never dispatched.
	maxOrphans = 400
	// maxDeletesPerCommit bounds the segments that are deleted after a commit.
	maxDeletesPerCommit = 4
)

// Errors of a Shard. Their outcome NotRun is that of a begin, whose call is not
// dispatched after an error. Finish returns the same errors for an outcome that
// was not recorded.
var (
	errClosed         = bramleytack.NewError(bramleytack.CodeShuttingDown, bramleytack.NotRun, "claim shard is shutting down")
	errTimeout        = bramleytack.NewError(bramleytack.CodeTimeout, bramleytack.NotRun, "claim was not stored in time")
	errUndetermined   = bramleytack.NewError(bramleytack.CodeStoreDown, bramleytack.NotRun, "claim has an unknown effect in the store; call not dispatched")
	errStore          = bramleytack.NewError(bramleytack.CodeStoreDown, bramleytack.NotRun, "claim cannot be stored")
	errNoSuchAttempt  = errors.New("btclaim: attempt has no claim")
	errHeadTooLarge   = errors.New("btclaim: head exceeds the size limit of the store")
	errSegmentContent = errors.New("btclaim: stored segment has different content")
)

// writeEffect is the effect of a conditional update of the head.
type writeEffect uint8

const (
	// undetermined means that the write may have taken effect or may still do.
	undetermined writeEffect = iota
	committed
	// conflicted means that another write has changed the head.
	conflicted
	// notWritten means that the write failed without effect.
	notWritten
)

// commit carries out operations and delivers their results. It reports whether
// it tried to write to the store.
func (s *Shard) commit(ctx context.Context, ops []*operation) bool {
	if len(ops) == 0 && len(s.orphans) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reload := !s.loaded || slices.ContainsFunc(ops, func(o *operation) bool { return o.reload })
	reloaded := false
	for try := range maxCommitTries {
		if reload {
			if _, err := s.reload(ctx, ""); err != nil {
				s.deliverError(ops, errStore.WithCause(err))
				return false
			}
			reloaded = true
		}
		p, err := s.plan(ops)
		if err != nil {
			s.deliverError(ops, errStore.WithCause(err))
			return false
		}
		if p.attemptNotFound && !reloaded {
			// Another owner may have committed the begin.
			reload = true
			continue
		}
		if len(p.records) == 0 {
			s.deliverResults(p)
			return false
		}
		e, err := s.write(ctx, p)
		switch e {
		case committed:
			s.deliverResults(p)
			s.deleteDropped(ctx)
			return true
		case conflicted:
			reload = true
		case notWritten:
			s.deliverError(ops, errStore.WithCause(err))
			return true
		case undetermined:
			s.addOrphans(p)
			s.deliverError(ops, errUndetermined.WithCause(err))
			return true
		}
		if s.Timer.Sleep(ctx, firstRetryWait<<try) != nil {
			break
		}
	}
	s.deliverError(ops, errStore.WithCause(bramleytack.ErrConflict))
	return true
}

// write stores a plan and updates the cache if the plan took effect.
func (s *Shard) write(ctx context.Context, p *plan) (writeEffect, error) {
	if p.newSegment != nil {
		if err := s.createSegment(ctx, p.newSegment); err != nil {
			return notWritten, err
		}
		p.header.Segments = append(p.header.Segments, *p.newSegment)
	}
	data, err := encodeDocument(p.header, p.lines)
	if err != nil {
		return notWritten, err
	}
	if len(data) > bramleytack.MaxObjectBytes {
		return notWritten, errHeadTooLarge
	}
	o := bramleytack.Object{Key: s.headKey(), ChangeID: p.changeID, Data: data}
	e, err := s.putHead(ctx, p, o)
	if e == undetermined {
		e, err = s.resolveUnknown(ctx, p, o)
	}
	if e == conflicted {
		s.deleteUnlistedSegment(ctx, p)
	}
	return e, err
}

// putHead writes the head if its version is still the one that the plan is
// based on.
func (s *Shard) putHead(ctx context.Context, p *plan, o bramleytack.Object) (writeEffect, error) {
	v, err := s.Store.Put(ctx, o, p.expected)
	switch {
	case err == nil:
		s.cache.advance(v, p)
		return committed, nil
	case errors.Is(err, bramleytack.ErrConflict):
		return conflicted, err
	case errors.Is(err, bramleytack.ErrStoreDown):
		return notWritten, err
	}
	return undetermined, err
}

// resolveUnknown determines whether a write took effect after the store could
// not report it. While the head stays at the expected version, the write may
// still arrive, and it is sent again: at most one of the two can take effect.
func (s *Shard) resolveUnknown(ctx context.Context, p *plan, o bramleytack.Object) (writeEffect, error) {
	for try := range maxResolveTries {
		found, err := s.reload(ctx, p.changeID)
		if err == nil && s.cache.version > p.expected {
			if found {
				return committed, nil
			}
			return conflicted, bramleytack.ErrConflict
		}
		if e, _ := s.putHead(ctx, p, o); e == committed {
			return committed, nil
		}
		if err := s.Timer.Sleep(ctx, firstRetryWait<<try); err != nil {
			return undetermined, err
		}
	}
	return undetermined, bramleytack.ErrStoreUnknown
}

// reload reads the head and the segments that are new in it. A head that is
// not newer than the cached one changes nothing: it is the same, or the read
// was stale. reload reports whether a newer head holds records of the given
// change.
func (s *Shard) reload(ctx context.Context, changeID string) (bool, error) {
	o, err := s.Store.Get(ctx, s.headKey())
	switch {
	case errors.Is(err, bramleytack.ErrNotFound):
		if !s.loaded {
			s.replace(0, header{}, nil, nil, nil)
		}
		return false, nil
	case err != nil:
		return false, err
	case s.loaded && o.Version <= s.cache.version:
		s.notifyWaiters()
		return false, nil
	}
	h, lines, inHead, err := decodeDocument(o.Data)
	if err != nil {
		return false, err
	}
	inSegments, err := s.loadSegments(ctx, h)
	if err != nil {
		return false, err
	}
	found := slices.ContainsFunc(inHead, func(r record) bool { return r.ChangeID == changeID }) ||
		slices.ContainsFunc(inSegments, func(r segmentRecord) bool { return r.ChangeID == changeID })
	s.replace(o.Version, h, lines, inHead, inSegments)
	return found, nil
}

func (s *Shard) replace(v bramleytack.Revision, h header, lines []byte, inHead []record, inSegments []segmentRecord) {
	s.cache.replace(v, h, lines, inHead, inSegments)
	s.loaded = true
	s.notifyWaiters()
}

// loadSegments reads the segments that h lists and the cache lacks.
func (s *Shard) loadSegments(ctx context.Context, h header) ([]segmentRecord, error) {
	var loaded []segmentRecord
	for _, seg := range h.Segments {
		if s.loaded && s.cache.hasSegment(seg.Name) {
			continue
		}
		o, err := s.Store.Get(ctx, s.objectKey(seg.Name))
		if err != nil {
			return nil, errors.Wrapf(err, "btclaim: reading segment %s", seg.Name)
		}
		_, _, records, err := decodeDocument(o.Data)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			loaded = append(loaded, segmentRecord{record: r, segment: seg.Name})
		}
	}
	return loaded, nil
}

// createSegment stores the head's current records as a segment. Another owner
// may have created the same object before: name and content depend only on the
// head's version.
func (s *Shard) createSegment(ctx context.Context, seg *segment) error {
	data, err := encodeDocument(header{SchemaVersion: schemaVersion}, s.cache.headLines)
	if err != nil {
		return err
	}
	o := bramleytack.Object{Key: s.objectKey(seg.Name), Data: data}
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
		return errSegmentContent
	}
	seg.Version = stored.Version
	return nil
}

// deleteUnlistedSegment deletes the segment of a plan that conflicted, if a
// newer head does not list it. No later head can list it.
func (s *Shard) deleteUnlistedSegment(ctx context.Context, p *plan) {
	if p.newSegment == nil {
		return
	}
	if _, err := s.reload(ctx, ""); err != nil {
		return
	}
	if s.cache.version > p.expected && !s.cache.references(p.newSegment.Name) {
		_, _ = s.Store.Delete(ctx, s.objectKey(p.newSegment.Name), p.newSegment.Version)
	}
}

// deleteDropped deletes segments whose retention has ended. The next commit
// removes them from the head. The others are tried again after that commit.
func (s *Shard) deleteDropped(ctx context.Context) {
	deleted := map[string]bool{}
	for i, seg := range s.cache.header.Dropped {
		if i == maxDeletesPerCommit {
			break
		}
		_, err := s.Store.Delete(ctx, s.objectKey(seg.Name), seg.Version)
		deleted[seg.Name] = err == nil || errors.Is(err, bramleytack.ErrConflict) || errors.Is(err, bramleytack.ErrNotFound)
	}
	s.deletedSegments = deleted
}

// deliverResults sends the results of a plan that took effect or needed no
// write. A claim whose begin has stopped waiting becomes an orphan.
func (s *Shard) deliverResults(p *plan) {
	s.orphans = slices.DeleteFunc(s.orphans, func(o orphan) bool { return s.cache.version > o.after })
	for _, r := range p.records {
		if w, ok := s.waiters[r.ClaimKey]; ok && r.State != claimed {
			close(w)
			delete(s.waiters, r.ClaimKey)
		}
	}
	for i, o := range p.ops {
		r := p.results[i]
		if r.Kind == InProgress && !o.finish {
			r.changed = s.waitChannel(o.next.ClaimKey)
		}
		if !o.deliver(r) && r.Kind == Run {
			s.addOrphan(orphan{key: o.next.ClaimKey, attempt: r.Attempt})
		}
	}
	if len(p.postponed) > 0 {
		s.requeue(p.postponed)
	}
}

// addOrphans makes orphans of the begins of a plan with an undetermined
// effect, since their calls are not dispatched.
func (s *Shard) addOrphans(p *plan) {
	for i, o := range p.ops {
		if p.results[i].Kind == Run {
			s.addOrphan(orphan{key: o.next.ClaimKey, attempt: p.results[i].Attempt, after: p.expected})
		}
	}
}

// addOrphan adds an orphan and drops the oldest one above maxOrphans. It starts
// a commit if the claim can be marked as notRun already.
func (s *Shard) addOrphan(o orphan) {
	if len(s.orphans) >= maxOrphans {
		s.orphans = s.orphans[1:]
	}
	s.orphans = append(s.orphans, o)
	if o.after < s.cache.version {
		notify(s.wake)
	}
}

func (s *Shard) deliverError(ops []*operation, err error) {
	for _, o := range ops {
		o.deliver(result{err: err})
	}
}

// waitChannel returns a channel that is closed when the claim may have changed.
func (s *Shard) waitChannel(k ClaimKey) <-chan struct{} {
	if s.waiters == nil {
		s.waiters = map[ClaimKey]chan struct{}{}
	}
	if s.waiters[k] == nil {
		s.waiters[k] = make(chan struct{})
	}
	return s.waiters[k]
}

func (s *Shard) notifyWaiters() {
	for _, w := range s.waiters {
		close(w)
	}
	clear(s.waiters)
}

func segmentName(v bramleytack.Revision) string { return strconv.FormatUint(uint64(v), 10) }
