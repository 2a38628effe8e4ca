package bttimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against alarms that fire early, late, twice or after Stop.
func TestService(t *testing.T) {
	run := func(name string, f func(t *testing.T, s *Service)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(1)
				defer s.Close()
				f(t, s)
			})
		})
	}
	run("alarms fire in the order of their due times", func(t *testing.T, s *Service) {
		start := s.Now()
		late, early := s.After(2*time.Second), s.After(time.Second)
		assertFires(t, early, start.Add(time.Second))
		assertFires(t, late, start.Add(2*time.Second))
		assert.Equal(t, s.Pending(), 0)
	})
	run("a period repeats and jitter only shortens it", func(t *testing.T, s *Service) {
		a := s.Every(time.Second, 100*time.Millisecond)
		last := s.Now()
		for range 20 {
			now := <-a.C()
			d := now.Sub(last)
			assert.Assert(t, d > 900*time.Millisecond && d <= time.Second, "period %v", d)
			last = now
		}
		a.Stop()
		assert.Equal(t, s.Pending(), 0)
	})
	run("a stopped alarm does not fire", func(t *testing.T, s *Service) {
		a := s.After(time.Second)
		a.Stop()
		a.Stop()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(a.C()), 0)
	})
	run("sleep ends with its context", func(t *testing.T, s *Service) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, s.Sleep(ctx, time.Minute), context.DeadlineExceeded)
		assert.NilError(t, s.Sleep(t.Context(), time.Second))
	})
}

func assertFires(t *testing.T, a interface{ C() <-chan time.Time }, want time.Time) {
	t.Helper()
	assert.Equal(t, <-a.C(), want)
}
