package btquarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

// fleet is a set of entries with one Table each and a common store.
type fleet struct {
	t       *testing.T
	store   *btmemstore.Store
	timer   *bttimer.Service
	rng     *rand.Rand
	entries []*Table
	// lose and repeat are the probabilities that a report to a peer is lost or
	// delivered again.
	lose, repeat float64
	instances    int
	crashes      int
	requests     int
	// hidden leaves the quarantine records out of the snapshots.
	hidden bool
}

func newFleet(t *testing.T, seed uint64, entries int) *fleet {
	f := &fleet{t: t, store: btmemstore.New(), timer: bttimer.New(seed), rng: rand.New(rand.NewPCG(seed, 1))}
	t.Cleanup(f.timer.Close)
	for range entries {
		e := &Table{Store: f.store, Timer: f.timer, Snapshots: f}
		e.Notify = func(r Report) { f.deliver(e, r) }
		f.entries = append(f.entries, e)
	}
	return f
}

func scenario(t *testing.T, name string, entries int, do func(t *testing.T, f *fleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { do(t, newFleet(t, 1, entries)) })
	})
}

// Snapshot returns a snapshot with the quarantine records in the store.
func (f *fleet) Snapshot() *bramleytack.Snapshot {
	s := &bramleytack.Snapshot{Quarantined: map[string]bool{}}
	if f.hidden {
		return s
	}
	list, _, _ := f.store.List(context.Background(), Kind)
	for _, o := range list {
		s.Quarantined[o.Name] = true
	}
	return s
}

func (f *fleet) deliver(from *Table, r Report) {
	for _, e := range f.entries {
		for e != from && f.rng.Float64() >= f.lose {
			e.Apply(r)
			if f.rng.Float64() >= f.repeat {
				break
			}
		}
	}
}

func request(content string) *bramleytack.Request {
	return &bramleytack.Request{Kind: bramleytack.Generate, Workspace: "a", Prompt: content}
}

func fingerprint(content string) bramleytack.Fingerprint { return request(content).Fingerprint() }

// result is how an upstream ends a request. Greater values prevail over the
// requests in flight at the same instance.
type result uint8

const (
	completes result = iota
	crashes
	disconnects
	neverSent
)

// send passes requests of one entry through Filter and Tracker to a new
// instance, all in flight at the same time, and reports a crash. Each suspect
// runs alone at an instance of its own. It returns the errors.
func (f *fleet) send(entry int, outcome func(content string) result, contents ...string) []error {
	table, errs := f.entries[entry], make([]error, len(contents))
	f.instances++
	u := &bramleytack.Upstream{ID: "u"}
	shared := bramleytack.InstanceID(fmt.Sprint(f.instances))
	worst, crashed := completes, map[bramleytack.InstanceID]bool{}
	var path func(i int)
	path = func(i int) {
		if i == len(contents) {
			return
		}
		r := request(contents[i])
		f.requests++
		r.ID = bramleytack.RequestID(fmt.Sprint(f.requests))
		last := bramleytack.HandlerFunc(func(_ context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
			own := outcome(contents[i])
			if !r.Suspect {
				worst = max(worst, own)
				path(i + 1)
				own = worst
			}
			switch own {
			case completes:
				return nil
			case neverSent:
				return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full")
			case crashes:
				crashed[r.Target.Grant.Instance] = true
			}
			return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Unknown, "broken")
		})
		route := bramleytack.HandlerFunc(func(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
			r.Target.Upstream, r.Target.Grant.Instance = u, shared
			if r.Suspect {
				r.Target.Grant.Instance += bramleytack.InstanceID(fmt.Sprint("-alone", i))
			}
			return (&Tracker{Table: table}).Handle(ctx, r, w, last)
		})
		before := f.requests
		errs[i] = (&Filter{Table: table}).Handle(f.t.Context(), r, nil, route)
		if f.requests == before { // The next requests did not run inside of this one.
			path(i + 1)
		}
	}
	path(0)
	for i := range crashed {
		f.crashes++
		table.ReportCrash(u.ID, i, table.InFlight(u.ID, i))
	}
	return errs
}

// poison returns crashes for contents that start with "poison".
func poison(content string) result {
	if strings.HasPrefix(content, "poison") {
		return crashes
	}
	return completes
}

func always(r result) func(string) result { return func(string) result { return r } }

