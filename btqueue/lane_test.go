package btqueue

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleytack"

	"gotest.tools/v3/assert"
)

// Guards against wakeups that are lost in single interleavings: each case ends
// with a waiter that must have its turn.
func TestWakeups(t *testing.T) {
	type parts struct {
		f *Filter

		// r[0] is running, r[1] is trying, r[2] and r[3] wait.
		r [4]*bramleytack.Request
		w [4]*waiter
	}
	for name, f := range map[string]func(p *parts) (next int){
		"an end during a try that is refused": func(p *parts) int {
			p.f.abandon(p.r[2], p.w[2])
			p.f.abandon(p.r[3], p.w[3])
			p.f.end(p.r[0], p.w[0])
			assert.NilError(t, p.f.refused(p.r[1], p.w[1], nil))
			return 1
		},
		"a client that leaves with its turn": func(p *parts) int {
			p.f.Wake("m", 1)
			p.f.abandon(p.r[2], p.w[2])
			return 3
		},
		"a place for one more": func(p *parts) int {
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
					p.w[i] = &waiter{Item: q.item(p.r[i]), turn: make(chan turn, 1)}
					assert.NilError(t, q.enter(p.r[i], p.w[i]))
					if i == 0 {
						q.Granted(p.r[0])
					}
					if i == 1 {
						p.w[0].lane.blocked = true
					}
					if i < 2 {
						<-p.w[i].turn
					}
					time.Sleep(time.Millisecond)
				}
				i := f(p)
				assert.Equal(t, len(p.w[i].turn), 1, "request %d has no turn", i)
			})
		})
	}
}
