package btwaiting_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/route/btwaiting"
)

// roomTest is a room whose places a test frees.
type roomTest struct {
	room btwaiting.Room
	wg   sync.WaitGroup

	mu     sync.Mutex
	places int
	// unfit is a request that can use no place.
	unfit    string
	admitted []string
	results  map[string]btwaiting.Result
}

func runRoom(t *testing.T, f func(r *roomTest)) {
	synctest.Test(t, func(*testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		r := &roomTest{results: map[string]btwaiting.Result{}}
		r.room.Timer = timer
		f(r)
		r.wg.Wait()
		time.Sleep(time.Second)
	})
}

// wait lets a request wait and returns once it does.
func (r *roomTest) wait(ctx context.Context, name string, t btwaiting.Ticket) {
	if t.Deadline.IsZero() {
		t.Deadline = time.Now().Add(time.Minute)
	}
	r.wg.Go(func() {
		result := r.room.Wait(ctx, t, func() btwaiting.Look { return r.take(name) })
		r.mu.Lock()
		defer r.mu.Unlock()
		r.results[name] = result
	})
	synctest.Wait()
}

func (r *roomTest) take(name string) btwaiting.Look {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.places == 0 {
		return btwaiting.NoPlace
	}
	if r.unfit == name {
		return btwaiting.Unfit
	}
	r.places--
	r.admitted = append(r.admitted, name)
	return btwaiting.Taken
}

// result returns how the wait of a request ended.
func (r *roomTest) result(name string) btwaiting.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results[name]
}

// free frees one place and returns who got it, empty for nobody.
func (r *roomTest) free() string {
	r.mu.Lock()
	before := len(r.admitted)
	r.places = 1
	r.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.places = 0
	if len(r.admitted) == before {
		return ""
	}
	return r.admitted[before]
}

func (r *roomTest) checkOrder(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for range want {
		got = append(got, r.free())
	}
	assert.DeepEqual(t, got, want)
}

// Guards against an order in which callers with a better claim wait behind others.
func TestOrder(t *testing.T) {
	ctx := context.Background()
	in := func(d time.Duration) time.Time { return time.Now().Add(d) }
	t.Run("rank before all else", func(t *testing.T) {
		runRoom(t, func(r *roomTest) {
			r.wait(ctx, "low", btwaiting.Ticket{Rank: 2, Returned: true, Deadline: in(2 * time.Second)})
			r.wait(ctx, "high", btwaiting.Ticket{Rank: 0})
			r.checkOrder(t, "high", "low")
		})
	})
	t.Run("returned callers first", func(t *testing.T) {
		runRoom(t, func(r *roomTest) {
			r.wait(ctx, "new", btwaiting.Ticket{Workspace: "a", Deadline: in(2 * time.Second)})
			r.wait(ctx, "returned", btwaiting.Ticket{Workspace: "b", Returned: true})
			r.checkOrder(t, "returned", "new")
		})
	})
	t.Run("least time left", func(t *testing.T) {
		runRoom(t, func(r *roomTest) {
			r.wait(ctx, "long", btwaiting.Ticket{Workspace: "a"})
			r.wait(ctx, "short", btwaiting.Ticket{Workspace: "b", Deadline: in(5 * time.Second)})
			r.checkOrder(t, "short", "long")
		})
	})
	t.Run("workspace far above its share", func(t *testing.T) {
		runRoom(t, func(r *roomTest) {
			for _, name := range []string{"a1", "a2", "a3"} {
				r.wait(ctx, name, btwaiting.Ticket{Workspace: "a"})
			}
			r.wait(ctx, "b1", btwaiting.Ticket{Workspace: "b"})
			r.wait(ctx, "b2", btwaiting.Ticket{Workspace: "b"})
			r.checkOrder(t, "a1", "b1", "a2", "b2", "a3")
		})
	})
}

// A place is freed while the room looks for one. Guards against a request that gets it before
// those ahead of it, and against a place that waits for a request that cannot use it.
func TestPlaceIsFreedDuringLook(t *testing.T) {
	ctx := context.Background()
	t.Run("freed", func(t *testing.T) {
		runRoom(t, func(r *roomTest) {
			r.wg.Go(func() {
				looks := 0
				r.room.Wait(ctx, btwaiting.Ticket{Deadline: time.Now().Add(time.Minute)}, func() btwaiting.Look {
					if looks++; looks > 1 {
						return r.take("first")
					}
					r.mu.Lock()
					defer r.mu.Unlock()
					r.places = 1
					return btwaiting.NoPlace
				})
			})
			synctest.Wait()
			r.wait(ctx, "second", btwaiting.Ticket{})
			time.Sleep(50 * time.Millisecond)
			r.mu.Lock()
			assert.DeepEqual(t, r.admitted, []string{"first"})
			r.mu.Unlock()
			r.free()
		})
	})
	t.Run("unfit", func(t *testing.T) {
		runRoom(t, func(r *roomTest) {
			r.unfit = "first"
			r.wait(ctx, "first", btwaiting.Ticket{})
			r.wait(ctx, "second", btwaiting.Ticket{})
			r.checkOrder(t, "second")
			r.unfit = ""
			r.checkOrder(t, "first")
		})
	})
}

