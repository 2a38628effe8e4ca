package btqueue

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleytack"

	"gotest.tools/v3/assert"
)

// Guards against wakeups that are lost in single interleavings: each case returns
// the request that must be allowed to try.
func TestWakeups(t *testing.T) {
	type parts struct {
		f *Filter

		// Request 0 is running, request 1 is trying, requests 2 and 3 wait.
		r [4]*bramleytack.Request
		w [4]*waiter
	}
	for name, f := range map[string]func(p *parts) (next int){
		"an end during a try that is rejected": func(p *parts) int {
			p.f.leave(p.r[2], p.w[2])
			p.f.leave(p.r[3], p.w[3])
			p.f.end(p.r[0], p.w[0])
			assert.NilError(t, p.f.requeue(p.r[1], p.w[1], nil))
			return 1
		},
		"a caller that cancels when it may try": func(p *parts) int {
			p.f.Wake("m", 1)
			p.f.leave(p.r[2], p.w[2])
			return 3
		},
		"a grant": func(p *parts) int {
			p.f.Granted(p.r[1])
			return 2
		},
		"a try that fails for another reason": func(p *parts) int {
			p.f.end(p.r[1], p.w[1])
			return 2
		},
		"an end": func(p *parts) int {
			p.f.end(p.r[0], p.w[0])
			return 2
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q, _ := setup(t, 0, nil)
				p := &parts{f: q}
				for i := range p.r {
					p.r[i] = request()
					p.w[i] = &waiter{Item: q.newItem(p.r[i]), signal: make(chan signal, 1)}
					assert.NilError(t, q.admitOrEnqueue(p.r[i], p.w[i]))
					if i == 0 {
						q.Granted(p.r[0])
					}
					if i == 1 {
						p.w[0].queue.blocked = true
					}
					if i < 2 {
						<-p.w[i].signal
					}
					time.Sleep(time.Millisecond)
				}
				i := f(p)
				assert.Equal(t, len(p.w[i].signal), 1, "request %d may not try", i)
			})
		})
	}
}
