package btreplica

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/bttimer"
)

// orderCodec reads an order's service from the data.
type orderCodec struct{ codec }

func (orderCodec) Rollout(o bramleytack.Object) (*bramleytack.Rollout, error) {
	if len(o.Data) == 0 {
		return nil, errors.New("not an order")
	}
	return &bramleytack.Rollout{Service: string(o.Data), Revision: o.Version}, nil
}

func (orderCodec) RolloutStatus(bramleytack.RolloutStatus) ([]byte, error) { return nil, nil }

// Guards against orders that vanish, and are then taken as removed, while they cannot be decoded, and
// against entries that replace the order of another service.
func TestUnreadableOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		table := NewTable(orderCodec{}, timer, btevent.New(io.Discard, 0, "h"))
		kind := bramleytack.KindRollouts
		apply := func(upto bramleytack.Revision, objects ...bramleytack.Object) map[string]*bramleytack.Rollout {
			table.Apply(Batch{Kind: kind, Full: true, Upto: upto, Objects: objects})
			return table.Snapshot().Rollouts
		}
		table.Apply(config(1, 1))
		assert.Equal(t, apply(2, object(kind, "a", 2, 'a'))["a"].Revision, bramleytack.Revision(2))
		held := apply(3, object(kind, "a", 3), object(kind, "b", 3, 'a'))
		assert.Equal(t, len(held), 1)
		assert.Equal(t, held["a"].Revision, bramleytack.Revision(2))
		table.Apply(config(4, 2))
		assert.Equal(t, len(table.Snapshot().Rollouts), 1, "after a new configuration")
		assert.Equal(t, len(apply(5)), 0, "after the removal")
	})
}