// Guards against a less urgent rank that gets nothing as long as more urgent requests come.
func TestLowRanksAreNotStarved(t *testing.T) {
	runRoom(t, func(r *roomTest) {
		r.wait(context.Background(), "low", btwaiting.Ticket{Rank: 5})
		var got []string
		for range 10 {
			r.wait(context.Background(), "high", btwaiting.Ticket{Rank: 0})
			r.wait(context.Background(), "high", btwaiting.Ticket{Rank: 0})
			got = append(got, r.free())
		}
		assert.Check(t, slices.Contains(got, "low"), "%v", got)
		for r.room.Len() > 0 {
			r.free()
		}
	})
}

// Guards against requests that wait although they cannot be answered in time, and against
// rejections that do not tell when to return.
func TestLateRequestsAreRejected(t *testing.T) {
	ctx := context.Background()
	runRoom(t, func(r *roomTest) {
		r.room.Interval = func() time.Duration { return 100 * time.Millisecond }
		start := time.Now()
		for _, name := range []bramleytack.WorkspaceID{"a", "b", "c", "d"} {
			r.wait(ctx, string(name), btwaiting.Ticket{Workspace: name})
		}
		r.wait(ctx, "late", btwaiting.Ticket{Workspace: "e", Deadline: start.Add(time.Hour), Rank: 1, Run: time.Hour - 300*time.Millisecond})
		assert.Equal(t, r.result("late").Verdict, btwaiting.Late)
		assert.Check(t, r.result("late").RetryAfter >= 400*time.Millisecond, "%v", r.result("late").RetryAfter)
		r.wait(ctx, "short", btwaiting.Ticket{Workspace: "f", Deadline: start.Add(500 * time.Millisecond), Run: 100 * time.Millisecond})
		time.Sleep(time.Second)
		assert.Equal(t, r.result("short").Verdict, btwaiting.Late)
		assert.Check(t, r.result("short").Waited <= 420*time.Millisecond, "%v", r.result("short").Waited)
		for r.room.Len() > 0 {
			r.free()
		}
	})
}

// Guards against callers that have left and keep their turn, and against a room without bound.
func TestRoomIsBounded(t *testing.T) {
	runRoom(t, func(r *roomTest) {
		r.room.MaxEntries = 2
		ctx, cancel := context.WithCancel(context.Background())
		r.wait(ctx, "left", btwaiting.Ticket{Rank: 1})
		cancel()
		synctest.Wait()
		assert.Equal(t, r.result("left").Verdict, btwaiting.Canceled)
		assert.Equal(t, r.room.Len(), 0)
		for _, name := range []string{"a", "b", "c"} {
			r.wait(context.Background(), name, btwaiting.Ticket{Rank: 1})
		}
		assert.Equal(t, r.result("c").Verdict, btwaiting.Full)
		r.wait(context.Background(), "urgent", btwaiting.Ticket{Rank: 0})
		assert.Equal(t, r.result("b").Verdict, btwaiting.Full)
		r.wait(context.Background(), "large", btwaiting.Ticket{Rank: 1, Bytes: 4 << 20})
		assert.Equal(t, r.result("large").Verdict, btwaiting.Full)
		r.checkOrder(t, "urgent", "a")
	})
}

// frozenTimer is the timer of a process that stands still until Now has jumped.
type frozenTimer struct {
	bramleytack.Timer
	jump atomic.Int64
}

func (f *frozenTimer) Now() time.Time { return f.Timer.Now().Add(time.Duration(f.jump.Load())) }

// A daemon is frozen while calls wait, and places are free when it wakes. Guards against calls
// that are sent although their time has passed, and against those with time left that lose
// their turn.
func TestFrozenDaemonSendsNothingLate(t *testing.T) {
	runRoom(t, func(r *roomTest) {
		frozen := &frozenTimer{Timer: r.room.Timer}
		r.room.Timer = frozen
		in := func(d time.Duration) time.Time { return time.Now().Add(d) }
		r.wait(context.Background(), "short", btwaiting.Ticket{Workspace: "a", Deadline: in(time.Second), Run: 50 * time.Millisecond})
		r.wait(context.Background(), "no time for its run", btwaiting.Ticket{Workspace: "b", Deadline: in(3*time.Second + 20*time.Millisecond), Run: 50 * time.Millisecond})
		r.wait(context.Background(), "long", btwaiting.Ticket{Workspace: "c", Deadline: in(10 * time.Second), Run: 50 * time.Millisecond})
		frozen.jump.Store(int64(3 * time.Second))
		assert.Equal(t, r.free(), "long")
		assert.Equal(t, r.result("short").Verdict, btwaiting.Late)
		assert.Equal(t, r.result("no time for its run").Verdict, btwaiting.Late)
	})
}
