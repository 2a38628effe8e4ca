package btoperator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bramleytack"
	"bramleytack/btadmin"
	"bramleytack/btrecord"
)

const (
	// maxAttempts bounds the repeats of a read-modify-write.
	maxAttempts = 20
	// conflictWait is the mean wait after a conflict. Its random part keeps
	// racing operators from meeting again.
	conflictWait = 100 * time.Millisecond
	// readBacks is how often a record is read after the answer to its write was
	// lost, readBackWait the wait between two reads.
	readBacks    = 3
	readBackWait = 300 * time.Millisecond
)

// List is an answer with records.
type List struct {
	// Revision is the revision of the daemon that answered.
	Revision bramleytack.Revision `json:"revision"`
	Records  []btadmin.Versioned  `json:"records"`
}

// LostError says that the answer to a write was lost and that reading back did
// not show whether the write took effect.
type LostError struct {
	Key      bramleytack.Key
	Expected bramleytack.Revision
	// Read says whether the record could be read afterwards.
	Read bool
	// Stored is the record that was read, with version 0 if there is none.
	Stored btadmin.Versioned
	// Differences lead from the stored record to the wanted one.
	Differences []btadmin.Change
	cause       error
}

// Error describes what is known.
func (e *LostError) Error() string {
	s := "btoperator: answer to the write of " + e.Key.Kind + "/" + e.Key.Name + " was lost"
	switch {
	case !e.Read:
		s += " and the record cannot be read"
	case e.Stored.Version == e.Expected:
		s += "; the stored version is still " + version(e.Expected)
	default:
		s += "; the stored version is now " + version(e.Stored.Version) + " with other content"
	}
	for _, c := range e.Differences {
		s += "\nnot stored: " + c.String()
	}
	return s
}

// Unwrap returns the error of the write.
func (e *LostError) Unwrap() error { return e.cause }

func version(v bramleytack.Revision) string { return strconv.FormatUint(uint64(v), 10) }

func recordPath(key bramleytack.Key) string {
	return "/admin/v1/records/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

// List returns the records of a kind, or of all kinds if kind is empty, as one
// daemon knows them.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	path := "/admin/v1/records"
	if kind != "" {
		path += "/" + url.PathEscape(kind)
	}
	var l List
	err := c.read(ctx, path, &l)
	return l, err
}

// Get returns a record with its version in the store.
func (c *Client) Get(ctx context.Context, key bramleytack.Key) (btadmin.Versioned, error) {
	var v btadmin.Versioned
	err := c.read(ctx, recordPath(key), &v)
	return v, err
}

// Version returns the stored version of a record, 0 if there is none.
func (c *Client) Version(ctx context.Context, key bramleytack.Key) (bramleytack.Revision, error) {
	v, err := c.Get(ctx, key)
	if IsNotFound(err) {
		return 0, nil
	}
	return v.Version, err
}

// IsNotFound says whether an error means that a record does not exist.
func IsNotFound(err error) bool {
	return err != nil && bramleytack.AsError(err).Code == bramleytack.CodeNotFound
}

// Put writes a record whose version is expected, where 0 creates it.
func (c *Client) Put(ctx context.Context, r btrecord.Record, expected bramleytack.Revision) (bramleytack.Revision, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "record cannot be encoded").WithCause(err)
	}
	var answer struct {
		Version bramleytack.Revision `json:"version"`
	}
	err = c.write(ctx, request{method: http.MethodPut, path: recordPath(r.Key()), match: version(expected), body: body}, &answer)
	if err != nil && bramleytack.OutcomeOf(err) == bramleytack.Unknown {
		return c.resolve(ctx, r.Key(), &r, expected, err)
	}
	return answer.Version, err
}

