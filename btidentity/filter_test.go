package btidentity

import (
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// fixed is a snapshot that does not change.
type fixed struct{ s *bramleytack.Snapshot }

// Snapshot implements bramleytack.Snapshots.
func (f fixed) Snapshot() *bramleytack.Snapshot { return f.s }

// Guards against a daemon that has just started and refuses known callers for
// good, since it has no configuration yet.
func TestNoConfiguration(t *testing.T) {
	for _, test := range []struct {
		revision   bramleytack.Revision
		credential string
		want       bramleytack.Code
	}{
		{0, "key", bramleytack.CodeIsolated},
		{0, "", bramleytack.CodeUnauthenticated},
		{1, "key", bramleytack.CodeUnauthenticated},
	} {
		f := &Filter{Snapshots: fixed{&bramleytack.Snapshot{Revision: test.revision}}}
		err := bramleytack.AsError(f.Handle(t.Context(), &bramleytack.Request{Credential: test.credential}, nil, nil))
		assert.Equal(t, err.Code, test.want)
		assert.Equal(t, err.Outcome, bramleytack.NotRun)
	}
}
