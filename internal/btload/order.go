package btload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btclient"
	"bramleytack/internal/btservice"
)

// orderResult is what became of one order.
type orderResult struct {
	key   string
	sends int
	// failures are the errors of the sendings that failed.
	failures []*bramleytack.Error
	err      error
}

// order places one order and sends it again at another entry while it is not
// known to have run.
func (w *worker) order(ctx context.Context, number int) orderResult {
	o := orderResult{key: fmt.Sprintf("%sorder-%d", w.Prefix, number)}
	for o.sends < orderSends {
		o.sends++
		o.err = w.place(ctx, o.key, number+o.sends)
		if o.err == nil || errors.Is(o.err, ErrWrong) {
			return o
		}
		e := bramleytack.AsError(o.err)
		o.failures = append(o.failures, e)
		if !w.sendAgain(e) || w.Timer.Sleep(ctx, max(e.RetryAfter, orderPause)) != nil {
			return o
		}
	}
	return o
}

// sendAgain says whether another sending may complete the order. A claim
// without outcome never runs again and its answer stays the same.
func (w *worker) sendAgain(e *bramleytack.Error) bool {
	return e.Code != bramleytack.CodeIncomplete && e.Code != bramleytack.CodeKeyReused && e.Code != bramleytack.CodeBadRequest
}

// place sends the order once, at the entry of the given number, and checks the
// answer.
func (w *worker) place(ctx context.Context, key string, entry int) error {
	c := w.client(entry)
	c.Attempts = 1
	c.Pick = func(n int) int { return entry % n }
	body := "order " + key
	resp, err := c.Call(ctx, btclient.Call{
		Service: w.Service, Method: http.MethodPost, Path: "orders", Body: []byte(body), Key: key, Timeout: callTimeout,
	})
	if err != nil {
		return err
	}
	return checkOrder(resp, key, body)
}

// checkOrder says whether an answer belongs to the order and whether the
// service had executed it once.
func checkOrder(r *bramleytack.Response, key, body string) error {
	var a btservice.Answer
	if err := json.Unmarshal(r.Body, &a); err != nil || r.Status != http.StatusOK {
		return errors.Wrapf(ErrWrong, "order %s: status %d with body %.100q", key, r.Status, r.Body)
	}
	if a.IdempotencyKey != key || a.Body != body {
		return errors.Wrapf(ErrWrong, "order %s got the answer to %s", key, a.IdempotencyKey)
	}
	if a.Executions != 1 {
		return errors.Wrapf(ErrWrong, "order %s was executed %d times", key, a.Executions)
	}
	return nil
}
