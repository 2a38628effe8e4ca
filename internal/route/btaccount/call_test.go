package btaccount

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/route/btpace"
)

const (
	callTarget = 150 * time.Millisecond
	callRun    = 30 * time.Millisecond
	callPlaces = 6
)

// callSim is a plain service of three upstreams that are disturbed at times.
type callSim struct {
	table    *Table
	fleet    *bramleytack.Snapshot
	rand     *rand.Rand
	noise    float64
	noisy    []bool
	free     [][]time.Duration
	answers  []simCall
	late     int
	answered int
	total    time.Duration
}

// simCall is a call that is answered at a time.
type simCall struct {
	upstream *bramleytack.Upstream
	lease    *Lease
	sent     time.Duration
	answered time.Duration
	pace     float64
}

func newCallSim(timer *bttimer.Service, paced bool, noise float64) *callSim {
	table := newTable(timer)
	if paced {
		table.Paces = &btpace.Table{Timer: timer}
	}
	s := fleet(3)
	s.Services[service].Engine = nil
	m := &callSim{table: table, fleet: s, rand: rand.New(rand.NewPCG(3, 4)), noise: noise, noisy: make([]bool, 3)}
	for _, u := range s.ByService[service] {
		u.FailureDomain, u.WarmLimit = "d0", callPlaces
		m.free = append(m.free, make([]time.Duration, callPlaces))
	}
	return m
}

// send sends a call to the chosen upstream, where it waits for the first free place.
func (m *callSim) send(now time.Duration) {
	list := m.fleet.ByService[service]
	u, _ := m.table.Pick(m.fleet, m.table.Eligible(m.fleet, service, nil), Need{})
	at := 0
	for i := range list {
		if list[i] == u {
			at = i
		}
	}
	place := 0
	for i, free := range m.free[at] {
		if free < m.free[at][place] {
			place = i
		}
	}
	pace := 1.0
	if m.noisy[at] {
		pace = m.noise
	}
	begin := max(now, m.free[at][place])
	end := begin + time.Duration(pace*(0.5+m.rand.Float64())*float64(callRun))
	m.free[at][place] = end
	m.answers = append(m.answers, simCall{u, m.table.Begin(u.ID, Need{}), now, end, pace})
}

// play plays calls at a rate and returns the share of late ones and the mean time to the answer.
func (m *callSim) play(d time.Duration, perSecond float64) (late float64, mean time.Duration) {
	for now := time.Duration(0); now < d; now += time.Millisecond {
		if now%(600*time.Millisecond) == 0 {
			for i := range m.noisy {
				m.noisy[i] = m.rand.Float64() < 0.15
			}
		}
		kept := m.answers[:0]
		for _, c := range m.answers {
			if now < c.answered {
				kept = append(kept, c)
				continue
			}
			took := c.answered - c.sent
			m.table.Paces.Observe(c.upstream, c.pace)
			if m.table.Paces != nil {
				m.table.ObserveRun(c.upstream, took)
			}
			c.lease.End(Served)
			m.answered++
			m.total += took
			if took > callTarget {
				m.late++
			}
		}
		m.answers = kept
		if m.rand.Float64() < perSecond/1000 {
			m.send(now)
		}
		time.Sleep(time.Millisecond)
	}
	return float64(m.late) / float64(m.answered), m.total / time.Duration(m.answered)
}

// Load: calls at seven tenths of what three plain upstreams serve, while neighbours' noise slows
// each of them for half a second at a time. Guards against calls that wait at a slowed upstream while others have
// free places, against the choice by count alone in the same run.
func TestCallsAvoidDisturbedUpstreams(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		late, mean := newCallSim(timer, true, 2.5).play(60*time.Second, 400)
		before, meanBefore := newCallSim(timer, false, 2.5).play(60*time.Second, 400)
		t.Logf("late %.4f, mean %v; before %.4f, %v", late, mean, before, meanBefore)
		assert.Assert(t, late < before/2)
		assert.Assert(t, mean < meanBefore)
	})
}

// Load: the same without noise. Guards against any change where all upstreams are alike.
func TestCallsOfEqualUpstreams(t *testing.T) {
	withFakeTime(t, func(t *testing.T, timer *bttimer.Service) {
		m := newCallSim(timer, true, 1)
		m.play(2*time.Second, 200)
		m.table.mu.Lock()
		defer m.table.mu.Unlock()
		assert.Equal(t, m.table.callRun(m.fleet, m.fleet.ByService[service]), 0.0)
		assert.Assert(t, m.table.runs[service] > 0)
	})
}
