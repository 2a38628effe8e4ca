package btlength

import (
	"cmp"
	"sync"
	"time"

	"bramleytack"
)

// Key is the group of requests whose output lengths are learned together.
type Key struct {
	Workspace bramleytack.WorkspaceID
	Model     string
	Priority  bramleytack.Priority
}

type classKey struct {
	model    string
	priority bramleytack.Priority
}

// Config holds the settings of an Estimator. Zero fields take defaults.
type Config struct {
	// MaxKeys bounds the histograms per Key, MaxGroups those of each of the
	// coarser levels.
	MaxKeys   int
	MaxGroups int
	// HalfLife is the age at which a sample counts half.
	HalfLife time.Duration
	// MinSamples is the weight up to which coarser groups fill up.
	MinSamples float64
	// Prior is the length that is assumed without any samples.
	Prior int
}

func (c Config) withDefaults() Config {
	c.MaxKeys = cmp.Or(c.MaxKeys, 8192)
	c.MaxGroups = cmp.Or(c.MaxGroups, 256)
	c.HalfLife = cmp.Or(c.HalfLife, time.Hour)
	c.MinSamples = cmp.Or(c.MinSamples, 30)
	c.Prior = cmp.Or(c.Prior, 1024)
	return c
}

// Estimator learns output lengths. It is safe for concurrent use.
type Estimator struct {
	cfg Config

	mu     sync.Mutex
	keys   table[Key]
	class  table[classKey]
	models table[string]
	all    histogram
}

// New returns an estimator without samples.
func New(cfg Config) *Estimator {
	e := &Estimator{cfg: cfg.withDefaults()}
	e.keys.size = e.cfg.MaxKeys
	e.class.size = e.cfg.MaxGroups
	e.models.size = e.cfg.MaxGroups
	return e
}

// Add learns the length of an output.
func (e *Estimator) Add(now time.Time, k Key, tokens int) {
	if tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keys.obtain(k).add(now, tokens, e.cfg.HalfLife)
	e.class.obtain(classKey{k.Model, k.Priority}).add(now, tokens, e.cfg.HalfLife)
	e.models.obtain(k.Model).add(now, tokens, e.cfg.HalfLife)
	e.all.add(now, tokens, e.cfg.HalfLife)
}

// Residual returns the number of further tokens that a generation which
// produced some already does not exceed with probability quantile.
func (e *Estimator) Residual(k Key, produced int, quantile float64) int {
	s := e.survival(k, produced)
	return int(s.quantile(min(max(quantile, 0), 1)) + 0.5)
}

// MeanResidual returns the expected number of further tokens.
func (e *Estimator) MeanResidual(k Key, produced int) float64 {
	s := e.survival(k, produced)
	return s.mean()
}

// Curve returns the forecast of a generation that may produce at most limit
// further tokens. A limit of zero or less sets no bound.
func (e *Estimator) Curve(k Key, produced, limit int) Curve {
	s := e.survival(k, produced)
	if limit <= 0 {
		limit = int(bounds[buckets])
	}
	return s.curve(limit)
}

// Len returns the number of keys with a histogram of their own.
func (e *Estimator) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.keys.slots)
}

// survival joins the histograms of k, finest first, until their weight above
// produced reaches MinSamples.
func (e *Estimator) survival(k Key, produced int) survival {
	produced = max(produced, 0)
	s := survival{produced: float64(produced)}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range [...]*histogram{
		e.keys.find(k),
		e.class.find(classKey{k.Model, k.Priority}),
		e.models.find(k.Model),
		&e.all,
	} {
		if h != nil && s.fill(h, produced, float32(e.cfg.MinSamples)) {
			return s
		}
	}
	s.fillPrior(e.cfg.Prior, float32(e.cfg.MinSamples))
	return s
}

// fill adds a histogram and says whether the samples suffice. Coarser groups
// contain the finer ones, so that they only fill the weight that is missing.
func (s *survival) fill(h *histogram, produced int, want float32) bool {
	var w [buckets]float32
	sum := h.survivors(produced, &w)
	if sum <= 0 {
		return false
	}
	scale := float32(1)
	if s.total > 0 {
		scale = min(1, (want-s.total)/sum)
	}
	for i := range w {
		s.weight[i] += w[i] * scale
	}
	s.total += sum * scale
	return s.total >= want
}

// fillPrior adds an assumed residual: the prior, or as much again as was
// produced, which fits lengths with a heavy tail.
func (s *survival) fillPrior(prior int, want float32) {
	rest := max(float64(prior)-s.produced, s.produced, 1)
	s.weight[bucketOf(int(s.produced+rest))] += want - s.total
	s.total = want
}