func (f *fleet) assertCode(err error, want bramleytack.Code) {
	f.t.Helper()
	assert.Assert(f.t, err != nil, "request succeeded")
	assert.Equal(f.t, bramleytack.AsError(err).Code, want)
	if want == bramleytack.CodeQuarantined {
		assert.Equal(f.t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
	}
}

func (f *fleet) flush() {
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	for _, e := range f.entries {
		go e.Run(ctx)
	}
	time.Sleep(2 * peerWriteDelay)
}

// records returns the names in the store.
func (f *fleet) records() string {
	list, _, err := f.store.List(f.t.Context(), Kind)
	assert.NilError(f.t, err)
	var names []string
	for _, o := range list {
		names = append(names, o.Name)
	}
	return strings.Join(names, " ")
}

// Guards against requests that crash upstream after upstream, and against the
// quarantine of requests that crash none.
func TestContainment(t *testing.T) {
	scenario(t, "two crashes, then rejected at every entry", 8, func(t *testing.T, f *fleet) {
		f.send(0, poison, "poison", "innocent")
		f.send(1, poison, "poison")
		for i := range f.entries {
			f.assertCode(f.send(i, poison, "poison")[0], bramleytack.CodeQuarantined)
			assert.NilError(t, f.send(i, poison, "innocent")[0])
		}
		f.flush()
		assert.Equal(t, f.crashes, 2)
		assert.Equal(t, f.records(), fingerprint("poison").String())
	})
	scenario(t, "a new entry rejects by the record", 1, func(_ *testing.T, f *fleet) {
		f.send(0, poison, "poison")
		f.send(0, poison, "poison")
		f.flush()
		f.entries[0] = &Table{Store: f.store, Timer: f.timer, Snapshots: f}
		f.assertCode(f.send(0, poison, "poison")[0], bramleytack.CodeQuarantined)
	})
	scenario(t, "a peer writes the record if the reporting entry fails", 2, func(t *testing.T, f *fleet) {
		f.send(0, poison, "poison")
		f.send(0, poison, "poison")
		f.entries = f.entries[1:]
		f.flush()
		assert.Equal(t, f.records(), fingerprint("poison").String())
	})
	scenario(t, "network failures quarantine nothing", 2, func(t *testing.T, f *fleet) {
		f.send(0, poison, "poison", "innocent")
		f.send(0, always(disconnects), "innocent")
		f.assertCode(f.send(1, poison, "innocent")[0], bramleytack.CodeQuarantined)
		f.flush()
		assert.Equal(t, f.records(), "")
		time.Sleep(DefaultExpiry)
		assert.NilError(t, f.send(1, poison, "innocent")[0])
	})
	scenario(t, "a run that reached no upstream may be repeated", 2, func(t *testing.T, f *fleet) {
		f.send(0, poison, "poison", "innocent")
		f.assertCode(f.send(0, always(neverSent), "innocent")[0], bramleytack.CodeOverloaded)
		assert.NilError(t, f.send(1, poison, "innocent")[0])
	})
	scenario(t, "reports of one crash count once", 2, func(t *testing.T, f *fleet) {
		innocent := []bramleytack.Fingerprint{fingerprint("innocent")}
		f.lose = 1
		for range 3 {
			f.entries[0].ReportCrash("u", "old", innocent)
		}
		f.lose = 0
		end := f.entries[0].track(upstreamInstance{"u", "old"}, innocent[0], true)
		end(true)
		f.entries[0].ReportCrash("u", "old", innocent)
		f.flush()
		assert.Equal(t, f.records(), "")
		assert.NilError(t, f.send(0, poison, "innocent")[0])
		f.entries[0].ReportCrash("u", "old", innocent)
		alone, err := f.entries[0].admit(innocent[0], "r")
		assert.NilError(t, err)
		assert.Assert(t, !alone, "a late report raised the suspicion again")
	})
	scenario(t, "an operator's removal is not undone by a late report", 1, func(t *testing.T, f *fleet) {
		f.send(0, poison, "poison")
		f.send(0, poison, "poison")
		f.flush()
		f.flush()
		o, err := f.store.Get(t.Context(), bramleytack.Key{Kind: Kind, Name: f.records()})
		assert.NilError(t, err)
		_, err = f.store.Delete(t.Context(), o.Key, o.Version)
		assert.NilError(t, err)
		fps := []bramleytack.Fingerprint{fingerprint("poison")}
		f.entries[0].Apply(Report{Kind: Crashed, Upstream: "u", Instance: "2-alone0", Fingerprints: fps, Alone: fps})
		f.flush()
		assert.Equal(t, f.records(), "")
		assert.NilError(t, f.send(0, always(completes), "poison")[0])
	})
	scenario(t, "the table of suspects is bounded", 1, func(t *testing.T, f *fleet) {
		f.entries[0].Capacity = 10
		for i := range 100 {
			f.send(0, always(crashes), fmt.Sprint(i))
		}
		assert.Equal(t, f.entries[0].suspects.byExpiry.Len(), 10)
		assert.Equal(t, len(f.entries[0].suspects.byFingerprint), 10)
	})
}

// Guards against quarantine that fails, or hits innocent requests, when reports
// are lost or repeated or the store is faulty.
func TestContainmentFaults(t *testing.T) {
	const entries = 8
	for name, c := range map[string]struct {
		lose, repeat float64
		fault        btmemstore.Fault
		// maxCrashes allows one crash before the request is a suspect and one
		// when it runs alone, at each entry that gets no reports.
		maxCrashes int
	}{
		"healthy":          {maxCrashes: 2},
		"repeated reports": {repeat: 0.5, maxCrashes: 2},
		"lost reports":     {lose: 0.4, repeat: 0.3, maxCrashes: 2 * entries},
		"no reports":       {lose: 1, maxCrashes: 2 * entries},
		"store down":       {fault: btmemstore.Fault{Down: true}, maxCrashes: 2},
		"lost replies":     {fault: btmemstore.Fault{LoseReplies: 2}, maxCrashes: 2},
		"dropped writes":   {fault: btmemstore.Fault{DropWrites: 20}, maxCrashes: 2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, entries)
					f.lose, f.repeat = c.lose, c.repeat
					f.hidden = true
					f.store.SetFault(c.fault)
					for range 6 * entries {
						f.send(f.rng.IntN(entries), poison, "innocent 1", "poison", "innocent 2")
						time.Sleep(100 * time.Millisecond)
					}
					assert.Assert(t, f.crashes >= 2 && f.crashes <= c.maxCrashes, "seed %d: %d crashes", seed, f.crashes)
					f.flush()
					f.store.SetFault(btmemstore.Fault{})
					f.flush()
					assert.Equal(t, f.records(), fingerprint("poison").String(), "seed %d", seed)
				})
			}
		})
	}
}

