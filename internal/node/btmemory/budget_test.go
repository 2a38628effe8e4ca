package btmemory

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/bttimer"
)

// account is an account of a test that knows whether it was ended.
type account struct {
	*Account
	dropped bool
}

func open(b *Budget, s Source) *account {
	a := &account{}
	a.Account = b.Open(s, func() { a.dropped = true })
	return a
}

// Guards against bytes of one source that end the responses of others, and against a source
// whose smallest account pays.
func TestLargestAccountOfLargestSourceEnds(t *testing.T) {
	b := &Budget{Limit: 1100}
	faulty := []*account{open(b, "a"), open(b, "a"), open(b, "a")}
	sound, large := open(b, "a"), open(b, "b")
	assert.Assert(t, sound.Take(10) && large.Take(400))
	for i, a := range faulty {
		assert.Assert(t, a.Take(200+i))
	}
	assert.Equal(t, b.Kept(), int64(1013))
	assert.Assert(t, sound.Take(100), "the largest account has to make room")
	assert.Assert(t, faulty[2].dropped && faulty[2].Ended())
	assert.Equal(t, b.Kept(), int64(911))
	assert.Assert(t, !faulty[0].dropped && !faulty[1].dropped && !sound.dropped && !large.dropped)
	assert.Assert(t, !faulty[2].Take(1), "an ended account takes nothing")
	faulty[2].Release(100)
	faulty[2].Close()
	assert.Equal(t, b.Kept(), int64(911))
}

// Guards against an account that ends others although it asks for more than they hold.
func TestAccountThatAsksForMostEnds(t *testing.T) {
	b := &Budget{Limit: 1000}
	other, greedy := open(b, "a"), open(b, "b")
	assert.Assert(t, other.Take(400) && greedy.Take(300))
	assert.Assert(t, !greedy.Take(400))
	assert.Assert(t, greedy.dropped && !other.dropped)
	assert.Equal(t, b.Kept(), int64(400))
}

// Guards against requests that are rejected because of responses without end, against
// responses without the reserve that requests leave to them, and against a request that ends
// another one.
func TestRequestsAndResponses(t *testing.T) {
	b := &Budget{Limit: 600}
	r, _ := b.OpenRequest()
	flood := open(b, "a")
	assert.Assert(t, flood.Take(600))
	assert.Assert(t, b.FitsRequest(500) && r.Take(500))
	assert.Assert(t, flood.dropped)
	other, _ := b.OpenRequest()
	assert.Assert(t, !b.FitsRequest(1) && !other.Take(1))
	response := open(b, "a")
	assert.Assert(t, response.Take(100))
	assert.Assert(t, !response.Take(1))
	r.Close()
	assert.Equal(t, b.Kept(), int64(0))
}

// Guards against bytes that are counted twice, or not at all, when they pass from their
// source to a caller that does not read.
func TestMoveTo(t *testing.T) {
	b := &Budget{Limit: 800}
	from, to := open(b, "a"), open(b, Callers)
	assert.Assert(t, from.Take(510) && from.MoveTo(to.Account, 500))
	assert.Equal(t, b.Kept(), int64(510))
	assert.Assert(t, open(b, "a").Take(400), "the caller's bytes make room")
	assert.Assert(t, to.dropped && !from.dropped)
	assert.Assert(t, !from.MoveAllTo(to.Account))
	assert.Equal(t, b.Kept(), int64(400))
}

