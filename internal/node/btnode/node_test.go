package btnode

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/upstream/btconn"
)

// noEngines answers no call.
type noEngines struct{}

func (noEngines) Move(context.Context, netip.AddrPort, netip.AddrPort, string, bool) (bramleytack.EngineCopy, error) {
	return bramleytack.EngineCopy{}, bramleytack.ErrNotFound
}

func (noEngines) Report(context.Context, netip.AddrPort) (bramleytack.EngineReport, error) {
	return bramleytack.EngineReport{}, bramleytack.ErrNotFound
}

// stuck is a log pipe that nobody reads.
type stuck struct {
	once sync.Once
	free chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return len(p), nil
}

func (s *stuck) open() { s.once.Do(func() { close(s.free) }) }

// Guards against a full log pipe that holds requests up, and against lines that
// vanish without a trace.
func TestFullLogPipeBlocksNothing(t *testing.T) {
	pipe := &stuck{free: make(chan struct{})}
	n := New(Settings{Host: "h"}, Adapter{Engines: func(*btconn.Pool) Engines { return noEngines{} }}, pipe)
	defer n.timer.Close()
	done := make(chan struct{})
	go (&writer{n, done}).run()
	<-done
	pipe.open()
	n.logs.Close()
	assert.Assert(t, n.dropped.Load() > 0, "no line was counted as dropped")
}

// writer writes more lines than the log holds.
type writer struct {
	n    *Node
	done chan struct{}
}

func (w *writer) run() {
	for range 3 * logLines {
		w.n.log.Event(btevent.RequestAnswered).Send()
	}
	close(w.done)
}

// Guards against beliefs that survive a suspension unnoticed, and against busy
// processes that are taken for suspended ones.
func TestSuspendClock(t *testing.T) {
	c := newSuspendClock()
	assert.Equal(t, c.suspended(), time.Duration(0))
	c.boot -= 3 * time.Second
	assert.Assert(t, c.suspended() >= 3*time.Second-suspendSlack)
	c.boot -= 3 * time.Second
	c.steady -= 3 * time.Second
	assert.Equal(t, c.suspended(), time.Duration(0))
}

// Guards against callers that are sent to a daemon without a configuration, or
// to one that leaves.
func TestReady(t *testing.T) {
	n := New(Settings{Host: "h"}, Adapter{Engines: func(*btconn.Pool) Engines { return noEngines{} }}, &stuck{free: make(chan struct{})})
	defer n.timer.Close()
	assert.Assert(t, !n.Ready())
}