// Guards against several entries granting the single run of a suspect.
func TestArbiter(t *testing.T) {
	scenario(t, "one run for all entries", 8, func(t *testing.T, f *fleet) {
		f.send(0, poison, "poison")
		f.lose = 1
		granted := 0
		for i, e := range f.entries {
			filter := Filter{Table: e, Arbiter: func(_ context.Context, fp bramleytack.Fingerprint, r bramleytack.RequestID) error {
				return f.entries[7].Grant(fp, r)
			}}
			r := request("poison")
			r.ID = bramleytack.RequestID(fmt.Sprint("r", i))
			_ = filter.Handle(t.Context(), r, nil, bramleytack.HandlerFunc(func(context.Context, *bramleytack.Request, bramleytack.ResponseWriter) error {
				granted++
				return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Unknown, "broken")
			}))
		}
		assert.Equal(t, granted, 1)
	})
}

// Guards against a network failure that counts as a crash.
func TestIsCrash(t *testing.T) {
	for name, c := range map[string]struct {
		e    Evidence
		want bool
	}{
		"network failure":            {Evidence{Broken: true, Instance: "1", ReportedInstance: "1"}, false},
		"network failure, no report": {Evidence{Broken: true, Instance: "1"}, false},
		"unknown instance":           {Evidence{Broken: true, ReportedInstance: "2"}, false},
		"restart without break":      {Evidence{Instance: "1", ReportedInstance: "2"}, false},
		"refusal without break":      {Evidence{ConnectionRefused: true}, false},
		"break and new instance":     {Evidence{Broken: true, Instance: "1", ReportedInstance: "2"}, true},
		"break and refusal":          {Evidence{Broken: true, ConnectionRefused: true, Instance: "1"}, true},
		"leaving":                    {Evidence{Broken: true, ConnectionRefused: true, Leaving: true}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, IsCrash(c.e), c.want) })
	}
}
