package btaccount

import (
	"fmt"
	"testing"

	"bramleytack"
	"bramleytack/bttimer"
)

// BenchmarkPick measures the choice of an upstream, which each request makes at least
// once, by the number of upstreams of its service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{130, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			timer := bttimer.New(1)
			defer timer.Close()
			s := fleet(n)
			table := newTable(timer)
			table.RemoteLate = func() bool { return true }
			loads := map[bramleytack.UpstreamID]Load{}
			for i, u := range s.ByService[service] {
				loads[u.ID] = Load{Running: i % 7, Memory: i % 7 * 3000}
			}
			table.SetPeer(Source{Domain: "d1"}, loads)
			for b.Loop() {
				if u, _ := table.Pick(s, table.Eligible(s, service, nil), longGeneration); u == nil {
					b.Fatal("no upstream")
				}
			}
		})
	}
}
