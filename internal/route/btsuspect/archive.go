package btsuspect

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// archivePeriod is the time between two checks for changed records.
	archivePeriod = 250 * time.Millisecond
	// archiveRetry is the time after which a failed call to the store is repeated.
	archiveRetry = 1500 * time.Millisecond
	// maxArchived bounds the records in the store. Those with the newest crashes are kept.
	maxArchived = 64
	// archiveName is the name of the only object of its kind.
	archiveName = "quarantined"
)

// Archive keeps the records of quarantined keys in the store, so that they survive the
// restart of all daemons. The fields are set before Run.
type Archive struct {
	Table    *Table
	Feed     bramleytack.Lister
	Registry bramleytack.Registry
	Timer    bramleytack.Timer
	// Log may be nil.
	Log *btevent.Logger
	// Reads reports whether this daemon reads the archive for the others, which get the
	// records from it. Writes reports whether it keeps the archive up to date.
	Reads  func() bool
	Writes func() bool
	// Epoch returns the epoch of the store. In a later one the archive may be an older copy, or
	// lost, and is read and written again. Nil means that there is one epoch.
	Epoch func() uint64

	loaded bool
	// epoch is that of the store when the archive was read.
	epoch   uint64
	version bramleytack.Revision
	// stored is the content of the archive in the store as far as known.
	stored []byte
}

// archivedRecord is a Record in the store.
type archivedRecord struct {
	Key        Key     `json:"key"`
	Crashes    []Crash `json:"crashes"`
	Cleared    []Crash `json:"cleared,omitempty"`
	Companions []Key   `json:"companions,omitempty"`
	Trials     int     `json:"trials,omitempty"`
	// Newest is the time of the newest crash in Unix milliseconds.
	Newest int64 `json:"newest"`
}

type archivedRecords struct {
	Records []archivedRecord `json:"records"`
}

// Run reads the archive and then writes changes to it until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	for {
		wait := archivePeriod
		if err := a.sync(ctx); err != nil && ctx.Err() == nil {
			a.Log.Event(btevent.StoreDown).Str("call", "quarantine").Err(err).Send()
			wait = archiveRetry
		}
		if a.Timer.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// sync does what is due at the store.
func (a *Archive) sync(ctx context.Context) error {
	if a.Epoch != nil && a.Epoch() > a.epoch {
		a.loaded = false
	}
	if !a.loaded {
		if !a.Reads() {
			return nil
		}
		return a.load(ctx)
	}
	if !a.Writes() {
		return nil
	}
	data, n, err := a.encode()
	if err != nil || bytes.Equal(data, a.stored) || n == 0 && a.version == 0 {
		return err
	}
	key := bramleytack.Key{Kind: bramleytack.KindQuarantine, Name: archiveName}
	version, err := a.Registry.Put(ctx, bramleytack.Object{Key: key, Data: data}, a.version)
	if errors.Is(err, bramleytack.ErrConflict) || errors.Is(err, bramleytack.ErrStoreUnknown) {
		// Another daemon may have written, or this one without learning of it.
		a.loaded = false
	}
	if err != nil {
		return err
	}
	a.version, a.stored = version, data
	a.Log.Event(btevent.QuarantineStored).Int("keys", n).Stringer("revision", version).Send()
	return nil
}

// load merges the archive into the table and passes it on to the other daemons.
func (a *Archive) load(ctx context.Context) error {
	objects, upto, err := a.Feed.List(ctx, bramleytack.KindQuarantine)
	if err != nil {
		return err
	}
	a.loaded, a.epoch, a.version, a.stored = true, upto.Epoch(), 0, nil
	i := slices.IndexFunc(objects, func(o bramleytack.Object) bool { return o.Name == archiveName })
	if i < 0 {
		return nil
	}
	a.version, a.stored = objects[i].Version, objects[i].Data
	var archive archivedRecords
	if err := json.Unmarshal(a.stored, &archive); err != nil {
		a.Log.Event(btevent.RecordUndecodable).Str("object", archiveName).Err(err).Send()
		return nil
	}
	now := a.Timer.Now()
	var records []Record
	for _, r := range archive.Records[:min(len(archive.Records), maxArchived)] {
		records = append(records, r.decode(now))
	}
	news := a.Table.Merge(records)
	a.Log.Event(btevent.QuarantineLoaded).Int("keys", len(records)).Bool("news", news).Stringer("revision", a.version).Send()
	if news && a.Table.Share != nil {
		a.Table.Share(records)
	}
	return nil
}

// encode returns the present content of the archive and its number of records.
func (a *Archive) encode() ([]byte, int, error) {
	records := a.Table.quarantinedRecords()
	slices.SortFunc(records, func(a, b archivedRecord) int { return cmp.Compare(b.Newest, a.Newest) })
	records = records[:min(len(records), maxArchived)]
	slices.SortFunc(records, func(a, b archivedRecord) int { return cmp.Compare(a.Key, b.Key) })
	data, err := json.Marshal(archivedRecords{Records: records})
	return data, len(records), err
}

// decode returns the record. The time of day may differ between daemons.
func (r archivedRecord) decode(now time.Time) Record {
	return Record{
		Key: r.Key, Crashes: bounded(r.Crashes, maxCrashes), Cleared: bounded(r.Cleared, maxCrashes), Companions: bounded(r.Companions, maxCompanions),
		Trials: min(max(r.Trials, 0), maxTrials), Age: max(now.Sub(time.UnixMilli(r.Newest)), 0),
	}
}

// bounded returns at most n elements of a list.
func bounded[T any](list []T, n int) []T { return list[:min(len(list), n)] }

// quarantinedRecords returns the records of the quarantined keys.
func (t *Table) quarantinedRecords() []archivedRecord {
	records := []archivedRecord{}
	if t.Len() == 0 {
		return records
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	t.expire(now)
	for key, s := range t.suspects {
		if s.quarantined(now) {
			r := s.record(key, now)
			records = append(records, archivedRecord{
				Key: key, Crashes: r.Crashes, Cleared: r.Cleared, Companions: r.Companions, Trials: r.Trials, Newest: s.newest.UnixMilli(),
			})
		}
	}
	return records
}
