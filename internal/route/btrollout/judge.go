package btrollout

import (
	"maps"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// reportPeriod is the longest time between two reports of a daemon, and decisionPeriod that
	// between two decisions of a judge.
	reportPeriod   = time.Second
	decisionPeriod = 500 * time.Millisecond
	// freshReport is how long a report shows what runs at a daemon.
	freshReport = 3 * time.Second
	// window is the shorter period over which versions are compared. looks is the number of
	// seconds that it has.
	looks = 8
	// minReach is the part of the fleet that a judge must reach to let a version advance.
	minReach = 0.5
	// surgeFactor is the rate of requests, relative to the mean so far, above which the old
	// version's durations at less busy upstreams do not count.
	surgeFactor = 1.5
	// brokenPerLook is the number of broken answers that count in each look for one group. A
	// crash breaks many.
	brokenPerLook = 1
	// emptyFor is how long the old version must have had no upstreams.
	emptyFor = 2 * time.Second
	// peakRetention is how long the largest number of daemons counts. It is that of grants, after
	// which silent daemons are taken to have ended.
	peakRetention = 15 * time.Second
	// suspectBad is the number of bad answers beyond the allowed ones from which on the bound of
	// roll-back may be running: half of the 50 after which it does, as not all are seen.
	suspectBad = 25
	// absentFor is how long the new version may have no upstreams in the full stage while others
	// accept requests.
	absentFor = 5 * time.Second
)

// Report holds what a daemon has counted for an order since the daemon's start.
type Report struct {
	Service string
	Order   uint64
	// Number rises with each report of a process.
	Number uint64
	// Stage is the stage in which the daemon is, and OldRunning the number of its requests at
	// other versions.
	Stage      Stage
	OldRunning int
	// Sent counts the requests sent to the service, Exposed those of them to the new version.
	Sent, Exposed uint64
	Counts        map[Key]*Count
}

// Decision is what a judge has decided about an order.
type Decision struct {
	Service string
	Order   uint64
	Stage   Stage
	// Share is the share of the requests in a trial, zero for none now.
	Share float64
	// Rejected is the verdict against the version. It is never taken back.
	Rejected bool
	// Complete is set once the store has the status.
	Complete bool
	// Age is the time since the order, and Trial the age at which the trial began.
	Age, Trial time.Duration
}

// judge is what a daemon needs to judge an order. Every daemon keeps what it is sent.
type judge struct {
	reports map[bramleytack.HostID]*heldReport
	// sum holds the counts of all, without the broken answers in pending, which have come since
	// the last look.
	sum     evidence
	pending map[Key]uint32
	// earlier is the largest number of broken answers in the first reports that were received of
	// daemons. A judge that takes over has not seen when they came; each daemon counts one at a
	// time.
	earlier map[Key]uint32
	// sent and exposed are sums over all reports.
	sent, exposed uint64
	// past are sums of the last seconds, the newest last.
	past []pastSum
	// peak is the largest number of daemons seen during peakRetention, and peakAt when it was
	// last seen.
	peak    int
	peakAt  time.Time
	emptyAt time.Time
	// absentAt is when the new version was first seen without upstreams in the full stage.
	absentAt time.Time
	// suspectAt is since when the version looks bad with suspectBad bad answers.
	suspectAt time.Time
	decided   Decision
	at        time.Time
	// reported is the last own report that was sent, and reportedAt its time.
	reported   Report
	reportedAt time.Time
}

type heldReport struct {
	Report
	incarnation uint64
	at          time.Time
}

type pastSum struct {
	at   time.Time
	sent uint64
	sum  evidence
}

func (j *judge) totals() (sent, exposed uint64) { return j.sent, j.exposed }

// add takes a report, unless a newer one of the daemon is known.
func (j *judge) add(host bramleytack.HostID, incarnation uint64, r Report, now time.Time) {
	if j.reports == nil {
		j.reports, j.sum, j.pending, j.earlier = map[bramleytack.HostID]*heldReport{}, evidence{}, map[Key]uint32{}, map[Key]uint32{}
	}
	old := j.reports[host]
	first := old == nil
	switch {
	case old == nil || incarnation > old.incarnation:
		// A new process counts from zero. What the former one counted stays.
		old = &heldReport{}
	case incarnation < old.incarnation || r.Number <= old.Number:
		return
	}
	j.reports[host] = &heldReport{Report: r, incarnation: incarnation, at: now}
	j.sent += r.Sent - old.Sent
	j.exposed += r.Exposed - old.Exposed
	for k, c := range r.Counts {
		before := old.Counts[k]
		if before != nil && *before == *c {
			continue
		}
		d := *c
		if before != nil {
			d.add(before, -1)
		}
		broken := d.Broken
		d.Broken = 0
		at := j.sum[k]
		if at == nil {
			at = &Count{}
			j.sum[k] = at
		}
		at.add(&d, 1)
		switch {
		case !first:
			j.pending[k] += broken
		case broken > j.earlier[k]:
			at.Broken += broken - j.earlier[k]
			j.earlier[k] = broken
		}
	}
}