// Random accounts take, move, release and close. Guards against a sum over the limit, and
// against bytes that stay counted.
func TestSumStaysWithinLimit(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := &Budget{Limit: 10_000}
		var all []*Account
		for range 2000 {
			if len(all) == 0 || rng.IntN(10) == 0 {
				if rng.IntN(4) == 0 {
					a, _ := b.OpenRequest()
					all = append(all, a)
				} else {
					all = append(all, b.Open(Source(rune('a'+rng.IntN(5))), func() {}))
				}
			}
			a := all[rng.IntN(len(all))]
			switch rng.IntN(6) {
			case 0:
				a.Close()
			case 1:
				a.Release(int(rng.Int64N(a.bytes + 1)))
			case 2:
				if to := all[rng.IntN(len(all))]; a.source != "" && to.source != "" && to != a {
					a.MoveTo(to, int(rng.Int64N(a.bytes+1)))
				}
			default:
				a.Take(rng.IntN(3000))
			}
			assert.Assert(t, b.Kept() <= b.Limit, "seed %d: %d bytes", seed, b.Kept())
		}
		for _, a := range all {
			a.Close()
		}
		assert.Equal(t, b.Kept(), int64(0), "seed %d", seed)
		assert.Equal(t, b.ending, int64(0), "seed %d", seed)
		assert.Equal(t, len(b.sources), 0, "seed %d", seed)
	}
}

// Guards against an account that takes memory before those that made room have dropped what
// they held, and against one that waits for them without end.
func TestTakeWaitsForEndedAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		b := &Budget{Limit: 100_000, Timer: timer}
		flood, a := open(b, "a"), open(b, "b")
		assert.Assert(t, flood.Take(90_000))
		time.AfterFunc(5*time.Millisecond, flood.Close)
		started := time.Now()
		assert.Assert(t, a.Take(20_000))
		assert.Assert(t, flood.dropped)
		assert.Equal(t, time.Since(started), 5*time.Millisecond)
		stuck := open(b, "a")
		assert.Assert(t, stuck.Take(80_000))
		assert.Assert(t, a.Take(smallBytes))
		assert.Equal(t, time.Since(started), 5*time.Millisecond, "small bytes wait")
		assert.Assert(t, a.Take(20_000))
		assert.Equal(t, time.Since(started), 5*time.Millisecond+endWait)
	})
}

// Guards against requests whose connections and goroutines use up the memory that their data
// leaves, and against requests that are taken although nothing is left for their responses.
func TestOpenRequestsLowerTheLimit(t *testing.T) {
	b := &Budget{Limit: 600, Total: 1000, RequestCost: 100}
	var all []*Account
	for {
		a, ok := b.OpenRequest()
		if !ok {
			assert.Assert(t, !a.Take(1))
			break
		}
		all = append(all, a)
	}
	assert.Equal(t, len(all), 9)
	flood := open(b, "a")
	assert.Assert(t, flood.Take(100) && !flood.Take(1))
	for _, a := range all[3:] {
		a.Close()
	}
	assert.Assert(t, all[0].Take(500) && !all[0].Take(1))
	_, ok := b.OpenRequest()
	assert.Assert(t, ok)
}

// Guards against data that is changed, that exceeds its bound, or whose buffer counts for
// less than it takes.
func TestReadAll(t *testing.T) {
	text := strings.Repeat("0123456789", 5000)
	for _, c := range []struct {
		name        string
		size, limit int
		memory      int64
		err         error
	}{
		{"unknown size", -1, 1 << 20, 1 << 20, nil},
		{"known size", len(text), 1 << 20, 1 << 20, nil},
		{"at the bound", -1, len(text), 1 << 20, nil},
		{"beyond the bound", -1, len(text) - 1, 1 << 20, ErrTooLarge},
		{"no memory", -1, 1 << 20, 40_000, ErrFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
				b := &Budget{Limit: c.memory}
				a := b.Open("a", func() {})
				data, err := ReadAll(r, c.size, c.limit, a)
				if c.err != nil {
					assert.ErrorIs(t, err, c.err)
					continue
				}
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(data, []byte(text)))
				assert.Assert(t, b.Kept() >= int64(len(text)) && b.Kept() <= int64(min(c.limit, 2*len(text))), "%d bytes", b.Kept())
			}
		})
	}
	_, err := ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), -1, 10, nil)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}
