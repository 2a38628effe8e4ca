package btaccount

import (
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/route/btpace"
)

// Load: more than can be served, slow engines among fast ones. Guards against limits on unread
// prompts by which a slow engine reads for twice as long as a fast one, so that those sent to
// it are late, and against idle engines that are left out.
func TestUnreadLimitFollowsPace(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		table := newTable(timer)
		table.Paces = &btpace.Table{Timer: timer}
		fleet := pacedFleet(4)
		engines := fleet.ByService[service]
		for i, pace := range []float64{0.5, 1, 2, 2} {
			table.Paces.Observe(engines[i], pace)
		}
		for _, u := range engines[:3] {
			table.Begin(u.ID, Need{Prompt: 2000, Output: 100})
		}
		const prompt = 1000
		for _, c := range []struct {
			limit int
			want  []*bramleytack.Upstream
		}{{0, engines[3:]}, {500, []*bramleytack.Upstream{engines[0], engines[3]}}, {2000, []*bramleytack.Upstream{engines[0], engines[1], engines[3]}}, {5000, engines}} {
			assert.DeepEqual(t, ids(table.WithUnread(engines, c.limit, prompt)), ids(c.want))
		}
		for i, want := range []int{500, 2000, 5000, 1000} {
			assert.Equal(t, table.UnreadBefore(engines[i], prompt), want, "engine %d", i)
		}
		assert.Equal(t, table.ServiceLoad(fleet, service).Readers, 4.0)
	})
}

func ids(list []*bramleytack.Upstream) []bramleytack.UpstreamID {
	out := make([]bramleytack.UpstreamID, len(list))
	for i, u := range list {
		out[i] = u.ID
	}
	return out
}
