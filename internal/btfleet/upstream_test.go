package btfleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/btfleet"
	"bramleytack/internal/btload"
)

// newWorkBound is the time after which a change that was accepted has to hold.
const newWorkBound = 3 * time.Second

// sleep waits during a test.
func (b *bench) sleep(d time.Duration) {
	b.t.Helper()
	b.check(b.Timer.Sleep(b.t.Context(), d))
}

// owner returns the owner of an upstream.
func (b *bench) owner(p *btfleet.Process) *btfleet.Process {
	b.t.Helper()
	o, err := b.Owner(b.t.Context(), p)
	assert.NilError(b.t, err)
	return o
}

// coordinator returns the holder of the cell's lease.
func (b *bench) coordinator(except ...*btfleet.Process) *btfleet.Process {
	b.t.Helper()
	c, err := b.Coordinator(b.t.Context(), except...)
	assert.NilError(b.t, err)
	return c
}

// upstreamOfOther returns an engine that another daemon than the coordinator
// owns, with its owner.
func (b *bench) upstreamOfOther(c *btfleet.Process) (upstream, owner *btfleet.Process) {
	b.t.Helper()
	for _, p := range b.Engines {
		if o := b.owner(p); o != c {
			return p, o
		}
	}
	b.t.Fatal("the coordinator owns all engines")
	return nil, nil
}

// faultAll sets a fault of all engines.
func (b *bench) faultAll(fault string) {
	b.t.Helper()
	for _, p := range b.Engines {
		b.check(b.SetFault(b.t.Context(), p, "/debug/fault", fault))
	}
}

// killOwner kills an owner of an engine that is not the coordinator.
func (b *bench) killOwner() {
	b.t.Helper()
	_, o := b.upstreamOfOther(b.coordinator())
	b.check(o.Kill())
}

// freezeAndKill freezes the coordinator and kills another owner.
func (b *bench) freezeAndKill() {
	b.t.Helper()
	c := b.coordinator()
	_, o := b.upstreamOfOther(c)
	b.t.Cleanup(func() { _ = c.Continue() })
	b.check(c.Freeze())
	b.check(o.Kill())
}

// coldCase is an event during a load that is more than cold engines survive.
type coldCase struct {
	name string
	// at is the number of requests begun before the event.
	at  int
	run func(*bench)
}

func runCold(t *testing.T, cases []coldCase) {
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, btfleet.Config{Engines: 3, EngineColdGrace: time.Second})
			l := b.load(30, map[int]func(){test.at: func() { test.run(b) }})
			l.Streams, l.Concurrency, l.Silence = *streams*2, 64, 3*time.Second
			r := b.run(l)
			assert.Assert(t, r.Streams.Complete > l.Streams/4, "most streams failed: %v", r.Streams.Codes)
		})
	}
}

// Guards against engines that get more work after their start or an
// unannounced switch to cold than they survive.
func TestColdUpstreams(t *testing.T) {
	t.Parallel()
	runCold(t, []coldCase{
		{"start", 1, func(*bench) {}},
		{"cold", 80, func(b *bench) { b.faultAll(`{"cold":true}`) }},
		{"start, owner killed", 30, (*bench).killOwner},
		{"start, coordinator frozen, owner killed", 30, (*bench).freezeAndKill},
	})
}

// Guards against engines that get more work after a restart than they survive.
func TestColdAfterRestart(t *testing.T) {
	t.Parallel()
	restart := func(b *bench) { b.faultAll(`{"restart":true}`) }
	runCold(t, []coldCase{
		{"restart", 80, restart},
		{"restart, owner killed", 80, func(b *bench) { b.killOwner(); restart(b) }},
		{"restart, coordinator frozen, owner killed", 80, func(b *bench) { b.freezeAndKill(); restart(b) }},
	})
}

// traffic repeats a load until it is stopped.
type traffic struct {
	*bench
	load    btload.Load
	stop    chan struct{}
	done    chan struct{}
	reports []*btload.Report
}

// maxRounds bounds the repetitions of a load.
const maxRounds = 200

