package btrollout

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bramleytack"
)

// simStore holds one order. While it is away it answers nothing; late writes are executed later,
// lost ones without an answer.
type simStore struct {
	f                *simFleet
	order            *bramleytack.Rollout
	copy             *bramleytack.Rollout
	epoch, number    uint64
	duration         time.Duration
	startsAfter      time.Duration
	away, late, lost bool
	writes           int
}

// put changes the order, nil for a removal.
func (s *simStore) put(change func(r *bramleytack.Rollout)) {
	s.number++
	revision, _ := bramleytack.NewRevision(s.epoch, s.number)
	r := bramleytack.Rollout{Created: revision}
	if s.order != nil {
		r = *s.order
	}
	change(&r)
	r.Revision = revision
	s.order = &r
	s.f.publish()
}

// give gives the order.
func (s *simStore) give(target string, d time.Duration) {
	s.duration = d
	s.put(func(r *bramleytack.Rollout) { r.Service, r.Target, r.Duration = service, target, d })
}

// remove takes the order back.
func (s *simStore) remove() {
	s.order = nil
	s.number++
	s.f.publish()
}

// restore brings the store back from its copy.
func (s *simStore) restore() {
	s.epoch++
	if s.copy != nil {
		r := *s.copy
		r.Revision, _ = bramleytack.NewRevision(s.epoch, r.Revision.Number())
		r.Created, _ = bramleytack.NewRevision(s.epoch, r.Created.Number())
		s.order, s.number = &r, r.Revision.Number()
	}
	s.f.publish()
}

// write writes a status under a condition.
func (s *simStore) write(status bramleytack.RolloutStatus, expected bramleytack.Revision) error {
	s.writes++
	if s.order == nil || s.order.Revision != expected {
		return bramleytack.ErrConflict
	}
	s.put(func(r *bramleytack.Rollout) { r.Status = status })
	f := s.f
	f.history = append(f.history, fmt.Sprintf("%v %s %d", f.age(), status.State, status.Stage))
	if status.State.Final() && f.state != status.State {
		f.state, f.doneAt = status.State, f.age()
		if f.state == bramleytack.RolloutComplete {
			for _, w := range f.workers {
				if w.u.Version == oldVersion {
					for _, d := range f.alive() {
						if d.inTouch() {
							f.cuts += d.running[w.u.ID]
						}
					}
					f.crash(w)
					w.down = f.now.Add(time.Hour)
				}
			}
		}
	}
	return nil
}

// simStoreClient is the store as a daemon reaches it.
type simStoreClient struct{ d *simDaemon }

func (c *simStoreClient) PutStatus(_ context.Context, _ bramleytack.Key, data []byte, expected bramleytack.Revision) (bramleytack.Revision, error) {
	s := c.d.f.store
	var status bramleytack.RolloutStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return 0, err
	}
	switch {
	case s.away || c.d.cut:
		return 0, bramleytack.ErrStoreUnknown
	case s.late:
		s.f.after(3*time.Second, func() { _ = s.write(status, expected) })
		return 0, bramleytack.ErrStoreUnknown
	case s.lost:
		_ = s.write(status, expected)
		return 0, bramleytack.ErrStoreUnknown
	}
	return 0, s.write(status, expected)
}

type simCodec struct{}

func (simCodec) Rollout(bramleytack.Object) (*bramleytack.Rollout, error) { return nil, nil }

func (simCodec) RolloutStatus(s bramleytack.RolloutStatus) ([]byte, error) { return json.Marshal(s) }
