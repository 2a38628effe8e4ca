package btgossip

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/route/btpace"
)

// Guards against datagrams beyond one frame, and against records that change on the way.
func TestPacesFitDatagrams(t *testing.T) {
	news := btpace.News{Pauses: []btpace.Pauses{{Service: "engines", Alone: 30 * time.Millisecond, Beside: 62 * time.Millisecond}}}
	for i := range 100 {
		news.Records = append(news.Records, btpace.Record{
			Upstream: bramleytack.UpstreamID(fmt.Sprintf("i-%010d", i)), Started: time.UnixMilli(1790000000000), Raised: 3, Lasting: 1.2, Worst: 20, Moment: 20, MomentAge: 499 * time.Millisecond,
		})
	}
	var got btpace.News
	for _, p := range packPaces(news) {
		assert.Assert(t, proto.Size(p) < maxPacketSize-100, "%d bytes", proto.Size(p))
		got.Records = append(got.Records, decodePaces(p.Paces)...)
		got.Pauses = append(got.Pauses, decodePauses(p.Pauses)...)
	}
	assert.DeepEqual(t, got, news)
	assert.Equal(t, len(decodePaces([]*Pace{nil, {}})), 0)
	assert.Equal(t, len(decodePauses([]*Pauses{nil})), 1)
}
