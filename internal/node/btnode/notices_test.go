package btnode

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/upstream/btconn"
)

// reports answers all questions alike.
type reports struct {
	noEngines
	report bramleytack.EngineReport
}

func (r reports) Report(context.Context, netip.AddrPort) (bramleytack.EngineReport, error) {
	return r.report, nil
}

// oneUpstream decodes any object.
type oneUpstream struct{}

func (oneUpstream) Config(_ []byte, s *bramleytack.Snapshot) error {
	s.Routes = bramleytack.NewRouteTable(nil)
	return nil
}

func (oneUpstream) Upstream(name string, _ []byte, _ time.Time) (*bramleytack.Upstream, error) {
	return &bramleytack.Upstream{ID: bramleytack.UpstreamID(name)}, nil
}

// Pattern: engines are taken away while the store is away. Guards against engines
// that are spared although they serve on until the store has noted their leaving
// (grown Foldwell site, trouble-3: 8 of 31 engines stood idle for 8 s).
func TestOnlyKnownEndsCount(t *testing.T) {
	for _, test := range []struct {
		name    string
		report  bramleytack.EngineReport
		leaving bool
	}{
		{"runs, or leaves once it may", bramleytack.EngineReport{}, false},
		{"ends soon", bramleytack.EngineReport{EndsIn: time.Second}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := Adapter{Codec: oneUpstream{}, Engines: func(*btconn.Pool) Engines { return reports{report: test.report} }}
			n := New(Settings{Host: "h"}, a, &stuck{free: make(chan struct{})})
			defer n.timer.Close()
			for kind, name := range map[string]string{bramleytack.KindConfig: "main", bramleytack.KindUpstreams: "e1"} {
				o := bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: name}, Version: 1, Data: json.RawMessage("{}")}
				n.table.Apply(btreplica.Batch{Kind: kind, Full: true, Upto: 1, Objects: []bramleytack.Object{o}})
			}
			u := n.table.Snapshot().Upstreams["e1"]
			(&question{node: n, upstream: u}).run(t.Context())
			assert.Equal(t, n.table.Snapshot().Upstreams["e1"].State == bramleytack.UpstreamLeaving, test.leaving)
		})
	}
}
