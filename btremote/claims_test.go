package btremote

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btclaim"
)

// claimant begins and finishes claims of shard 0 as one entry.
type claimant struct {
	s     *sim
	entry int
}

func (c claimant) begin(key, request string) (btclaim.Decision, error) {
	ctx, cancel := context.WithTimeout(c.s.t.Context(), 3*time.Second)
	defer cancel()
	m := c.s.members[c.entry]
	claims, err := m.claims.Owner(0)
	assert.NilError(c.s.t, err)
	return claims.Begin(ctx, claimKey(key), bramleytack.Fingerprint{1}, m.host, bramleytack.RequestID(request))
}

func (c claimant) finish(key string, a btclaim.AttemptID, o bramleytack.Outcome, body []byte) error {
	claims, err := c.s.members[c.entry].claims.Owner(0)
	assert.NilError(c.s.t, err)
	return claims.Finish(c.s.t.Context(), claimKey(key), a, o, &bramleytack.Response{Status: 201, Body: body})
}

func claimKey(key string) btclaim.ClaimKey {
	return btclaim.ClaimKey{Workspace: "w", Service: "orders", Key: key}
}

// withClaims runs f in a cell of three members, with an entry that does not own the
// shard and the index of the owner.
func withClaims(t *testing.T, name string, f func(t *testing.T, s *sim, c claimant, owner int)) {
	t.Run(name, func(t *testing.T) {
		withCell(t, 3, 1, nil, func(s *sim) {
			owner := s.owner("claim/0")
			f(s.t, s, claimant{s: s, entry: (owner + 1) % 3}, owner)
		})
	})
}

// assertClaimable checks that a key whose call was rejected as not run can be
// claimed, and that only one request then runs.
func assertClaimable(t *testing.T, c claimant, key string) {
	t.Helper()
	d, err := c.begin(key, "again")
	assert.NilError(t, err)
	assert.Equal(t, d.Kind, btclaim.Run)
	assert.NilError(t, c.finish(key, d.Attempt, bramleytack.Ran, []byte("ok")))
	other := claimant{s: c.s, entry: (c.entry + 1) % 3}
	d, err = other.begin(key, "third")
	assert.NilError(t, err)
	assert.Equal(t, d.Kind, btclaim.Replay)
}

// Guards against a begin without a reply whose claim blocks the key although the
// call was rejected as not run, and against two runs of one key.
func TestLostBegin(t *testing.T) {
	withClaims(t, "the reply is lost after the commit", func(t *testing.T, s *sim, c claimant, owner int) {
		s.network.Block(s.members[owner].addr.Addr(), s.members[c.entry].addr.Addr(), true)
		_, err := c.begin("k", "first")
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
		assert.Assert(t, err != nil)
		s.block(owner, false, false)
		time.Sleep(settleTime)
		assertClaimable(t, c, "k")
	})
	withClaims(t, "the owner cannot commit", func(t *testing.T, s *sim, c claimant, owner int) {
		s.members[owner].store.down.Store(true)
		_, err := c.begin("k", "first")
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
		assert.Assert(t, err != nil)
		s.members[owner].store.down.Store(false)
		time.Sleep(settleTime)
		assertClaimable(t, c, "k")
	})
	withClaims(t, "the owner is cut off from peers and store", func(t *testing.T, s *sim, c claimant, owner int) {
		s.block(owner, true, true)
		s.members[owner].store.down.Store(true)
		_, err := c.begin("k", "first")
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
		assert.Assert(t, err != nil)
		s.block(owner, false, false)
		s.members[owner].store.down.Store(false)
		time.Sleep(settleTime)
		assertClaimable(t, c, "k")
	})
}

// Guards against an outcome that is lost when its owner fails, so that the key runs
// again or its response is not replayed.
func TestLostFinish(t *testing.T) {
	for name, fault := range map[string]func(s *sim, c claimant, owner int){
		"no fault": func(*sim, claimant, int) {},
		"the reply is lost": func(s *sim, c claimant, owner int) {
			s.network.Block(s.members[owner].addr.Addr(), s.members[c.entry].addr.Addr(), true)
		},
		"the owner is cut off from peers": func(s *sim, _ claimant, owner int) { s.block(owner, true, true) },
		"the owner is cut off from the store": func(s *sim, _ claimant, owner int) {
			s.members[owner].store.down.Store(true)
		},
		"the owner stops": func(s *sim, _ claimant, owner int) { s.members[owner].stop() },
		"another member becomes the owner": func(s *sim, _ claimant, owner int) {
			s.members[owner].stop()
			time.Sleep(2 * settleTime)
		},
	} {
		withClaims(t, name, func(t *testing.T, s *sim, c claimant, owner int) {
			d, err := c.begin("k", "first")
			assert.NilError(t, err)
			assert.Equal(t, d.Kind, btclaim.Run)
			fault(s, c, owner)
			assert.NilError(t, c.finish("k", d.Attempt, bramleytack.Ran, []byte("ok")))
			time.Sleep(2 * settleTime)
			other := claimant{s: s, entry: (owner + 2) % 3}
			// An owner without the store may not know the outcome yet.
			d, _ = other.begin("k", "second")
			assert.Assert(t, d.Kind != btclaim.Run)
			s.block(owner, false, false)
			s.members[owner].store.down.Store(false)
			time.Sleep(settleTime)
			d, err = other.begin("k", "third")
			assert.NilError(t, err)
			assert.Equal(t, d.Kind, btclaim.Replay)
			assert.Equal(t, string(d.Response.Body), "ok")
		})
	}
}

// Guards against the loss of an outcome whose response is larger than a frame.
func TestLargeResponses(t *testing.T) {
	withClaims(t, "sizes", func(t *testing.T, _ *sim, c claimant, _ int) {
		for _, n := range []int{0, 4 << 10, 4<<10 + 1, maxRemoteResponseBytes, maxRemoteResponseBytes + 1, 6 << 20} {
			key := fmt.Sprint(n)
			d, err := c.begin(key, "first")
			assert.NilError(t, err)
			assert.NilError(t, c.finish(key, d.Attempt, bramleytack.Ran, bytes.Repeat([]byte("x"), n)))
			d, err = c.begin(key, "second")
			assert.NilError(t, err)
			want := btclaim.Replay
			if n > btclaim.MaxKeptResponseBytes {
				want = btclaim.ResponseNotKept
			}
			assert.Equal(t, d.Kind, want, "%d bytes", n)
			assert.Equal(t, d.Status, 201, "%d bytes", n)
		}
	})
}
