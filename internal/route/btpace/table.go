package btpace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"bramleytack"
)

const (
	// minPace and maxPace bound what upstreams tell, so that a wrong value has a bounded
	// effect.
	minPace = 0.05
	maxPace = 20.0
	// newsShare is the relative change of an estimate that is told to other daemons.
	newsShare = 0.08
	// raiseSamples is the number of values in a row above the lasting pace, over at least
	// raiseAfter, that raise it. A disturbance of some hundred milliseconds does not.
	raiseSamples = 6
	raiseAfter   = 5 * time.Second
	// ratioQuantile is the quantile of the upstreams' ratios of worst to lasting pace that
	// is expected of all of them. Fewer upstreams than the rest cannot set it.
	ratioQuantile = 0.75
	// ratioAge is how long that quantile is used before it is calculated again.
	ratioAge = 500 * time.Millisecond
)

// Record is what daemons tell each other of the pace of an instance.
type Record struct {
	Upstream bramleytack.UpstreamID
	Started  time.Time
	// Raised counts how often the lasting pace was found to have become slower. A record
	// with a higher count replaces one with a lower count.
	Raised uint32
	// Lasting is the best pace and Worst the worst one seen since, 1 being the usual one.
	Lasting float64
	Worst   float64
	// Moment is the pace that the instance had MomentAge ago, zero if none was seen. The newest
	// one holds.
	Moment    float64
	MomentAge time.Duration
}

// Pauses is what a daemon has learned of the streams of a service: the times between two
// events at pace 1, without a prompt that is read beside them and with one. They are zero
// until enough was seen.
type Pauses struct {
	Service string
	Alone   time.Duration
	Beside  time.Duration
}

// News is what daemons tell each other.
type News struct {
	Records []Record
	Pauses  []Pauses
}

// estimate is the pace of one instance.
type estimate struct {
	Record
	service string
	// above counts the own values in a row above the lasting pace, the first of which came
	// at aboveSince. bestAbove and worstAbove are their bounds.
	above      int
	aboveSince time.Time
	bestAbove  float64
	worstAbove float64
	// momentAt is when Moment was seen.
	momentAt time.Time
	// toldDisturbed is what other daemons were last told, or told, of a disturbance, at toldAt.
	toldDisturbed bool
	toldAt        time.Time
}

// ratio is a service's expected ratio of worst to lasting pace.
type ratio struct {
	value float64
	at    time.Time
}

// Table holds the paces of all upstreams. It is safe for concurrent use. Timer must be set
// before the first use.
type Table struct {
	Timer bramleytack.Timer
	// Share tells other daemons of changed records, and of pauses once enough was seen. It is
	// called without the lock. Nil tells none.
	Share func(News)

	mu        sync.Mutex
	estimates map[bramleytack.UpstreamID]*estimate
	ratios    map[string]ratio
	// beside and alone are the times between events at pace 1 by service, with a prompt
	// read beside the stream and without one.
	beside map[string]*quantile
	alone  map[string]*quantile
	// told are the pauses that other daemons told first, used until this one has seen enough.
	told map[string]Pauses
	// wantedUntil is the time until which momentary paces are told. toldSince and notices count
	// those of the current second.
	wantedUntil time.Time
	toldSince   time.Time
	notices     int
}

// Observe records a pace that an upstream told. Values that are no positive number are
// ignored.
func (t *Table) Observe(u *bramleytack.Upstream, pace float64) {
	if t == nil || !(pace > 0) {
		return
	}
	pace = min(max(pace, minPace), maxPace)
	t.mu.Lock()
	e := t.estimate(u.ID, u.Started)
	if e == nil {
		t.mu.Unlock()
		return
	}
	e.service = u.Service
	before, now := e.Record, t.Timer.Now()
	e.observe(pace, now)
	news := changed(before, e.Record)
	news = t.setMoment(e, pace, now) || news
	r := e.record(now)
	t.mu.Unlock()
	if news && t.Share != nil {
		t.Share(News{Records: []Record{r}})
	}
}

