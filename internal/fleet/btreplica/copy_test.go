package btreplica

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/bttimer"
)

// coldCodec reads the seconds for which an upstream is cold from the third byte.
type coldCodec struct{ codec }

func (coldCodec) Upstream(name string, data []byte, now time.Time) (*bramleytack.Upstream, error) {
	u, err := codec{}.Upstream(name, data, now)
	if err == nil && len(data) > 2 && data[2] > 0 {
		u.ColdUntil = now.Add(time.Duration(data[2]) * time.Second)
	}
	return u, err
}

// The copy has a registration from before an upstream became cold, or started again. Guards against more
// requests than it bears, and against what is known of a later instance being taken for the earlier one's.
func TestCopyMakesNoUpstreamWarm(t *testing.T) {
	for name, started := range map[string]byte{"same instance": 1, "later instance": 9} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timer := bttimer.New(1)
				defer timer.Close()
				table := NewTable(coldCodec{}, timer, btevent.New(io.Discard, 0, "h"))
				kind := bramleytack.KindUpstreams
				list := func(epoch, number uint64, data ...byte) Batch {
					return Batch{Kind: kind, Full: true, Upto: revision(epoch, number), FromStore: true, Objects: []bramleytack.Object{object(kind, "w", revision(epoch, number), data...)}}
				}
				table.Apply(config(revision(1, 1), 1))
				table.Apply(list(1, 5, 1, 1, 0))
				table.Apply(list(1, 9, 1, started, 10))
				time.Sleep(time.Second)
				assert.Assert(t, table.Snapshot().Upstreams["w"].ColdUntil.After(time.Now()))
				table.Apply(list(2, 5, 1, 1, 0))
				u := table.Snapshot().Upstreams["w"]
				assert.Check(t, u.ColdUntil.After(time.Now()), "still cold")
				assert.Check(t, u.Started.Equal(time.UnixMilli(int64(started))), "later instance")
			})
		})
	}
}