// traffic starts to repeat a load of short streams and calls.
func (b *bench) traffic(l btload.Load) *traffic {
	w := &traffic{bench: b, load: l, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *traffic) run() {
	defer close(w.done)
	for i := range maxRounds {
		select {
		case <-w.stop:
			return
		default:
		}
		l := w.load
		l.Prefix = fmt.Sprintf("%s%d-", l.Prefix, i)
		w.reports = append(w.reports, l.Run(w.t.Context()))
	}
}

// end stops the load and checks its rounds.
func (w *traffic) end() {
	w.t.Helper()
	close(w.stop)
	<-w.done
	complete := 0
	for _, r := range w.reports {
		assert.NilError(w.t, r.Err())
		complete += r.Streams.Complete + r.Orders.Complete
	}
	w.t.Logf("%d rounds, %d complete", len(w.reports), complete)
	assert.Assert(w.t, complete > 0)
}

// short returns one round of traffic.
func (b *bench) short() btload.Load {
	l := b.load(10, nil)
	l.Streams, l.Orders, l.Silence = concurrency, concurrency, 3*time.Second
	return l
}

// apart starts streams and calls as two loads. A round of a load ends with its
// last request, and a call whose daemon is frozen has no outcome for a long time:
// in one load with the streams it would hold back all of them.
func (b *bench) apart() (streams, calls *traffic) {
	l := b.short()
	l.Orders = 0
	streams = b.traffic(l)
	l = b.short()
	l.Streams, l.Prefix = 0, l.Prefix+"call-"
	return streams, b.traffic(l)
}

func (b *bench) accepted(id bramleytack.FailureDomainID) btfleet.Work {
	b.t.Helper()
	w, err := b.Accepted(b.t.Context(), id)
	assert.NilError(b.t, err)
	return w
}

// Guards against new work in a failure domain that is out of service, while the
// platform's watches are silent and a daemon does not run for a time.
func TestDomainOutSilentWatches(t *testing.T) {
	t.Parallel()
	const id = "qld-b"
	for _, test := range []struct {
		name   string
		silent bool
		frozen bool
	}{
		{"watches silent", true, false},
		{"daemon frozen", false, true},
		{"watches silent and daemon frozen", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, btfleet.Config{Engines: 6})
			streams, calls := b.apart()
			b.sleep(time.Second)
			if test.silent {
				b.check(b.SetFault(t.Context(), b.Platform, "/debug/store", `{"silentWatches":true}`))
			}
			frozen := b.Daemons[len(b.Daemons)-1]
			if test.frozen {
				b.check(frozen.Freeze())
			}
			assert.NilError(t, b.SetDomain(t.Context(), id, bramleytack.DomainOut))
			b.sleep(newWorkBound)
			before := b.accepted(id)
			b.sleep(time.Second)
			// No grant of the frozen daemon is valid any more, so that it starts
			// nothing at once either.
			b.check(frozen.Continue())
			b.sleep(newWorkBound + time.Second)
			b.check(b.SetFault(t.Context(), b.Platform, "/debug/store", `{}`))
			b.sleep(time.Second)
			assert.Equal(t, b.accepted(id), before, "new work out of service")
			assert.NilError(t, b.SetDomain(t.Context(), id, bramleytack.DomainActive))
			elsewhere := b.accepted("qld-a")
			b.sleep(newWorkBound)
			assert.Assert(t, b.accepted("qld-a").Generations > elsewhere.Generations, "no work that the domain could have got")
			assert.Assert(t, b.accepted(id).Generations > before.Generations, "the domain did not return")
			streams.end()
			calls.end()
			assert.Equal(t, len(b.Ended()), 0, "ended: %v", b.Ended())
		})
	}
}

// generations returns how many generations an engine and all others accepted.
func (b *bench) generations(p *btfleet.Process) (own, others int) {
	b.t.Helper()
	for _, e := range b.Engines {
		s, err := b.EngineStats(b.t.Context(), e)
		assert.NilError(b.t, err)
		if e == p {
			own += s.Accepted
			continue
		}
		others += s.Accepted
	}
	return own, others
}

// Guards against new work on an engine that leaves, and against streams that
// its leaving cuts.
func TestUpstreamLeaving(t *testing.T) {
	t.Parallel()
	const lag = 2 * time.Second
	hostList := func(b *bench, p *btfleet.Process) error { return b.SetHostLeaving(b.t.Context(), p) }
	report := func(b *bench, p *btfleet.Process) error {
		return b.SetFault(b.t.Context(), p, "/debug/fault", `{"leaving":true}`)
	}
	byRecord := func(b *bench, p *btfleet.Process) error { return b.SetUpstreamLeaving(b.t.Context(), p) }
	for _, test := range []struct {
		name   string
		lag    time.Duration
		leave  func(*bench, *btfleet.Process) error
		frozen bool
	}{
		{"host list", lag, hostList, false},
		{"report", 0, report, false},
		{"record", 0, byRecord, false},
		{"host list, daemon frozen", lag, hostList, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, btfleet.Config{Engines: 4, HostLag: test.lag})
			const tokens = 300
			long := b.load(tokens, nil)
			long.Streams, long.Concurrency, long.Prefix = 6, 6, "long-"
			long.Silence = 20 * time.Second
			done := make(chan *btload.Report, 1)
			go func() { done <- long.Run(t.Context()) }()
			streams, calls := b.apart()
			p := b.awaitBusiest(tokens)
			assert.NilError(t, test.leave(b, p))
			if test.frozen {
				f := b.Daemons[len(b.Daemons)-1]
				b.check(f.Freeze())
				b.t.Cleanup(func() { _ = f.Continue() })
			}
			b.sleep(test.lag + 5*time.Second)
			before, others := b.generations(p)
			b.sleep(2 * time.Second)
			after, othersAfter := b.generations(p)
			assert.Equal(t, after, before, "new work on an engine that leaves")
			assert.Assert(t, othersAfter > others, "no work that the engine could have got")
			streams.end()
			calls.end()
			r := <-done
			assert.NilError(t, r.Err())
			if !test.frozen {
				assert.NilError(t, r.AllComplete())
				assert.Equal(t, r.Streams.Repeats, 0, "streams were cut")
			}
			assert.Equal(t, len(b.Ended()), 0, "ended: %v", b.Ended())
		})
	}
}