// observe adds one value to the estimate.
func (e *estimate) observe(pace float64, now time.Time) {
	if e.Lasting == 0 || pace <= e.Lasting*(1+newsShare) {
		e.above = 0
		if e.Lasting == 0 || pace < e.Lasting {
			e.Lasting = pace
		}
		e.Worst = max(e.Worst, pace)
		return
	}
	if e.above == 0 {
		e.aboveSince, e.bestAbove, e.worstAbove = now, pace, pace
	}
	e.above++
	e.bestAbove, e.worstAbove = min(e.bestAbove, pace), max(e.worstAbove, pace)
	e.Worst = max(e.Worst, pace)
	if e.above >= raiseSamples && now.Sub(e.aboveSince) >= raiseAfter {
		e.Raised++
		e.Lasting, e.Worst, e.above = e.bestAbove, e.worstAbove, 0
	}
}

// changed reports whether other daemons are told of the change of a record.
func changed(before, after Record) bool {
	differs := func(a, b float64) bool { return math.Abs(a-b) > newsShare*a }
	return before.Raised != after.Raised || differs(before.Lasting, after.Lasting) || differs(before.Worst, after.Worst)
}

// Merge adds the records of another daemon, and reports whether any of them was news.
func (t *Table) Merge(records []Record) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, r := range records {
		if !(r.Lasting > 0) || !(r.Worst >= r.Lasting) {
			continue
		}
		r.Lasting, r.Worst = min(max(r.Lasting, minPace), maxPace), min(max(r.Worst, minPace), maxPace)
		e := t.estimate(r.Upstream, r.Started)
		if e == nil {
			continue
		}
		before := e.Record
		switch {
		case e.Lasting == 0 || r.Raised > e.Raised:
			e.Raised, e.Lasting, e.Worst, e.above = r.Raised, r.Lasting, r.Worst, 0
		case r.Raised == e.Raised:
			e.Lasting, e.Worst = min(e.Lasting, r.Lasting), max(e.Worst, r.Worst)
		}
		news = e.mergeMoment(r, t.Timer.Now()) || news
		news = news || changed(before, e.Record)
	}
	return news
}

// estimate returns the estimate of an instance, and replaces that of an earlier one. It
// returns nil for an instance older than the known one. The caller holds the lock.
func (t *Table) estimate(id bramleytack.UpstreamID, started time.Time) *estimate {
	e := t.estimates[id]
	if e != nil && started.UnixMilli() < e.Started.UnixMilli() {
		return nil
	}
	if e == nil || started.UnixMilli() > e.Started.UnixMilli() {
		if t.estimates == nil {
			t.estimates = map[bramleytack.UpstreamID]*estimate{}
		}
		e = &estimate{Record: Record{Upstream: id, Started: started}}
		t.estimates[id] = e
	}
	return e
}

// Empty reports whether no upstream has told a pace.
func (t *Table) Empty() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.estimates) == 0
}

// All returns all that is known, for a daemon that lacks it, in the order of the names.
func (t *Table) All() News {
	if t == nil {
		return News{}
	}
	n := News{Records: t.Records()}
	t.mu.Lock()
	defer t.mu.Unlock()
	services := slices.AppendSeq(slices.Collect(maps.Keys(t.alone)), maps.Keys(t.beside))
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		if p := t.pauses(service); p.Alone > 0 || p.Beside > 0 {
			n.Pauses = append(n.Pauses, p)
		}
	}
	return n
}

// Records returns all records in the order of their names.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Record
	for _, e := range t.estimates {
		if e.Lasting > 0 {
			all = append(all, e.record(t.Timer.Now()))
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}

// Retain drops what belongs to upstreams that are not in the snapshot.
func (t *Table) Retain(s *bramleytack.Snapshot) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.estimates {
		if _, ok := s.Upstreams[id]; !ok {
			delete(t.estimates, id)
		}
	}
}

