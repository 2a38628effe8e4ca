package btmemory

import (
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/bttimer"
)

func openCaller(b *Budget) *account {
	a := &account{}
	a.Account = b.OpenCaller(func() { a.dropped = true })
	return a
}

// Guards against connections that are not counted, or stay counted, and against a head that is
// held although requests have no memory left, or that is still ended then.
func TestHeadsAndConnections(t *testing.T) {
	b := &Budget{Limit: 600, Total: 1000, RequestCost: 100, ConnCost: 10}
	for range 50 {
		assert.Assert(t, b.OpenConn(false))
	}
	head := openCaller(b)
	assert.Assert(t, head.Take(400) && !open(b, "other").Take(450))
	assert.Assert(t, !head.FitsHeld() && !head.Hold(), "400 of 400 leave no reserve")
	assert.Equal(t, b.Kept(), int64(400))
	assert.Assert(t, !head.Take(200) && head.dropped)
	assert.Assert(t, !head.FitsHeld() && !head.Hold() && !head.Take(1), "an ended request")
	for range 50 {
		b.CloseConn()
	}
	head = openCaller(b)
	assert.Assert(t, head.Take(400) && head.FitsHeld() && head.Hold())
	assert.Equal(t, b.Kept(), int64(400))
	flood := open(b, "a")
	assert.Assert(t, flood.Take(200) && !flood.Take(1))
	assert.Assert(t, !openCaller(b).Take(101), "100 bytes are left beside the reserve")
	assert.Assert(t, !head.dropped)
	head.Finish(300)
	assert.Equal(t, b.Kept(), int64(300), "the head counts until it is released")
	head.Release(300)
	assert.Assert(t, head.Take(50), "the account counts the next head")
	head.Close()
	assert.Equal(t, b.Kept(), int64(0))
	assert.Assert(t, !head.Hold() && !head.FitsHeld() && !head.Take(1), "the connection has closed")
	assert.Equal(t, b.overhead(), int64(0))
}

// Callers open connections and requests at random, and take and hold as much as they can. Guards
// against responses within their reserve that are ended for them, or that find no memory: 1,000
// callers ended all running streams.
func TestCallersLeaveReserveToResponses(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 2))
		b := &Budget{Limit: 100_000, Total: 200_000, RequestCost: 3000, ConnCost: 500}
		stream := open(b, "upstream")
		var callers []*account
		conns := 0
		for range 3000 {
			switch n := len(callers); {
			case n == 0 || rng.IntN(4) == 0:
				if b.OpenConn(rng.IntN(2) == 0) {
					conns++
				}
				callers = append(callers, openCaller(b))
			case rng.IntN(8) == 0:
				callers[rng.IntN(n)].Close()
			case rng.IntN(8) == 0:
				callers[rng.IntN(n)].Finish(rng.IntN(2000))
			case rng.IntN(4) == 0:
				callers[rng.IntN(n)].Hold()
			default:
				callers[rng.IntN(n)].Take(rng.IntN(20_000))
			}
			n := rng.IntN(int(b.reserve()) + 1)
			assert.Assert(t, stream.Take(n), "seed %d: %d bytes", seed, n)
			assert.Assert(t, b.Kept() <= b.limit(), "seed %d: %d bytes", seed, b.Kept())
			stream.Release(n)
		}
		assert.Assert(t, conns > 0)
		for range conns {
			b.CloseConn()
		}
		for _, c := range callers {
			c.Close()
		}
		stream.Close()
		assert.Equal(t, b.Kept(), int64(0), "seed %d", seed)
		assert.Equal(t, b.overhead(), int64(0), "seed %d", seed)
		assert.Equal(t, len(b.arriving.accounts), 0, "seed %d", seed)
	}
}

