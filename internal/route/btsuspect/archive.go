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
	Key     Key     `json:"key"`
	Crashes []Crash `json:"crashes"`
	// Events and Times belong to Crashes, Times in Unix milliseconds. They are shorter in archives
	// of earlier versions.
	Events     []int   `json:"events,omitempty"`
	Times      []int64 `json:"times,omitempty"`
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

// archive returns the record of a quarantined key.
func (s *suspect) archive(key Key, now time.Time) archivedRecord {
	r := archivedRecord{Key: key, Companions: slices.Clone(s.companions), Trials: s.trials, Newest: s.newest.UnixMilli()}
	for _, k := range s.settled(now) {
		r.Crashes, r.Events, r.Times = append(r.Crashes, k.crash), append(r.Events, k.events), append(r.Times, k.at.UnixMilli())
	}
	for _, l := range s.cleared {
		r.Cleared = append(r.Cleared, l.Crash)
	}
	return r
}

// decode returns the record. The time of day may differ between daemons.
func (r archivedRecord) decode(now time.Time) Record {
	age := func(millis int64) time.Duration { return max(now.Sub(time.UnixMilli(millis)), 0) }
	decoded := Record{Key: r.Key, Companions: bounded(r.Companions, maxCompanions), Trials: min(max(r.Trials, 0), maxTrials), Age: age(r.Newest), Apart: AllEvents}
	for i, c := range bounded(r.Crashes, maxCrashes) {
		counted := CountedCrash{Crash: c, Age: AgeOfUntimed(i, decoded.Age)}
		if i < len(r.Events) {
			counted.Events = min(max(r.Events[i], 0), AllEvents)
		}
		if i < len(r.Times) {
			counted.Age = age(r.Times[i])
		}
		decoded.Crashes = append(decoded.Crashes, counted)
	}
	for _, c := range bounded(r.Cleared, maxCleared) {
		decoded.Cleared = append(decoded.Cleared, Clearing{Crash: c, Events: AllEvents})
	}
	return decoded
}

// AgeOfUntimed returns the age to assume for the crash in a place of a record whose newest crash has an
// age. Earlier versions of the daemon tell no times, and counted each crash.
func AgeOfUntimed(place int, newest time.Duration) time.Duration {
	return newest + time.Duration(place)*momentLength
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
		if t.quarantined(key, s, now) {
			records = append(records, s.archive(key, now))
		}
	}
	return records
}
