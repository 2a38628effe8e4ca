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

// noEngines fails all calls.
type noEngines struct{}

func (noEngines) Move(context.Context, netip.AddrPort, netip.AddrPort, string) (bramleytack.EngineCopy, error) {
	return bramleytack.EngineCopy{}, bramleytack.ErrNotFound
}

func (noEngines) Stop(context.Context, netip.AddrPort, netip.AddrPort, string) (bramleytack.EngineCopy, error) {
	return bramleytack.EngineCopy{}, bramleytack.ErrNotFound
}

func (noEngines) Free(context.Context, bramleytack.EngineCopy) error { return bramleytack.ErrNotFound }

func (noEngines) Report(context.Context, netip.AddrPort) (bramleytack.EngineReport, error) {
	return bramleytack.EngineReport{}, bramleytack.ErrNotFound
}

// blockedPipe is a log pipe without a reader until unblock is called.
type blockedPipe struct {
	once sync.Once
	free chan struct{}
}

func (s *blockedPipe) Write(p []byte) (int, error) {
	<-s.free
	return len(p), nil
}

func (s *blockedPipe) unblock() { s.once.Do(func() { close(s.free) }) }

// Guards against a full log pipe that blocks requests, and against lines that are
// dropped without being counted.
func TestFullLogPipeBlocksNothing(t *testing.T) {
	pipe := &blockedPipe{free: make(chan struct{})}
	n := New(Settings{Host: "h"}, Adapter{Engines: func(*btconn.Pool) Engines { return noEngines{} }}, pipe)
	defer n.timer.Close()
	done := make(chan struct{})
	go (&logWriter{n, done}).run()
	<-done
	pipe.unblock()
	n.logs.Close()
	assert.Assert(t, n.dropped.Load() > 0, "no line was counted as dropped")
}

// logWriter writes more lines than the log buffers.
type logWriter struct {
	n    *Node
	done chan struct{}
}

func (w *logWriter) run() {
	for range 3 * logBufferLines {
		w.n.log.Event(btevent.RequestAnswered).Send()
	}
	close(w.done)
}

// Guards against a suspension that is not detected, and against a busy process that
// is taken for a suspended one.
func TestSuspendClock(t *testing.T) {
	c := newSuspendClock()
	assert.Equal(t, c.suspended(), time.Duration(0))
	c.boottime -= 3 * time.Second
	assert.Assert(t, c.suspended() >= 3*time.Second-minSuspension)
	c.boottime -= 3 * time.Second
	c.monotonic -= 3 * time.Second
	assert.Equal(t, c.suspended(), time.Duration(0))
}

// Guards against callers that are sent to a daemon without a configuration.
func TestReady(t *testing.T) {
	n := New(Settings{Host: "h"}, Adapter{Engines: func(*btconn.Pool) Engines { return noEngines{} }}, &blockedPipe{free: make(chan struct{})})
	defer n.timer.Close()
	assert.Assert(t, !n.Ready())
}
