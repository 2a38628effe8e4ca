package btload

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btclient"
	"bramleytack/internal/btengine"
)

const length = 4

// generation returns the tokens that an engine sends for a verifier's prompt.
func generation(v *Verifier, id bramleytack.RequestID) []bramleytack.Token {
	var list []bramleytack.Token
	for i := range length {
		list = append(list, bramleytack.Token{Index: i, Text: btengine.Text(id, v.prompt, i)})
	}
	return list
}

// Guards against a verifier that takes a wrong response for a right one, which
// would make every check that builds on it worthless.
func TestVerifier(t *testing.T) {
	other := generation(NewVerifier("other", length), "b.1")
	repeat := generation(NewVerifier("own", length), "a.2")
	for _, test := range []struct {
		name   string
		change func(list []bramleytack.Token) []bramleytack.Token
		reason string
		wrong  bool
	}{
		{"the whole response", func(l []bramleytack.Token) []bramleytack.Token { return l }, finishStop, false},
		{"a lost token", func(l []bramleytack.Token) []bramleytack.Token { return append(l[:1:1], l[2:]...) }, finishStop, true},
		{"a repeated token", func(l []bramleytack.Token) []bramleytack.Token { return append(l[:2:2], l[1:]...) }, finishStop, true},
		{"a response to another prompt", func([]bramleytack.Token) []bramleytack.Token { return other }, finishStop, true},
		{"a token of another request", func(l []bramleytack.Token) []bramleytack.Token { return append(l[:2:2], other[2:]...) }, finishStop, true},
		{"a token of another attempt", func(l []bramleytack.Token) []bramleytack.Token { return append(l[:2:2], repeat[2:]...) }, finishStop, true},
		{"a response without its end", func(l []bramleytack.Token) []bramleytack.Token { return l[:3] }, finishStop, true},
		{"a canceled generation", func(l []bramleytack.Token) []bramleytack.Token { return l }, "canceled", true},
		{"no announcement", func(l []bramleytack.Token) []bramleytack.Token { l[0].Text = "0-x"; return l }, finishStop, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := NewVerifier("own", length)
			var err error
			for _, token := range test.change(generation(v, "a.1")) {
				err = errors.CombineErrors(err, v.Token(token))
			}
			err = errors.CombineErrors(err, v.Complete(btclient.Result{FinishReason: test.reason}))
			assert.Equal(t, errors.Is(err, ErrWrong), test.wrong, "%v", err)
		})
	}
}

// Guards against a report that passes a wrong or lost request.
func TestReportErr(t *testing.T) {
	incomplete := bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "engine died")
	for _, test := range []struct {
		name string
		err  error
		bad  bool
	}{
		{"complete", nil, false},
		{"typed error", incomplete, false},
		{"wrong", errors.Wrap(ErrWrong, "token"), true},
		{"broken connection", errors.New("reset"), true},
		{"internal error", bramleytack.NewError(bramleytack.CodeInternal, bramleytack.Unknown, "status 500"), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newReport(&Load{Streams: 1})
			r.addStream(streamResult{name: "s", err: test.err})
			assert.Equal(t, r.Err() != nil, test.bad)
			assert.Equal(t, r.AllComplete() != nil, test.err != nil)
		})
	}
}
