package btcapacity

import (
	"encoding/json"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bramleytack/btconfig"
)

// Guards against slopes that are wrong, on which every figure of
// docs/CAPACITY.md depends.
func TestFit(t *testing.T) {
	cases := []struct {
		name   string
		points []Point
		want   Line
	}{
		{"nothing", nil, Line{}},
		{"one size", []Point{{2, 3}, {2, 5}}, Line{Base: 4}},
		{"exact line", []Point{{0, 1}, {2, 5}, {4, 9}}, Line{Base: 1, Slope: 2}},
		{"noise around a line", []Point{{0, 0}, {0, 2}, {2, 4}, {2, 6}}, Line{Base: 1, Slope: 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Fit(c.points), c.want)
			assert.Equal(t, c.want.At(10), c.want.Base+10*c.want.Slope)
		})
	}
	assert.Equal(t, median([]Point{{1, 5}, {1, 1}, {1, 2}, {2, 9}}, 1), 2.0)
	assert.Equal(t, median([]Point{{1, 5}, {1, 1}}, 1), 3.0)
}

// Guards against samples that are counted in the wrong sweep.
func TestScenarios(t *testing.T) {
	for _, w := range sweeps {
		var samples []Sample
		for _, s := range Scenarios(w.name) {
			s.Seconds = 1
			samples = append(samples, Sample{Scenario: s, Processor: float64(w.get(s))})
		}
		samples = append(samples, Sample{Scenario: designCell}, Sample{Scenario: streamScenarios[0]})
		points := w.points(samples, perDaemon(func(s Sample) float64 { return s.Processor }))
		assert.Equal(t, sizes(points), len(w.values), w.name)
		assert.Equal(t, len(points), len(w.values), w.name)
		assert.Equal(t, Fit(points).At(7), 7.0, w.name)
	}
}

// Guards against costs that the model takes for another one's: each sweep
// changes several terms.
func TestModel(t *testing.T) {
	want := Model{7, 2, 5, 0.25, 3, 0.5}
	var samples []Sample
	for _, s := range Scenarios("") {
		var terms []float64
		for _, c := range costs {
			terms = append(terms, c.value(s))
		}
		samples = append(samples, Sample{Scenario: s, Heap: want.At(terms)})
	}
	heap := perDaemon(func(s Sample) float64 { return s.Heap })
	got := FitModel(samples, heap)
	assert.Equal(t, len(got), len(want))
	for i := range want {
		assert.Assert(t, math.Abs(got[i]-want[i]) < 1e-6, "%s: %f", costs[i].name, got[i])
	}
	assert.Assert(t, FitModel(samples[:3], heap) == nil, "too few sizes")
}

// Guards against rates that mix directions, types or daemons.
func TestBetween(t *testing.T) {
	var before, after state
	assert.NilError(t, json.Unmarshal([]byte(`{"status":{"host":"h1"},"cell":{"view":{"holder":"h1"}},"store":{"reads":1},
		"links":{"traffic":{"sentBytes":100,"messages":[{"type":"A","sent":1,"sentBytes":10}]}}}`), &before))
	assert.NilError(t, json.Unmarshal([]byte(`{"status":{"host":"h1"},"cell":{"view":{"holder":"h1"}},"store":{"reads":5,"writes":2,"watches":8},
		"watch":{"following":8},"links":{"traffic":{"sentBytes":300,"receivedBytes":50,"messages":[
		{"type":"A","sent":5,"sentBytes":50},{"type":"B","received":2,"receivedBytes":6}]}}}`), &after))
	d := between(&before, &after, 2)
	assert.DeepEqual(t, d, Daemon{
		Role:      Coordinator,
		Messages:  map[string]float64{"A/sent": 2, "A/received": 0, "B/sent": 0, "B/received": 1},
		Bytes:     map[string]float64{"A/sent": 20, "A/received": 0, "B/sent": 0, "B/received": 3},
		SentBytes: 100, ReceivedBytes: 25, Reads: 2, Writes: 1, Watches: 8, Opened: 4,
	})
	after.Cell.View.Holder = "h2"
	assert.Equal(t, after.role(), Deputy)
	after.Watch.Following = 0
	assert.Equal(t, after.role(), Member)
}

// Guards against records that daemons do not accept, and against sizes that
// differ from those in docs/CAPACITY.md.
func TestObjects(t *testing.T) {
	s := Scenario{Upstreams: 300, Workspaces: 20}
	objects, err := s.Objects()
	assert.NilError(t, err)
	c := btconfig.New()
	c.Apply(objects)
	assert.Equal(t, c.Stats().Objects, s.Upstreams+s.Workspaces+domains+1)
	assert.Equal(t, c.Stats().DecodeFailures, uint64(0))
	assert.Equal(t, len(c.Snapshot().Upstreams), s.Upstreams)
	assert.Equal(t, len(objects[len(objects)-1].Data), recordBytes)
	assert.Assert(t, c.Snapshot().ByKeyHash[streamWorkspaceHash()] != nil)
}

// Guards against an exchange that grows beyond the figure in docs/CAPACITY.md.
func TestExchangeSize(t *testing.T) {
	assert.Equal(t, proto.Size(exchangeMessage(ownedUpstreams, 0)), 425)
	assert.Equal(t, proto.Size(exchangeMessage(ownedUpstreams, 100)), 3625)
}