// Delete removes a record whose version is expected. The version is 0 if the
// answer was lost and the record is gone.
func (c *Client) Delete(ctx context.Context, key bramleytack.Key, expected bramleytack.Revision) (bramleytack.Revision, error) {
	var answer struct {
		Version bramleytack.Revision `json:"version"`
	}
	err := c.write(ctx, request{method: http.MethodDelete, path: recordPath(key), match: version(expected)}, &answer)
	if err != nil && bramleytack.OutcomeOf(err) == bramleytack.Unknown {
		return c.resolve(ctx, key, nil, expected, err)
	}
	return answer.Version, err
}

// resolve reads a record back after the answer to its write was lost. A nil
// record was to be deleted.
func (c *Client) resolve(ctx context.Context, key bramleytack.Key, wanted *btrecord.Record, expected bramleytack.Revision, cause error) (bramleytack.Revision, error) {
	lost := &LostError{Key: key, Expected: expected, cause: cause}
	for n := range readBacks {
		if n > 0 && c.Timer.Sleep(ctx, readBackWait) != nil {
			break
		}
		stored, err := c.Get(ctx, key)
		if err != nil && !IsNotFound(err) {
			continue
		}
		lost.Read, lost.Stored = true, stored
		lost.Differences = Compare(recordOf(stored), wanted)
		if stored.Version == expected {
			// The daemon may still be writing.
			continue
		}
		if len(lost.Differences) == 0 {
			return stored.Version, nil
		}
		break
	}
	return 0, lost
}

// recordOf returns the record, or nil if it does not exist.
func recordOf(v btadmin.Versioned) *btrecord.Record {
	if v.Version == 0 {
		return nil
	}
	return &v.Record
}

// Modify reads a record, changes it and writes it until no other change
// interferes. A write with an unknown outcome ends it.
func (c *Client) Modify(ctx context.Context, key bramleytack.Key, change func(btrecord.Record) (btrecord.Record, error)) (bramleytack.Revision, error) {
	for attempt := 1; ; attempt++ {
		v, err := c.modifyOnce(ctx, key, change)
		if err == nil || attempt >= maxAttempts || !isConflict(err) {
			return v, err
		}
		if c.Timer.Sleep(ctx, conflictWait/2+rand.N(conflictWait)) != nil {
			return 0, err
		}
	}
}

func isConflict(err error) bool { return bramleytack.AsError(err).Code == bramleytack.CodeConflict }

func (c *Client) modifyOnce(ctx context.Context, key bramleytack.Key, change func(btrecord.Record) (btrecord.Record, error)) (bramleytack.Revision, error) {
	stored, err := c.Get(ctx, key)
	if err != nil {
		// A failed read changes nothing.
		return 0, bramleytack.AsError(err).WithOutcome(bramleytack.NotRun)
	}
	wanted, err := change(stored.Record)
	if err != nil {
		return 0, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "record cannot be changed").WithCause(err)
	}
	return c.Put(ctx, wanted, stored.Version)
}

// Drain takes a failure domain out of service.
func (c *Client) Drain(ctx context.Context, domain bramleytack.FailureDomainID) (bramleytack.Revision, error) {
	return c.setState(ctx, domain, bramleytack.DomainOut)
}

// Return puts a failure domain back into service.
func (c *Client) Return(ctx context.Context, domain bramleytack.FailureDomainID) (bramleytack.Revision, error) {
	return c.setState(ctx, domain, bramleytack.DomainActive)
}

// setState writes the state even if it is already as wanted: the read may be
// stale, and only a conditional write shows that it was not.
func (c *Client) setState(ctx context.Context, domain bramleytack.FailureDomainID, state bramleytack.DomainState) (bramleytack.Revision, error) {
	key := bramleytack.Key{Kind: btrecord.KindFailureDomain, Name: string(domain)}
	return c.Modify(ctx, key, func(r btrecord.Record) (btrecord.Record, error) {
		d, findings := btrecord.FailureDomains.Value(r)
		if err := findings.Err(); err != nil {
			return r, err
		}
		d.State = state
		return btrecord.FailureDomains.Set(r, d)
	})
}