// look counts the broken answers that have come since the last look, and keeps a sum of each
// second.
func (j *judge) look(now time.Time) {
	left := map[uint8]uint32{}
	for k, broken := range j.pending {
		n, ok := left[k.Group]
		if !ok {
			n = brokenPerLook
		}
		n = min(n, broken)
		left[k.Group] = brokenPerLook - n
		j.sum[k].Broken += n
	}
	clear(j.pending)
	if n := len(j.past); n == 0 || now.Sub(j.past[n-1].at) >= time.Second {
		j.past = append(j.past, pastSum{now, j.sent, j.sum.clone()})
		if len(j.past) > looks+1 {
			j.past = j.past[1:]
		}
	}
}

func (e evidence) clone() evidence {
	out := make(evidence, len(e))
	for k, c := range e {
		v := *c
		out[k] = &v
	}
	return out
}

// since returns the counts that were added to an earlier sum.
func (e evidence) since(past evidence) evidence {
	out := e.clone()
	for k, c := range past {
		out[k].add(c, -1)
	}
	return out
}

// finding returns the strongest evidence against the version.
func (j *judge) finding(upstreams int, age time.Duration, now time.Time) Finding {
	if len(j.past) == 0 {
		return Finding{Probability: 1}
	}
	oldest := j.past[0]
	surge := false
	if d := now.Sub(oldest.at); d >= time.Second && age > 0 {
		surge = float64(j.sent-oldest.sent)/d.Seconds() > surgeFactor*float64(j.sent)/age.Seconds()
	}
	f := j.sum.check(j.sum, upstreams, surge)
	if g := j.sum.since(oldest.sum).check(j.sum, upstreams, surge); g.Probability < f.Probability {
		f = g
	}
	return f
}

// overdue reports whether a version with many bad answers has looked bad for half of the bound of
// roll-back. The other half is for the messages and for bad answers that were not seen as such.
func (j *judge) overdue(f Finding, rollback time.Duration, now time.Time) bool {
	if rollback <= 0 || f.Probability >= lateLevel || float64(f.Bad)-f.Expected < suspectBad {
		j.suspectAt = time.Time{}
		return false
	}
	if j.suspectAt.IsZero() {
		j.suspectAt = now
	}
	return now.Sub(j.suspectAt) >= rollback/2
}

// answers returns the number of the new version's answers.
func (j *judge) answers() (n int) {
	for k, c := range j.sum {
		if !k.old() {
			n += int(c.Answers)
		}
	}
	return n
}

// drained reports whether all daemons alive have moved to the new version and have no request
// at other ones.
func (j *judge) drained(daemons int, alive func(bramleytack.HostID) bool, now time.Time) bool {
	ready := 0
	for host, r := range j.reports {
		if now.Sub(r.at) >= freshReport || host != "" && alive != nil && !alive(host) {
			continue
		}
		if r.Stage < Full || r.OldRunning > 0 {
			return false
		}
		ready++
	}
	return ready >= daemons
}

// Merge takes a report of another daemon's process.
func (t *Table) Merge(host bramleytack.HostID, incarnation uint64, r Report) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.orders[r.Service]; o != nil && o.id == r.Order {
		o.judge.add(host, incarnation, r, t.Timer.Now())
	}
}

// Follow takes the decision of a judge.
func (t *Table) Follow(d Decision) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[d.Service]
	if o == nil || o.id != d.Order {
		return
	}
	now := t.Timer.Now()
	// The first decision tells a new process the age.
	first := o.heard.IsZero()
	o.heard = now
	age := min(max(d.Age, 0), o.rollout.Duration)
	if !first {
		age = min(age, now.Sub(o.began)+maxAging)
	}
	o.older(age, now)
	if s := min(d.Stage, Full); s > o.stage {
		o.enter(s, now)
		o.trial = min(max(d.Trial, 0), now.Sub(o.began))
	}
	o.share = 0
	if d.Share > 0 {
		o.share = min(d.Share, maxTrialShare)
	}
	o.rejected = o.rejected || d.Rejected && !o.complete
	if d.Complete && o.rollout.Status.State != bramleytack.RolloutRolledBack {
		o.finish(now)
	}
}

