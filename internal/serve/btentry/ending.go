package btentry

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/internal/route/btsuspect"
	"bramleytack/internal/upstream/btconn"
)

const (
	// closeSpread is the time in which a process that ends closes its connections and its
	// listener, in any order.
	closeSpread = 10 * time.Millisecond
	// endLooks is how often an upstream is looked at that does not answer. One packet may
	// be lost.
	endLooks = 2
	// Upstreams stop work at the end of their window. It is sent in whole units of
	// windowUnit, and their clocks run faster by up to clockRate.
	windowUnit = time.Millisecond
	clockRate  = 0.01
)

// window is the time that an upstream is given for a request.
type window struct {
	start time.Time
	end   time.Time
	// shortened is set if the window ends before the request's deadline.
	shortened bool
}

// over reports whether the upstream may have stopped work because its window has ended.
func (w window) over(now time.Time) bool {
	return !w.end.IsZero() && w.end.Sub(now) <= windowUnit+time.Duration(clockRate*float64(w.end.Sub(w.start)))
}

// cutShort reports whether the upstream may have stopped work because its window was shortened.
// It is not at fault then.
func (w window) cutShort(now time.Time) bool { return w.shortened && w.over(now) }

// errEndUnknown is returned for a response that ended with its connection and may have been
// cut short.
var errEndUnknown = errors.New("btentry: response may be cut short")

// errEndUnseen is returned for a stream that ended with its connection and whose engine could not be
// reached since. Nothing else speaks against its end.
var errEndUnseen = errors.New("btentry: stream has ended at an engine that does not answer")

// errEndOrdered is returned for a stream that ended with its connection and whose engine may have
// closed it because it was ordered to stop.
var errEndOrdered = errors.New("btentry: stream may have been stopped by order")

// errEndEmpty is returned for a stream that went on at an engine, ended with its connection and had
// no event there.
var errEndEmpty = errors.New("btentry: stream ended where it went on")

// ending is what is known of a response of which nothing more arrives. Only a whole one may
// look complete to a caller.
type ending uint8

const (
	// endWhole responses have arrived to their last byte.
	endWhole ending = iota
	// endBroken responses lack a part.
	endBroken
	// endUnknown responses ended with their connection, for which the upstream may have
	// had another reason than their end.
	endUnknown
	// endUnseen responses ended with their connection, and the upstream neither accepts nor refuses
	// another one. Nothing else speaks against their end.
	endUnseen
	// endOrdered responses ended with their connection while the upstream may have obeyed an
	// order of this daemon to stop. Nothing else speaks against their end.
	endOrdered
	// endEmpty responses go on with a stream and ended with their connection, without an event.
	// Nothing else speaks against their end.
	endEmpty
)

// content is what a response has of a stream, as far as its end is concerned.
type content uint8

const (
	// someContent responses are no streams or have an event.
	someContent content = iota
	// noContent streams have no event.
	noContent
	// noFurtherContent streams go on after an event that the caller has got, and have none
	// themselves.
	noFurtherContent
)

// ending decides whether a response is whole, whatever ended it. err is the error of
// the last read of its body, nil or io.EOF at its end.
func (req *activeRequest) ending(ctx context.Context, r *attemptResult, x *btconn.Exchange, err error, c content) ending {
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return endBroken
	case x.Framed():
		return endWhole
	case c == noContent:
		return endBroken
	case r.window.over(req.h.Timer.Now()):
		return endUnknown
	}
	h, u := req.h, r.upstream
	// An order that is given from now on is not the cause.
	ordered := req.stops.mayHaveStopped(u.ID, r.began)
	// A process that ends closes its connections as one that has sent all does.
	if s := h.Table.Snapshot(); req.route.Streaming || s == nil || isLeaving(s, u) {
		// Calls of an upstream that is to stay do not wait.
		if h.Timer.Sleep(ctx, closeSpread) != nil {
			return endUnknown
		}
	}
	if h.crashes.known(btsuspect.CrashOf(u), h.Timer.Now()) {
		return endUnknown
	}
	presence := h.presence(ctx, u)
	switch {
	case presence == absent || h.replaced(u):
		return endUnknown
	case ordered && req.stops.mayHaveStopped(u.ID, r.began):
		if presence == unseen {
			return endUnknown
		}
		return endOrdered
	case presence == unseen && req.route.Streaming:
		return endUnseen
	case presence == unseen:
		return endUnknown
	}
	if c == noFurtherContent {
		return endEmpty
	}
	return endWhole
}

// checkEnd returns nil if a response is whole, and what it lacks otherwise. Its parameters
// are those of ending.
func (req *activeRequest) checkEnd(ctx context.Context, r *attemptResult, x *btconn.Exchange, err error, c content) error {
	switch req.ending(ctx, r, x, err, c) {
	case endWhole:
		return nil
	case endUnknown:
		return errEndUnknown
	case endUnseen:
		return errEndUnseen
	case endOrdered:
		return errEndOrdered
	case endEmpty:
		return errEndEmpty
	}
	if err == nil || errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// presence is what a look at an upstream shows.
type presence uint8

const (
	// present upstreams accept connections, absent ones refuse them.
	present presence = iota
	absent
	// unseen upstreams do not answer.
	unseen
)

// presence looks whether an upstream accepts connections. Unlike inspect it shares no look
// with other requests: one that began before the end of a response shows nothing of it.
func (h *Handler) presence(ctx context.Context, u *bramleytack.Upstream) presence {
	for range endLooks {
		switch err := h.look(ctx, u); {
		case err == nil:
			return present
		case errors.Is(err, syscall.ECONNREFUSED):
			return absent
		}
	}
	return unseen
}

// replaced reports whether an instance that started later has the address of u.
func (h *Handler) replaced(u *bramleytack.Upstream) bool {
	s := h.Table.Snapshot()
	if s == nil {
		return false
	}
	for _, other := range s.Upstreams {
		if other.Addr == u.Addr && other.Started.After(u.Started) {
			return true
		}
	}
	return false
}