// Lasting returns the pace of an upstream without disturbance, 1 if it told none.
func (t *Table) Lasting(u *bramleytack.Upstream) float64 {
	if t == nil {
		return 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.current(u); e != nil {
		return e.Lasting
	}
	return 1
}

// current returns the estimate of an upstream's instance, or nil without one. The caller
// holds the lock.
func (t *Table) current(u *bramleytack.Upstream) *estimate {
	e := t.estimates[u.ID]
	if e == nil || e.Lasting == 0 || e.Started.UnixMilli() != u.Started.UnixMilli() {
		return nil
	}
	e.service = u.Service
	return e
}

// Learn records the time between two events of a stream at an upstream. beside is set if
// the upstream was reading a prompt all that time.
func (t *Table) Learn(u *bramleytack.Upstream, pause time.Duration, beside bool) {
	if t == nil || pause <= 0 {
		return
	}
	var news News
	if p, ok := t.learn(u, pause, beside); ok {
		news.Pauses = append(news.Pauses, p)
	}
	if r, ok := t.learnMoment(u, pause, beside); ok {
		news.Records = append(news.Records, r)
	}
	if t.Share != nil && len(news.Pauses)+len(news.Records) > 0 {
		t.Share(news)
	}
}

// learn is Learn without telling others. It reports true once enough samples of a kind were
// seen.
func (t *Table) learn(u *bramleytack.Upstream, pause time.Duration, beside bool) (Pauses, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.current(u)
	if e == nil {
		return Pauses{}, false
	}
	if t.alone == nil {
		t.alone, t.beside = map[string]*quantile{}, map[string]*quantile{}
	}
	// A stream beside a prompt counts as beside one all the time, although the prompt may
	// wait or end within the pause: the upper quantile stands for whole pauses.
	list, at := t.alone, 0.5
	if beside {
		list, at = t.beside, 0.75
	}
	if list[u.Service] == nil {
		list[u.Service] = &quantile{at: at}
	}
	list[u.Service].add(float64(pause) / e.Lasting)
	return t.pauses(u.Service), list[u.Service].samples == minSamples
}

// pauses returns what this daemon has seen enough of. The caller holds the lock.
func (t *Table) pauses(service string) Pauses {
	return Pauses{Service: service, Alone: t.alone[service].known(), Beside: t.beside[service].known()}
}

// MergePauses takes the pauses that another daemon has learned, unless others have told
// theirs before.
func (t *Table) MergePauses(all []Pauses) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.told == nil {
		t.told = map[string]Pauses{}
	}
	news := false
	for _, p := range all {
		known := t.told[p.Service]
		before := known
		known.Service = p.Service
		if known.Alone == 0 {
			known.Alone = max(p.Alone, 0)
		}
		if known.Beside == 0 {
			known.Beside = max(p.Beside, 0)
		}
		t.told[p.Service] = known
		news = news || known != before
	}
	return news
}

// Pause returns the longest time between two events that a stream has to expect at an
// upstream, disturbances included, while a prompt is read beside it or while none is. It
// reports false if too little is known.
func (t *Table) Pause(u *bramleytack.Upstream, beside bool) (time.Duration, bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, usual := t.current(u), t.usual(u.Service, beside)
	if e == nil || usual == 0 {
		return 0, false
	}
	worst := max(e.Worst, e.Lasting*t.ratio(u.Service))
	return time.Duration(worst * float64(usual)), true
}

// usual returns the time between two events at pace 1, zero if unknown. The caller holds the lock.
func (t *Table) usual(service string, beside bool) time.Duration {
	p, told := t.pauses(service), t.told[service]
	if beside {
		return cmp.Or(p.Beside, told.Beside)
	}
	return cmp.Or(p.Alone, told.Alone)
}

// ratio returns how much worse than lasting the pace of a service's upstreams becomes. The
// caller holds the lock.
func (t *Table) ratio(service string) float64 {
	now := t.Timer.Now()
	if r, ok := t.ratios[service]; ok && now.Sub(r.at) < ratioAge {
		return r.value
	}
	var all []float64
	for _, e := range t.estimates {
		if e.Lasting > 0 && e.service == service {
			all = append(all, e.Worst/e.Lasting)
		}
	}
	slices.Sort(all)
	value := 1.0
	if len(all) > 0 {
		value = all[int(ratioQuantile*float64(len(all)-1))]
	}
	if t.ratios == nil {
		t.ratios = map[string]ratio{}
	}
	t.ratios[service] = ratio{value: value, at: now}
	return value
}

const (
	// minSamples is the number of samples from which a quantile is used.
	minSamples = 24
	// coarseStep and fineStep are the relative steps of a quantile that has less and more
	// than minSamples samples.
	coarseStep = 0.08
	fineStep   = 0.01
)

// quantile estimates a quantile of samples by steps towards each of them.
type quantile struct {
	at      float64
	value   float64
	samples int
}

// known returns the value, or zero if there are too few samples.
func (q *quantile) known() time.Duration {
	if q == nil || q.samples < minSamples {
		return 0
	}
	return time.Duration(q.value)
}

func (q *quantile) add(sample float64) {
	step := fineStep
	if q.samples < minSamples {
		step = coarseStep
	}
	q.samples++
	switch {
	case q.value == 0:
		q.value = sample
	case sample > q.value:
		q.value *= 1 + step*q.at
	default:
		q.value *= 1 - step*(1-q.at)
	}
}
