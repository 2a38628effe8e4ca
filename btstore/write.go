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

// headerChangeID names the change id of a write.
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
	// effectConflict means that this sending had no effect since the version differs.
	effectConflict
	// effectNone means that this sending had no effect.
	effectNone
	// effectPending means that the object still has the expected version.
	effectPending
	// effectReplaced means that another write followed the expected version.
	effectReplaced
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
	v, err := c.resolve(ctx, w)
	if err != nil {
		return 0, fmt.Errorf("btstore: %s %s/%s: %w", w.method, w.key.Kind, w.key.Name, err)
	}
	return v, nil
}

// resolve sends the write until its effect is known or the attempts are used
// up. Only the first sending can end with a conflict or without an effect;
// after an unknown effect these outcomes say nothing about earlier sendings.
func (c *Client) resolve(ctx context.Context, w write) (bramleytack.Revision, error) {
	v, e, cause := c.send(ctx, w)
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
		repeatable := e == effectPending && w.expected != 0 && attempt < maxRetries
		if !repeatable || !c.budget.spend() || c.pause(ctx, attempt) != nil {
			return 0, fmt.Errorf("%w: %w", bramleytack.ErrStoreUnknown, cause)
		}
		c.counters.retries.Add(1)
		if v, e, _ = c.send(ctx, w); e == effectDone {
			return v, nil
		}
	}
}

// send sends the write once.
func (c *Client) send(ctx context.Context, w write) (bramleytack.Revision, effect, error) {
	c.counters.writes.Add(1)
	header := http.Header{}
	header.Set("If-Match", formatRevision(w.expected))
	header.Set(headerChangeID, w.changeID)
	if w.data != nil {
		header.Set("Content-Type", "application/json")
	}
	r, sent, err := c.do(ctx, call{method: w.method, path: objectPath(w.key), body: w.data, header: header, limit: maxObjectReply})
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

// readBack reads the object and compares its change id with the write's. An
// object older than the expected version is a stale read and proves nothing.
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
		return 0, effectPending
	case w.expected == 0:
		return 0, effectReplaced
	}
	return c.findEvent(ctx, w)
}

// findEvent looks for the write among the events after the expected version.
// A missing event proves nothing, since the platform may merge events.
func (c *Client) findEvent(ctx context.Context, w write) (bramleytack.Revision, effect) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	events, err := c.Watch(ctx, w.key.Kind, w.expected)
	if err != nil {
		return 0, effectReplaced
	}
	defer events.Close()
	for {
		o, err := events.Next(ctx)
		if err != nil {
			return 0, effectReplaced
		}
		if o.Key != w.key {
			continue
		}
		if o.ChangeID == w.changeID {
			return o.Version, effectDone
		}
		return 0, effectReplaced
	}
}
