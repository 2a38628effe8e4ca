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
	errCut  = errors.New("cut")
	errGone = errors.New("gone")
)

// step is one event of a scripted stream.
type step struct {
	index int
	done  bool
	err   error
	// other makes the event belong to another generation.
	other bool
	// reason is the finish reason.
	reason string
}

// engine answers each resumption with the next script.
type engine struct {
	bramleytack.Engine
	scripts  [][]step
	from     []int
	err      error
	canceled int
}

func (e *engine) Resume(_ context.Context, _ bramleytack.StreamID, from int) (bramleytack.Stream, error) {
	e.from = append(e.from, from)
	if e.err != nil {
		return nil, e.err
	}
	s := &stream{steps: e.scripts[0]}
	e.scripts = e.scripts[1:]
	return s, nil
}

func (e *engine) Cancel(context.Context, bramleytack.StreamID) error {
	e.canceled++
	return nil
}

type stream struct{ steps []step }

func (s *stream) Next(context.Context) (bramleytack.StreamEvent, error) {
	if len(s.steps) == 0 {
		return bramleytack.StreamEvent{}, errCut
	}
	st := s.steps[0]
	s.steps = s.steps[1:]
	ev := bramleytack.StreamEvent{Stream: "g1", Done: st.done, Token: bramleytack.Token{Index: st.index, Text: fmt.Sprint(st.index)}}
	if st.done {
		ev.Completion.Tokens, ev.Completion.FinishReason = st.index, st.reason
	}
	if st.other {
		ev.Stream = "g2"
	}
	return ev, st.err
}

func (s *stream) Close() error { return nil }

// caller records what it was sent.
type caller struct {
	bramleytack.ResponseWriter
	opened, closed int
	got            []int
}

func (c *caller) Open(bramleytack.Opening) error      { c.opened++; return nil }
func (c *caller) Close(bramleytack.Completion) error  { c.closed++; return nil }
func (c *caller) Token(t bramleytack.Token) error     { c.got = append(c.got, t.Index); return nil }
func (c *caller) Respond(*bramleytack.Response) error { return nil }

// tokens returns the events of the tokens from first up to before end.
func tokens(first, end int) []step {
	var s []step
	for i := first; i < end; i++ {
		s = append(s, step{index: i})
	}
	return s
}

// Guards against tokens that are lost, repeated, out of order or from another
// generation after any fault of the engine's stream.
func TestRun(t *testing.T) {
	const n = 5
	end := step{index: n, done: true}
	cases := []struct {
		name    string
		first   []step
		resumed [][]step
		gone    bool
		want    int
		code    bramleytack.Code
	}{
		{name: "whole stream", first: append(tokens(0, n), end), want: n},
		{name: "duplicated token", first: append(append(tokens(0, 3), tokens(2, n)...), end), want: n},
		{name: "skipped token", first: append(tokens(0, 2), tokens(3, n)...), resumed: [][]step{append(tokens(2, n), end)}, want: n},
		{name: "end before the last token", first: append(tokens(0, 3), end), resumed: [][]step{append(tokens(3, n), end)}, want: n},
		{name: "resumption that starts too early", first: tokens(0, 3), resumed: [][]step{append(tokens(0, n), end)}, want: n},
		{name: "two cuts", first: tokens(0, 2), resumed: [][]step{tokens(2, 3), append(tokens(3, n), end)}, want: n},
		{name: "another generation", first: append(tokens(0, 2), step{index: 2, other: true}), want: 2, code: bramleytack.CodeIncomplete},
		{name: "canceled elsewhere", first: append(tokens(0, 2), step{index: 2, done: true, reason: "canceled"}), want: 2, code: bramleytack.CodeCanceled},
		{name: "engine lost the generation", first: tokens(0, 2), gone: true, want: 2, code: bramleytack.CodeIncomplete},
	}
	for cut := range n + 1 {
		cases = append(cases, cases[0])
		c := &cases[len(cases)-1]
		c.name = fmt.Sprintf("cut after token %d", cut)
		c.first = tokens(0, cut)
		c.resumed = [][]step{append(tokens(cut, n), end)}
		if cut == 0 {
			// Nothing is known of the generation yet, so another attempt follows.
			c.want, c.code = 0, bramleytack.CodeInternal
		}
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engine{scripts: c.resumed}
				if c.gone {
					e.err = errGone
				}
				w := &caller{}
				err := run(t, e, &stream{steps: c.first}, w)
				assertAnswer(t, w, c.want, c.code == "")
				if c.code != "" {
					assert.Equal(t, bramleytack.AsError(err).Code, c.code)
					return
				}
				assert.NilError(t, err)
			})
		})
	}
}

// Guards against a generation that goes on without a caller.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		err := run(t, e, &stream{steps: tokens(0, 3)}, goneCaller{&caller{}})
		assert.ErrorIs(t, err, errCut)
		assert.Equal(t, e.canceled, 1)
		assert.Equal(t, len(e.from), 0, "resumptions")
	})
}

// Guards against a relay that waits for a dead engine without an end.
func TestResumeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{err: errCut}
		err := run(t, e, &stream{steps: tokens(0, 3)}, &caller{})
		assert.Equal(t, bramleytack.AsError(err).Code, bramleytack.CodeIncomplete)
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.Ran)
		assert.Assert(t, len(e.from) > 2, "resumptions: %d", len(e.from))
	})
}

type goneCaller struct{ *caller }

func (goneCaller) Token(bramleytack.Token) error { return errCut }

func run(t *testing.T, e *engine, s bramleytack.Stream, w bramleytack.ResponseWriter) error {
	t.Helper()
	timers := bttimer.New(1)
	defer timers.Close()
	r := Relay{
		Engine:           e,
		Timer:            timers,
		IsGenerationLost: func(err error) bool { return errors.Is(err, errGone) },
		NewOpening:       func(bramleytack.StreamID) (bramleytack.Opening, error) { return bramleytack.Opening{}, nil },
	}
	return r.Run(t.Context(), s, w)
}

// assertAnswer checks that the tokens 0 to n-1 arrived once and in order.
func assertAnswer(t *testing.T, w *caller, n int, closed bool) {
	t.Helper()
	assert.Equal(t, len(w.got), n)
	for i, index := range w.got {
		assert.Equal(t, index, i)
	}
	assert.Equal(t, w.closed == 1, closed, "closed")
	assert.Assert(t, w.opened <= 1, "opened %d times", w.opened)
}
