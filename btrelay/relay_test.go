package btrelay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
)

var (
	errBroken = errors.New("cut")
	errLost   = errors.New("gone")
)

// scriptedEvent is one event of a scripted stream.
type scriptedEvent struct {
	index int
	done  bool
	err   error
	// otherGeneration gives the event the id of another generation.
	otherGeneration bool
	finishReason    string
}

// engine returns the next script for each resumption.
type engine struct {
	bramleytack.Engine
	scripts     [][]scriptedEvent
	resumedFrom []int
	err         error
	canceled    int
}

func (e *engine) Resume(_ context.Context, _ bramleytack.StreamID, from int) (bramleytack.Stream, error) {
	e.resumedFrom = append(e.resumedFrom, from)
	if e.err != nil {
		return nil, e.err
	}
	s := &stream{script: e.scripts[0]}
	e.scripts = e.scripts[1:]
	return s, nil
}

func (e *engine) Cancel(context.Context, bramleytack.StreamID) error {
	e.canceled++
	return nil
}

type stream struct{ script []scriptedEvent }

func (s *stream) Next(context.Context) (bramleytack.StreamEvent, error) {
	if len(s.script) == 0 {
		return bramleytack.StreamEvent{}, errBroken
	}
	next := s.script[0]
	s.script = s.script[1:]
	ev := bramleytack.StreamEvent{Stream: "g1", Done: next.done, Token: bramleytack.Token{Index: next.index, Text: fmt.Sprint(next.index)}}
	if next.done {
		ev.Completion.Tokens, ev.Completion.FinishReason = next.index, next.finishReason
	}
	if next.otherGeneration {
		ev.Stream = "g2"
	}
	return ev, next.err
}

func (s *stream) Close() error { return nil }

// caller records the events that it receives.
type caller struct {
	bramleytack.ResponseWriter
	opened, closed int
	indices        []int
}

func (c *caller) Open(bramleytack.Opening) error      { c.opened++; return nil }
func (c *caller) Close(bramleytack.Completion) error  { c.closed++; return nil }
func (c *caller) Token(t bramleytack.Token) error     { c.indices = append(c.indices, t.Index); return nil }
func (c *caller) Respond(*bramleytack.Response) error { return nil }

// tokens returns the events of the tokens from first to end-1.
func tokens(first, end int) []scriptedEvent {
	var s []scriptedEvent
	for i := first; i < end; i++ {
		s = append(s, scriptedEvent{index: i})
	}
	return s
}

// Guards against tokens that are lost, repeated, out of order or of another
// generation after a fault of the engine's stream, such as a connection that
// breaks after any token.
func TestRun(t *testing.T) {
	const n = 5
	end := scriptedEvent{index: n, done: true}
	cases := []struct {
		name    string
		first   []scriptedEvent
		resumed [][]scriptedEvent
		lost    bool
		want    int
		code    bramleytack.Code
	}{
		{name: "whole stream", first: append(tokens(0, n), end), want: n},
		{name: "duplicated token", first: append(append(tokens(0, 3), tokens(2, n)...), end), want: n},
		{name: "skipped token", first: append(tokens(0, 2), tokens(3, n)...), resumed: [][]scriptedEvent{append(tokens(2, n), end)}, want: n},
		{name: "end before the last token", first: append(tokens(0, 3), end), resumed: [][]scriptedEvent{append(tokens(3, n), end)}, want: n},
		{name: "resumed stream starts too early", first: tokens(0, 3), resumed: [][]scriptedEvent{append(tokens(0, n), end)}, want: n},
		{name: "two broken streams", first: tokens(0, 2), resumed: [][]scriptedEvent{tokens(2, 3), append(tokens(3, n), end)}, want: n},
		{name: "another generation", first: append(tokens(0, 2), scriptedEvent{index: 2, otherGeneration: true}), want: 2, code: bramleytack.CodeIncomplete},
		{name: "canceled by another request", first: append(tokens(0, 2), scriptedEvent{index: 2, done: true, finishReason: "canceled"}), want: 2, code: bramleytack.CodeCanceled},
		{name: "engine lost the generation", first: tokens(0, 2), lost: true, want: 2, code: bramleytack.CodeIncomplete},
	}
	for received := range n + 1 {
		cases = append(cases, cases[0])
		c := &cases[len(cases)-1]
		c.name = fmt.Sprintf("broken after %d tokens", received)
		c.first = tokens(0, received)
		c.resumed = [][]scriptedEvent{append(tokens(received, n), end)}
		if received == 0 {
			// The generation's id is not known yet, so it cannot be resumed.
			c.want, c.code = 0, bramleytack.CodeInternal
		}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engine{scripts: c.resumed}
				if c.lost {
					e.err = errLost
				}
				w := &caller{}
				err := run(t, e, &stream{script: c.first}, w)
				assertResponse(t, w, c.want, c.code == "")
				if c.code != "" {
					assert.Equal(t, bramleytack.AsError(err).Code, c.code)
					return
				}
				assert.NilError(t, err)
			})
		})
	}
}

// Guards against a generation that continues at the engine after its caller has
// disconnected.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		err := run(t, e, &stream{script: tokens(0, 3)}, disconnectedCaller{&caller{}})
		assert.ErrorIs(t, err, errBroken)
		assert.Equal(t, e.canceled, 1)
		assert.Equal(t, len(e.resumedFrom), 0, "resumptions")
	})
}

// Guards against a relay that never stops trying to resume at a dead engine.
func TestResumeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{err: errBroken}
		err := run(t, e, &stream{script: tokens(0, 3)}, &caller{})
		assert.Equal(t, bramleytack.AsError(err).Code, bramleytack.CodeIncomplete)
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.Ran)
		assert.Assert(t, len(e.resumedFrom) > 2, "resumptions: %d", len(e.resumedFrom))
	})
}

type disconnectedCaller struct{ *caller }

func (disconnectedCaller) Token(bramleytack.Token) error { return errBroken }

func run(t *testing.T, e *engine, s bramleytack.Stream, w bramleytack.ResponseWriter) error {
	t.Helper()
	timers := bttimer.New(1)
	defer timers.Close()
	r := Relay{
		Engine:           e,
		Timer:            timers,
		IsGenerationLost: func(err error) bool { return errors.Is(err, errLost) },
		NewOpening:       func(bramleytack.StreamID) (bramleytack.Opening, error) { return bramleytack.Opening{}, nil },
	}
	return r.Run(t.Context(), s, w)
}

// assertResponse checks that the tokens 0 to n-1 arrived once and in order, and
// whether the response was closed.
func assertResponse(t *testing.T, w *caller, n int, closed bool) {
	t.Helper()
	assert.Equal(t, len(w.indices), n)
	for i, index := range w.indices {
		assert.Equal(t, index, i)
	}
	assert.Equal(t, w.closed == 1, closed, "closed")
	assert.Assert(t, w.opened <= 1, "opened %d times", w.opened)
}