// Tick judges, if this daemon is a judge, and returns the reports and the decisions that are to
// be sent: reports to the judges, decisions to all daemons.
func (t *Table) Tick() (reports []Report, decisions []Decision) {
	if t == nil || t.active.Load() == 0 {
		return nil, nil
	}
	running := t.oldRunning()
	judges, reach, daemons, away := t.Judges(), t.Reach(), t.Daemons(), t.StoreAway()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	for service, o := range t.orders {
		o.number++
		r := Report{Service: service, Order: o.id, Number: o.number, Stage: o.stage, OldRunning: running[service], Sent: o.sent, Exposed: o.exposed, Counts: evidence(o.own).clone()}
		o.judge.add("", 0, r, now)
		if last := &o.judge.reported; now.Sub(o.judge.reportedAt) >= reportPeriod || last.Stage != r.Stage || last.OldRunning != r.OldRunning || last.Sent != r.Sent || !maps.EqualFunc(last.Counts, r.Counts, func(a, b *Count) bool { return a.Answers == b.Answers && a.First == b.First && a.Gaps == b.Gaps }) {
			o.judge.reported, o.judge.reportedAt = r, now
			reports = append(reports, r)
		}
		if !judges {
			continue
		}
		if !o.rejected && !o.complete {
			t.decide(o, view{reach: reach, daemons: daemons, away: away}, now)
		}
		d := Decision{Service: service, Order: o.id, Stage: o.stage, Share: o.share, Rejected: o.rejected, Complete: o.complete, Age: now.Sub(o.began), Trial: o.trial}
		if last := o.judge.decided; now.Sub(o.judge.at) >= decisionPeriod || d.Stage != last.Stage || d.Rejected != last.Rejected || d.Complete != last.Complete || (d.Share == 0) != (last.Share == 0) {
			o.judge.decided, o.judge.at = d, now
			decisions = append(decisions, d)
		}
	}
	return reports, decisions
}

// oldRunning returns the number of this daemon's requests at old versions, by service.
func (t *Table) oldRunning() map[string]int {
	t.mu.Lock()
	old := map[string][]bramleytack.UpstreamID{}
	for service, o := range t.orders {
		for _, u := range t.snapshot.ByService[service] {
			if !o.isTarget(u) {
				old[service] = append(old[service], u.ID)
			}
		}
	}
	t.mu.Unlock()
	// The table must not be locked: Running uses another one that asks this one.
	running := map[string]int{}
	for service, list := range old {
		for _, id := range list {
			running[service] += t.Running(id)
		}
	}
	return running
}

// view is what a judge knows of the fleet.
type view struct {
	reach   float64
	daemons int
	away    bool
}

// decide judges one order. The caller holds the lock.
func (t *Table) decide(o *order, v view, now time.Time) {
	j, age := &o.judge, now.Sub(o.began)
	j.raise(v.daemons, now)
	reaches := v.reach >= minReach && float64(v.daemons) >= minReach*float64(j.peak)
	if reaches || v.reach > 0 && !v.away {
		// A daemon alone that reaches the store reads there what others decide.
		o.heard = now
	}
	j.look(now)
	target, _ := o.upstreams(t.snapshot)
	f := j.finding(len(target), age, now)
	if f.Probability < level || j.overdue(f, t.Bounds.Rollback, now) {
		t.reject(o, f)
		return
	}
	o.share = t.trialShare(o, age)
	if !reaches || v.away {
		return
	}
	t.advance(o, v, f, age, now)
}

// trialShare returns the share of the requests that a version on trial gets.
func (t *Table) trialShare(o *order, age time.Duration) float64 {
	if o.stage == Waiting || o.stage < Full && t.Bounds.exceeded(o.judge.exposed, o.judge.sent) {
		return 0
	}
	trial := o.begins(Quarter) - o.trial
	return t.Bounds.trialShareOf(float64(o.judge.sent)/max(age.Seconds(), 1), trial)
}

