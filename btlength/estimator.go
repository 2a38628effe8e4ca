package btlength

import (
	"cmp"
	"sync"
	"time"

	"bramleytack"
)

// Key identifies a group of requests whose output lengths share a histogram.
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
	// MaxKeys bounds the number of histograms by Key. MaxGroups bounds those by
	// model and class, and those by model.
	MaxKeys   int
	MaxGroups int
	// HalfLife is the age at which a sample has half of its weight.
	HalfLife time.Duration
	// MinSamples is the total sample weight of a forecast. Coarser histograms
	// are added until it is reached.
	MinSamples float64
	// Prior is the output length, in tokens, that is assumed without samples.
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

	mu      sync.Mutex
	byKey   lruTable[Key]
	byClass lruTable[classKey]
	byModel lruTable[string]
	all     histogram
}

// New returns an estimator without samples.
func New(cfg Config) *Estimator {
	e := &Estimator{cfg: cfg.withDefaults()}
	e.byKey.capacity = e.cfg.MaxKeys
	e.byClass.capacity = e.cfg.MaxGroups
	e.byModel.capacity = e.cfg.MaxGroups
	return e
}

// Add adds the length of a complete output. It ignores a length that is not
// positive.
func (e *Estimator) Add(now time.Time, k Key, tokens int) {
	if tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byKey.getOrCreate(k).add(now, tokens, e.cfg.HalfLife)
	e.byClass.getOrCreate(classKey{k.Model, k.Priority}).add(now, tokens, e.cfg.HalfLife)
	e.byModel.getOrCreate(k.Model).add(now, tokens, e.cfg.HalfLife)
	e.all.add(now, tokens, e.cfg.HalfLife)
}

// Residual returns a quantile of the number of further tokens that a generation
// will produce after the given number of tokens.
func (e *Estimator) Residual(k Key, produced int, quantile float64) int {
	d := e.residuals(k, produced)
	return int(d.quantile(min(max(quantile, 0), 1)) + 0.5)
}

// MeanResidual returns the expected number of further tokens that a generation
// will produce after the given number of tokens.
func (e *Estimator) MeanResidual(k Key, produced int) float64 {
	d := e.residuals(k, produced)
	return d.mean()
}

// Curve returns the forecast of a generation that may produce at most limit
// further tokens. A limit of zero or less sets no bound.
func (e *Estimator) Curve(k Key, produced, limit int) Curve {
	d := e.residuals(k, produced)
	if limit <= 0 {
		limit = int(bucketBounds[numBuckets])
	}
	return d.curve(limit)
}

// Len returns the number of keys with a histogram of their own.
func (e *Estimator) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.byKey.slots)
}

// residuals merges the histograms of k, finest first, until the weight of the
// lengths above produced reaches MinSamples.
func (e *Estimator) residuals(k Key, produced int) residualDist {
	produced = max(produced, 0)
	d := residualDist{produced: float64(produced)}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range [...]*histogram{
		e.byKey.find(k),
		e.byClass.find(classKey{k.Model, k.Priority}),
		e.byModel.find(k.Model),
		&e.all,
	} {
		if h != nil && d.merge(h, produced, float32(e.cfg.MinSamples)) {
			return d
		}
	}
	d.addPrior(e.cfg.Prior, float32(e.cfg.MinSamples))
	return d
}

// merge adds a histogram and reports whether the total weight reaches
// minWeight. A coarser histogram includes the samples of the finer ones, so it
// is scaled down to the weight that is missing.
func (d *residualDist) merge(h *histogram, produced int, minWeight float32) bool {
	var w [numBuckets]float32
	sum := h.weightsAbove(produced, &w)
	if sum <= 0 {
		return false
	}
	scale := float32(1)
	if d.total > 0 {
		scale = min(1, (minWeight-d.total)/sum)
	}
	for i := range w {
		d.weight[i] += w[i] * scale
	}
	d.total += sum * scale
	return d.total >= minWeight
}

// addPrior fills up to minWeight with one assumed residual: the rest of the
// prior or, if more, as many tokens as were produced, which fits lengths with a
// heavy tail.
func (d *residualDist) addPrior(prior int, minWeight float32) {
	residual := max(float64(prior)-d.produced, d.produced, 1)
	d.weight[bucketOf(int(d.produced+residual))] += minWeight - d.total
	d.total = minWeight
}
