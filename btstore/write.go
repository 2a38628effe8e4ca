package btstore

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// headerChangeID carries the change id of a write.
const headerChangeID = "Bramleytack-Change-Id"

// write is one conditional write.
type write struct {
	method   string
	key      bramleytack.Key
	data     []byte
	changeID string
	expected bramleytack.Revision
}

// effect is what is known about a write.
type effect uint8

const (
	// effectUnknown means that the write may have taken effect or still may.
	effectUnknown effect = iota
	// effectDone means that the write took effect.
	effectDone
	// effectConflict means that this attempt had no effect because the object does
	// not have the expected version.
	effectConflict
	// effectNone means that this attempt failed without an effect.
	effectNone
	// effectUnchanged means that the write has had no visible effect so far: the
	// object still has the expected version.
	effectUnchanged
	// effectOtherWrite means that the object has changed since the expected
	// version and that the change cannot be attributed to this write.
	effectOtherWrite
)

// Put implements bramleytack.Store. It sets a random change id if o has none.
func (c *Client) Put(ctx context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	if len(o.Data) > bramleytack.MaxObjectBytes {
		return 0, errors.Newf("btstore: put %s/%s: value of %d bytes is over the limit of %d", o.Kind, o.Name, len(o.Data), bramleytack.MaxObjectBytes)
	}
	if !json.Valid(o.Data) {
		return 0, errors.Newf("btstore: put %s/%s: value is not JSON", o.Kind, o.Name)
	}
	return c.write(ctx, write{method: http.MethodPut, key: o.Key, data: o.Data, changeID: o.ChangeID, expected: expected})
}

// Delete implements bramleytack.Store.
func (c *Client) Delete(ctx context.Context, key bramleytack.Key, expected bramleytack.Revision) (bramleytack.Revision, error) {
	return c.write(ctx, write{method: http.MethodDelete, key: key, expected: expected})
}

func (c *Client) write(ctx context.Context, w write) (bramleytack.Revision, error) {
	if w.changeID == "" {
		w.changeID = rand.Text()
	}
	v, err := c.sendUntilKnown(ctx, w)
	if err != nil {
		return 0, fmt.Errorf("btstore: %s %s/%s: %w", w.method, w.key.Kind, w.key.Name, err)
	}
	return v, nil
}

// sendUntilKnown sends the write until its effect is known or no retry is left.
// Only the result of the first attempt can be a conflict or no effect. Later
// attempts follow one with an unknown effect, which may have changed the object
// itself, so that a conflict does not show that the write failed.
func (c *Client) sendUntilKnown(ctx context.Context, w write) (bramleytack.Revision, error) {
	v, e, cause := c.sendWrite(ctx, w)
	switch e {
	case effectDone:
		return v, nil
	case effectConflict:
		return 0, bramleytack.ErrConflict
	case effectNone:
		return 0, cause
	}
	for attempt := 0; ; attempt++ {
		if v, e = c.readBack(ctx, w); e == effectDone {
			return v, nil
		}
		repeatable := e == effectUnchanged && w.expected != 0 && attempt < maxRetries
		if !repeatable || !c.budget.take() || c.sleepBackoff(ctx, attempt) != nil {
			return 0, fmt.Errorf("%w: %w", bramleytack.ErrStoreUnknown, cause)
		}
		c.counters.retries.Add(1)
		if v, e, _ = c.sendWrite(ctx, w); e == effectDone {
			return v, nil
		}
	}
}

func (c *Client) sendWrite(ctx context.Context, w write) (bramleytack.Revision, effect, error) {
	c.counters.writes.Add(1)
	header := http.Header{}
	header.Set("If-Match", formatRevision(w.expected))
	header.Set(headerChangeID, w.changeID)
	if w.data != nil {
		header.Set("Content-Type", "application/json")
	}
	r, sent, err := c.do(ctx, httpCall{method: w.method, path: objectPath(w.key), body: w.data, header: header, maxBytes: maxObjectResponse})
	switch {
	case err != nil && !sent:
		return 0, effectNone, fmt.Errorf("%w: %w", bramleytack.ErrStoreDown, err)
	case err != nil:
		return 0, effectUnknown, err
	case r.status == http.StatusOK || r.status == http.StatusCreated:
		v, err := decodeVersion(r.body)
		if err != nil {
			return 0, effectUnknown, err
		}
		return v, effectDone, nil
	case r.status == http.StatusPreconditionFailed || r.status == http.StatusNotFound:
		return 0, effectConflict, nil
	case unavailable(r.status):
		return 0, effectNone, fmt.Errorf("%w: %w", bramleytack.ErrStoreDown, statusError(r))
	case r.status < http.StatusInternalServerError:
		return 0, effectNone, statusError(r)
	}
	return 0, effectUnknown, statusError(r)
}

// readBack reads the object and compares its change id with that of the write.
// An object older than the expected version comes from a stale read, which does
// not show whether the write took effect.
func (c *Client) readBack(ctx context.Context, w write) (bramleytack.Revision, effect) {
	c.counters.readBacks.Add(1)
	o, err := c.Get(ctx, w.key)
	missing := errors.Is(err, bramleytack.ErrNotFound)
	switch {
	case err != nil && !missing:
		return 0, effectUnknown
	case !missing && o.ChangeID == w.changeID:
		return o.Version, effectDone
	case missing && w.expected == 0, !missing && o.Version <= w.expected:
		return 0, effectUnchanged
	case w.expected == 0:
		return 0, effectOtherWrite
	}
	return c.findEvent(ctx, w)
}

// findEvent looks for the write among the events after the expected version.
// Without such an event the effect stays unknown, since the platform may merge
// events of an object.
func (c *Client) findEvent(ctx context.Context, w write) (bramleytack.Revision, effect) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	events, err := c.Watch(ctx, w.key.Kind, w.expected)
	if err != nil {
		return 0, effectOtherWrite
	}
	defer events.Close()
	for {
		o, err := events.Next(ctx)
		if err != nil {
			return 0, effectOtherWrite
		}
		if o.Key != w.key {
			continue
		}
		if o.ChangeID == w.changeID {
			return o.Version, effectDone
		}
		return 0, effectOtherWrite
	}
}