// advance moves an order to its next stage when that is due.
func (t *Table) advance(o *order, v view, f Finding, age time.Duration, now time.Time) {
	target, others := o.upstreams(t.snapshot)
	next := o.stage + 1
	due := age >= o.begins(next) && age-o.staged >= time.Duration(minStage*float64(o.time()))
	late := age >= o.begins(next)+time.Duration(patience*float64(o.time()))
	doubt := f.Probability < doubtLevel
	absent := o.absent(target, others, now)
	switch {
	case len(target) == 0:
		if !o.completing && (absent || age >= o.rollout.Duration) {
			t.reject(o, Finding{What: "noUpstreams"})
		}
		return
	case t.oldGone(o, now):
		if o.stage < Full {
			t.enter(o, Full, f, now)
			return
		}
		o.completing = o.completing || age-o.staged >= emptyFor
	case o.stage == Waiting:
		if capacity(t.snapshot, target) >= minCapacity*capacity(t.snapshot, others) || age >= o.rollout.Duration/2 {
			t.enter(o, Trial, f, now)
		}
	case o.stage == Full:
		end := age >= o.trial+o.time()
		o.completing = o.completing || end || due && !doubt && o.judge.drained(v.daemons, t.Alive, now)
	case due && late && f.Probability < lateLevel:
		t.reject(o, f)
	case due && (late || !doubt && (o.stage > Trial || o.judge.answers() >= minAnswers)):
		if late || capacity(t.snapshot, target) >= minCapacity*capacity(t.snapshot, others) {
			t.enter(o, next, f, now)
		}
	}
}

// raise notes the number of daemons that are alive. Daemons that were lost for good do not hold up an
// order for longer than peakRetention.
func (j *judge) raise(daemons int, now time.Time) {
	if daemons >= j.peak || now.Sub(j.peakAt) >= peakRetention {
		j.peak, j.peakAt = daemons, now
	}
}

// absent reports whether the new version has had no upstreams in the full stage for some time,
// while others accept requests.
func (o *order) absent(target, others []*bramleytack.Upstream, now time.Time) bool {
	if o.stage < Full || len(target) > 0 || len(others) == 0 {
		o.judge.absentAt = time.Time{}
		return false
	}
	if o.judge.absentAt.IsZero() {
		o.judge.absentAt = now
	}
	return now.Sub(o.judge.absentAt) >= absentFor
}

// oldGone reports whether the service has had no upstreams of other versions for some time.
func (t *Table) oldGone(o *order, now time.Time) bool {
	for _, u := range t.snapshot.ByService[o.rollout.Service] {
		if !o.isTarget(u) && u.State != bramleytack.UpstreamLeaving {
			o.judge.emptyAt = time.Time{}
			return false
		}
	}
	if o.judge.emptyAt.IsZero() {
		o.judge.emptyAt = now
	}
	return now.Sub(o.judge.emptyAt) >= emptyFor
}

// capacity returns the places of some upstreams.
func capacity(s *bramleytack.Snapshot, list []*bramleytack.Upstream) (n float64) {
	for _, u := range list {
		n += float64(places(s, u))
	}
	return n
}

// enter moves an order to a stage and logs why.
func (t *Table) enter(o *order, s Stage, f Finding, now time.Time) {
	o.enter(s, now)
	t.Log.Event(btevent.RolloutAdvanced).Str("service", o.rollout.Service).Str("target", o.rollout.Target).Stringer("stage", s).Dur("age", now.Sub(o.began)).
		Uint64("sent", o.judge.sent).Uint64("exposed", o.judge.exposed).Int("answers", o.judge.answers()).
		Str("test", f.What).Str("onRoute", f.Route).Int("bad", f.Bad).Int("of", f.Answers).Float64("expected", f.Expected).Float64("probability", f.Probability).Send()
}

// reject gives the verdict against a version and logs why.
func (t *Table) reject(o *order, f Finding) {
	o.rejected, o.completing = true, false
	t.Log.Event(btevent.RolloutRejected).Str("service", o.rollout.Service).Str("target", o.rollout.Target).Stringer("stage", o.stage).
		Dur("age", t.Timer.Now().Sub(o.began)).Uint64("sent", o.judge.sent).Uint64("exposed", o.judge.exposed).Int("answers", o.judge.answers()).
		Str("test", f.What).Str("onRoute", f.Route).Int("bad", f.Bad).Int("of", f.Answers).Float64("expected", f.Expected).Float64("probability", f.Probability).Send()
}
