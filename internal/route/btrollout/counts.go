package btrollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
)

const (
	// groups is the number of groups of the new version's upstreams, and oldGroups that of the
	// others', which come after them. Evidence is kept by group, so that one bad machine can be
	// told from a bad version and a report fits into a datagram.
	groups    = 8
	oldGroups = 8
	allGroups = groups + oldGroups
	// maxKeys bounds the keys of one report, which then has some 3.3 KB if each has a dozen classes of durations.
	maxKeys = 64
	// buckets is the number of classes of durations, four for each doubling from a millisecond
	// to 16 s.
	buckets = 56
	// bucketsPerDoubling is the resolution of durations.
	bucketsPerDoubling = 4
)

// The classes of how busy an upstream is when a request is sent to it: up to loadBounds of its
// places are taken.
var loadBounds = [...]float64{0.35, 0.8}

// Histogram counts durations by class.
type Histogram [buckets]uint32

// bucketOf returns the class of a duration.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(bucketsPerDoubling*math.Log2(ms)), buckets-1)
}

// total returns the number of durations.
func (h *Histogram) total() uint32 { return total(h[:]) }

// median returns the class of the median.
func (h *Histogram) median() int { return quantile(h[:], 0.5) }

func total(classes []uint32) (n uint32) {
	for _, v := range classes {
		n += v
	}
	return n
}

// quantile returns the class of the duration below which a share of all are.
func quantile(classes []uint32, share float64) int {
	below, n := uint32(share*float64(total(classes))), uint32(0)
	for i, v := range classes {
		if n += v; n > below {
			return i
		}
	}
	return len(classes) - 1
}

// from returns the number of durations of a class and above.
func (h *Histogram) from(class int) (n uint32) {
	for i := max(class, 0); i < buckets; i++ {
		n += h[i]
	}
	return n
}

// Key is what answers are counted by.
type Key struct {
	Route string
	// Load is the class of how busy the upstream was.
	Load uint8
	// Group is the group of the upstream.
	Group uint8
}

// old reports whether the key is one of the old version.
func (k Key) old() bool { return k.Group >= groups }

// Valid reports whether the key is one that this version of the package uses.
func (k Key) Valid() bool { return int(k.Load) <= len(loadBounds) && k.Group < allGroups }

// Compare orders keys.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Route, o.Route), cmp.Compare(k.Load, o.Load), cmp.Compare(k.Group, o.Group))
}

// Count is what was counted of the answers of a key. It never decreases.
type Count struct {
	Answers uint32
	// Failures are whole answers with an error, Broken those that are no whole answer.
	Failures uint32
	Broken   uint32
	// First holds the times to the first event, or to the whole answer of a call, and Gaps mean
	// times between events.
	First Histogram
	Gaps  Histogram
}

// add adds o sign times.
func (c *Count) add(o *Count, sign int) {
	n := uint32(sign)
	c.Answers += n * o.Answers
	c.Failures += n * o.Failures
	c.Broken += n * o.Broken
	for i := range c.First {
		c.First[i] += n * o.First[i]
		c.Gaps[i] += n * o.Gaps[i]
	}
}

// Answer is the result of a request at an upstream.
type Answer struct {
	Upstream *bramleytack.Upstream
	Route    string
	// Busy is the share of the upstream's places that were taken when the request was sent.
	Busy float64
	// Failed is set if the answer is an error of the upstream, Broken if there is no whole one.
	Failed bool
	Broken bool
	// First is the time to the first event or the whole answer, and Gap a mean time between
	// events. Zero means that there is none.
	First time.Duration
	Gap   time.Duration
	// Part is set for what is learned of an answer after the first time. It is not counted again.
	Part bool
}

// counts holds what a daemon has counted for an order.
type counts map[Key]*Count

// at returns the count of a key. Beyond maxKeys it returns one of the same route.
func (c counts) at(k Key) *Count {
	if v := c[k]; v != nil {
		return v
	}
	if len(c) >= maxKeys {
		if !k.old() {
			k.Group = 0
		}
		k.Load = 0
		if v := c[k]; v != nil {
			return v
		}
		if len(c) >= 2*maxKeys {
			return &Count{}
		}
	}
	v := &Count{}
	c[k] = v
	return v
}

// record counts an answer. Without timed, its durations do not count.
func (c counts) record(a Answer, group uint8, timed bool) {
	load := uint8(0)
	for _, bound := range loadBounds {
		if a.Busy >= bound {
			load++
		}
	}
	v := c.at(Key{Route: a.Route, Load: load, Group: group})
	if !a.Part {
		v.Answers++
	}
	switch {
	case a.Broken:
		v.Broken++
	case a.Failed:
		v.Failures++
	}
	if !timed {
		return
	}
	if a.First > 0 && !a.Failed && !a.Broken {
		// A request that waits for a place takes longer by those that wait with it.
		v.First[bucketOf(time.Duration(float64(a.First)/max(a.Busy, 1)))]++
	}
	if a.Gap > 0 {
		v.Gaps[bucketOf(a.Gap)]++
	}
}

// groupOf returns the group of an upstream. It stays the same when others come and go.
func (o *order) groupOf(u *bramleytack.Upstream) uint8 {
	n, known := o.numbers[u.ID]
	if !known {
		n = xxhash.Sum64String(string(u.ID))
	}
	if !o.isTarget(u) {
		return groups + uint8(n%oldGroups)
	}
	return uint8(n % groups)
}

// numberUpstreams numbers the upstreams of a snapshot in the order of their ids, so that few of
// them have a group each. It does so until startPeriod after the trial began, when all daemons
// know the same ones. Those that come later are numbered by a hash, which all daemons agree on
// whenever they hear of them.
func (o *order) numberUpstreams(s *bramleytack.Snapshot, now time.Time) {
	if o.numbers != nil && (o.stage > Trial || o.stage == Trial && now.Sub(o.began) >= o.trial+startPeriod) {
		return
	}
	ids := map[bool][]bramleytack.UpstreamID{}
	for _, u := range s.ByService[o.rollout.Service] {
		ids[o.isTarget(u)] = append(ids[o.isTarget(u)], u.ID)
	}
	if len(ids[true]) < o.targets {
		return
	}
	o.targets, o.numbers = len(ids[true]), map[bramleytack.UpstreamID]uint64{}
	for _, list := range ids {
		slices.Sort(list)
		for n, id := range list {
			o.numbers[id] = uint64(n)
		}
	}
}
