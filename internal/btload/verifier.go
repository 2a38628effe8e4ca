package btload

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btclient"
	"bramleytack/internal/btengine"
)

// ErrWrong marks a response that differs from what the engine produced.
var ErrWrong = errors.New("btload: response is wrong")

// finishStop is the reason of a generation that reached its length.
const finishStop = "stop"

// Verifier checks one generation. It is used once.
type Verifier struct {
	// text is what the caller sends, prompt what the engine receives.
	text   string
	prompt string
	tokens int
	id     bramleytack.RequestID
	next   int
}

// NewVerifier returns a verifier of a generation of a number of tokens. The
// name makes the prompt differ from those of other generations.
func NewVerifier(name string, tokens int) *Verifier {
	text := fmt.Sprintf("%s [[tokens=%d]] [[announce]]", name, tokens)
	return &Verifier{text: text, prompt: "user: " + text + "\n", tokens: tokens}
}

// Text returns the message to send.
func (v *Verifier) Text() string { return v.text }

// Tokens returns the number of tokens seen.
func (v *Verifier) Tokens() int { return v.next }

// Token checks the next token.
func (v *Verifier) Token(t bramleytack.Token) error {
	if t.Index != v.next {
		return errors.Wrapf(ErrWrong, "token %d in the place of token %d", t.Index, v.next)
	}
	if t.Index == 0 {
		id, _, ok := strings.Cut(t.Text, "/")
		if !ok {
			return errors.Wrapf(ErrWrong, "first token %q announces no request", t.Text)
		}
		v.id = bramleytack.RequestID(id)
	}
	if want := btengine.Text(v.id, v.prompt, t.Index); t.Text != want {
		return errors.Wrapf(ErrWrong, "token %d of request %s is %q instead of %q", t.Index, v.id, t.Text, want)
	}
	v.next++
	return nil
}

// Complete checks the end of a generation.
func (v *Verifier) Complete(r btclient.Result) error {
	if v.next != v.tokens || r.FinishReason != finishStop {
		return errors.Wrapf(ErrWrong, "request %s ended after %d of %d tokens with reason %q", v.id, v.next, v.tokens, r.FinishReason)
	}
	return nil
}
