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

// reportingEngines returns the same report for all engines.
type reportingEngines struct {
	noEngines
	report bramleytack.EngineReport
}

func (r reportingEngines) Report(context.Context, netip.AddrPort) (bramleytack.EngineReport, error) {
	return r.report, nil
}

// stubCodec decodes any object to a value without content.
type stubCodec struct{}

func (stubCodec) Config(_ []byte, s *bramleytack.Snapshot) error {
	s.Routes = bramleytack.NewRouteTable(nil)
	return nil
}

func (stubCodec) Upstream(name string, _ []byte, _ time.Time) (*bramleytack.Upstream, error) {
	return &bramleytack.Upstream{ID: bramleytack.UpstreamID(name)}, nil
}

// Guards against engines that are marked as leaving during a store outage although
// they serve until the store has recorded that they leave (grown Foldwell site,
// trouble-3: 8 of 31 engines stood idle for 8 s).
func TestOnlyKnownEndMarksLeaving(t *testing.T) {
	for _, test := range []struct {
		name    string
		report  bramleytack.EngineReport
		leaving bool
	}{
		{"reports no end", bramleytack.EngineReport{}, false},
		{"reports an end", bramleytack.EngineReport{EndsIn: time.Second}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := Adapter{Codec: stubCodec{}, Engines: func(*btconn.Pool) Engines { return reportingEngines{report: test.report} }}
			n := New(Settings{Host: "h"}, a, &blockedPipe{free: make(chan struct{})})
			defer n.timer.Close()
			for kind, name := range map[string]string{bramleytack.KindConfig: "main", bramleytack.KindUpstreams: "e1"} {
				o := bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: name}, Version: 1, Data: json.RawMessage("{}")}
				n.table.Apply(btreplica.Batch{Kind: kind, Full: true, Upto: 1, Objects: []bramleytack.Object{o}})
			}
			u := n.table.Snapshot().Upstreams["e1"]
			(&endQuery{node: n, upstream: u}).run(t.Context())
			assert.Equal(t, n.table.Snapshot().Upstreams["e1"].State == bramleytack.UpstreamLeaving, test.leaving)
		})
	}
}