// Guards against a small request that finds no memory beside large ones that are held and
// connections, and against large ones that are refused in calm.
func TestSmallRequestsHaveSparePart(t *testing.T) {
	const mb = 1 << 20
	b := &Budget{Limit: 16 * mb, Total: 30 * mb, RequestCost: 25 << 10, ConnCost: 10 << 10}
	held := 0
	for range 1000 {
		if a := openCaller(b); a.Take(40<<10) && a.Hold() {
			held++
		}
		b.OpenConn(false)
	}
	assert.Assert(t, held > 150, "%d large requests", held)
	assert.Assert(t, !b.FitsRequest(500<<10) && b.FitsRequest(maxSmall))
	small := 0
	for range 1000 {
		if a := openCaller(b); a.Take(2<<10) && a.Hold() {
			small++
		}
	}
	assert.Assert(t, small >= 100, "%d small requests", small)
}

// Guards against a request that is ended for a larger one, against one that is ended before one
// that began earlier, and against equally large ones that end each other before they can arrive.
func TestLargestRequestMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		b := &Budget{Limit: 120_000, Timer: timer}
		small, first, second := openCaller(b), openCaller(b), openCaller(b)
		assert.Assert(t, small.Take(2000) && first.Take(40_000) && second.Take(45_000))
		assert.Assert(t, !openCaller(b).Take(50_000), "equally large ones arrive")
		time.Sleep(minArrival)
		larger := openCaller(b)
		assert.Assert(t, !larger.Take(90_000) && larger.dropped)
		assert.Assert(t, openCaller(b).Take(50_000) && first.dropped && !second.dropped && !small.dropped)
		other := openCaller(b)
		assert.Assert(t, other.Take(3000) && other.Take(3000) && second.dropped, "a smaller one needs not wait")
		assert.Assert(t, !small.dropped)
	})
}

// Requests of ordinary size wait for a part of their bodies. Guards against one that is complete and
// finds no memory beside them, and against more of them than the memory has room for.
func TestCompleteRequestsComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		b := &Budget{Limit: 400_000, Total: 500_000, RequestCost: 25_000, ConnCost: 100, Timer: timer}
		for range 60 {
			assert.Assert(t, openCaller(b).Take(2400) && b.OpenConn(false))
		}
		var complete []*account
		for range 14 {
			a := openCaller(b)
			assert.Assert(t, a.Take(2400))
			complete = append(complete, a)
		}
		for i, a := range complete {
			assert.Assert(t, a.FitsHeld() && a.Hold(), "request %d", i)
		}
		time.Sleep(minArrival)
		for range 100 {
			if a := openCaller(b); a.Take(2400) {
				a.Hold()
			}
		}
		assert.Assert(t, b.open < 20 && b.overhead()+b.Kept() <= b.Total-b.reserve())
	})
}

// Guards against a request that is ended as one that began long ago although only its connection
// did, or its handler has just returned.
func TestArrivalBeginsWithFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		b := &Budget{Limit: 1200, Timer: timer}
		kept, other := openCaller(b), openCaller(b)
		time.Sleep(time.Minute)
		assert.Assert(t, other.Take(500) && kept.Take(400))
		assert.Assert(t, kept.Hold())
		time.Sleep(time.Minute)
		kept.Finish(400)
		assert.Assert(t, openCaller(b).Take(500) && other.dropped && !kept.dropped)
	})
}

// Guards against a body that is read before it finds memory, or whose end is not checked.
func TestReadSized(t *testing.T) {
	text := strings.Repeat("b", 5000)
	b := &Budget{Limit: 12_000}
	a := b.Open("a", func() {})
	data, err := ReadSized(iotest.OneByteReader(strings.NewReader(text)), len(text), a)
	assert.Assert(t, err == nil && string(data) == text && b.Kept() == int64(len(text)))
	_, err = ReadSized(strings.NewReader(text), len(text)+1, a)
	assert.ErrorContains(t, err, "EOF")
	a.Close()
	a = b.Open("a", func() {})
	_, err = ReadSized(strings.NewReader(text), len(text)-1, a)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = ReadSized(iotest.ErrReader(nil), 20_000, a)
	assert.ErrorIs(t, err, ErrFull)
}
