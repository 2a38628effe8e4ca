package btbench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleytack"
)

// model is the one model of a deployment.
const model = "lm"

// Class is a kind of request of a mix.
type Class struct {
	Name     string
	Priority bramleytack.Priority
	// Share is the part of the offered output tokens.
	Share float64
	// Prompt is the mean size of the prompt in tokens.
	Prompt int
	// Median, Sigma and Max describe the log-normal output length.
	Median float64
	Sigma  float64
	Max    int
	// Burst is the mean number of requests that arrive within BurstTime.
	Burst     int
	BurstTime time.Duration
}

// mean returns the expected output length, without the cut at Max.
func (c Class) mean() float64 { return c.Median * math.Exp(c.Sigma*c.Sigma/2) }

// Mix is the workload of a deployment.
type Mix struct {
	Name    string
	Classes []Class
	// OneWay is the latency between two hosts.
	OneWay time.Duration
	// Load is the offered load as a share of the commitment, Overload that in
	// the overload phases.
	Load     float64
	Overload float64
}

// Foldwell returns the mix of long guides and bursts of short classifications.
func Foldwell() Mix {
	return Mix{
		Name: "foldwell", OneWay: time.Millisecond, Load: 0.75, Overload: 1.3,
		Classes: []Class{
			{Name: "guide", Priority: bramleytack.Standard, Share: 0.8, Prompt: 400, Median: 400, Sigma: 1.1, Max: 8192, Burst: 1},
			{Name: "bulk", Priority: bramleytack.Batch, Share: 0.15, Prompt: 600, Median: 700, Sigma: 0.9, Max: 8192, Burst: 6, BurstTime: 2 * time.Second},
			{Name: "classify", Priority: bramleytack.Interactive, Share: 0.05, Prompt: 250, Median: 10, Sigma: 0.6, Max: 64, Burst: 12, BurstTime: time.Second},
		},
	}
}

// Karamanlis returns the mix of long rotas and short questions.
func Karamanlis() Mix {
	return Mix{
		Name: "karamanlis", OneWay: 300 * time.Microsecond, Load: 0.75, Overload: 1.3,
		Classes: []Class{
			{Name: "rota", Priority: bramleytack.Standard, Share: 0.75, Prompt: 800, Median: 900, Sigma: 0.9, Max: 12288, Burst: 2, BurstTime: time.Second},
			{Name: "question", Priority: bramleytack.Interactive, Share: 0.25, Prompt: 200, Median: 60, Sigma: 0.8, Max: 512, Burst: 2, BurstTime: time.Second},
		},
	}
}

// arrival is a request of the workload.
type arrival struct {
	at        time.Duration
	entry     int
	workspace int
	class     int
	prompt    string
	tokens    int
}

// workspaceShares is the part of the requests of each workspace. The first
// three are large.
var workspaceShares = [...]float64{0.27, 0.22, 0.19, 0.06, 0.06, 0.05, 0.05, 0.04, 0.03, 0.03}

// workspaceWeights are the shares in fair queueing.
var workspaceWeights = [...]int{6, 4, 4, 1, 1, 1, 1, 1, 1, 1}

func workspaceName(i int) bramleytack.WorkspaceID {
	return bramleytack.WorkspaceID("workspace-" + strconv.Itoa(i))
}

// arrivals draws the workload. It depends on the mix and the seed only.
func (m Mix) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 0x6d6978))
	total := m.Commitment()
	var list []arrival
	for k, c := range m.Classes {
		rate := c.Share / c.mean() * total / float64(max(c.Burst, 1))
		for t := 0.0; ; {
			// Thinning draws from a Poisson process of variable rate.
			t += rng.ExpFloat64() / (rate * m.Overload)
			at := time.Duration(t * float64(time.Second))
			if at >= arrivalsEnd {
				break
			}
			if rng.Float64() < m.loadAt(at)/m.Overload {
				list = m.burst(rng, list, k, at)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}

func (m Mix) loadAt(t time.Duration) float64 {
	for _, p := range overloads {
		if t >= p.from && t < p.to {
			return m.Overload
		}
	}
	return m.Load
}

// burst adds the requests of one burst, which belong to one workspace.
func (m Mix) burst(rng *rand.Rand, list []arrival, k int, at time.Duration) []arrival {
	c := m.Classes[k]
	ws := pick(rng, workspaceShares[:])
	n := 1
	if c.Burst > 1 {
		n += rng.IntN(2*c.Burst - 1)
	}
	for range n {
		a := arrival{at: at, entry: rng.IntN(entries), workspace: ws, class: k}
		if c.BurstTime > 0 {
			a.at += time.Duration(rng.Int64N(int64(c.BurstTime)))
		}
		a.tokens = max(1, min(c.Max, int(c.Median*math.Exp(c.Sigma*rng.NormFloat64()))))
		a.prompt = prompt(rng, c, ws, a.tokens)
		list = append(list, a)
	}
	return list
}

func pick(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// prompt returns a text with a part that the workspace's requests share, half
// of the mean, and a part of its own.
func prompt(rng *rand.Rand, c Class, ws, tokens int) string {
	const bytesPerToken = 4
	shared := strings.Repeat(c.Name+"-"+strconv.Itoa(ws)+" ", c.Prompt)[:c.Prompt/2*bytesPerToken]
	own := strings.Repeat(strconv.FormatUint(rng.Uint64(), 36)+" ", c.Prompt)
	own = own[:c.Prompt/4*bytesPerToken+rng.IntN(c.Prompt/2*bytesPerToken)]
	return shared + own + "[[tokens=" + strconv.Itoa(tokens) + "]]"
}

// Commitment returns the output tokens per second that the fleet sustains
// with its memory exactly full of this mix on average. No schedule reaches it
// without preemptions, since lengths are random.
func (m Mix) Commitment() float64 { return float64(engines) * m.engineRate() }

// engineRate follows from the mean memory over the life of a generation and
// the time of a step.
func (m Mix) engineRate() float64 {
	const draws = 20000
	rng := rand.New(rand.NewPCG(1, 1))
	var requests, tokens, area, prompts float64
	for _, c := range m.Classes {
		weight := c.Share / c.mean()
		for range draws {
			n := max(1, min(float64(c.Max), c.Median*math.Exp(c.Sigma*rng.NormFloat64())))
			p := float64(c.Prompt)
			requests += weight
			tokens += weight * n
			area += weight * (p*n + n*n/2)
			prompts += weight * p
		}
	}
	e := engineConfig(0, 0)
	batch := min(float64(e.MaxBatch), float64(e.MemoryTokens)/(area/tokens))
	// Half of a prompt is shared and usually cached.
	prefill := batch / (tokens / requests) * prompts / requests / 2
	step := e.StepBase.Seconds() + batch*e.StepPerSequence.Seconds() + prefill*e.StepPerPrefill.Seconds()
	return batch / step
}
