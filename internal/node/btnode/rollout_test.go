package btnode

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack/btevent"
	"bramleytack/internal/route/btrollout"
)

// Guards against a daemon that does not log that an order has ended for it, or logs it again and again.
func TestEndOfRolloutIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	e := rolloutEnds{log: btevent.New(&log, 0, "h")}
	running := btrollout.State{Service: "shop", Target: "v2", Stage: "trial", Sent: 300, Exposed: 40, Answers: 39, Bad: 7}
	back, done := running, running
	back.RolledBack, done.Complete = true, true
	again := back
	again.Target = "v3"
	for _, c := range []struct {
		name  string
		state []btrollout.State
		want  string
	}{
		{"running", []btrollout.State{running}, ""},
		{"rolled back", []btrollout.State{back}, `"target":"v2","result":"rolledBack","stage":"trial","age":0,"sent":300,"exposed":40,"answers":39,"bad":7`},
		{"still so", []btrollout.State{back}, ""},
		{"another order", []btrollout.State{again}, `"target":"v3","result":"rolledBack"`},
		{"removed", nil, ""},
		{"complete", []btrollout.State{done}, `"target":"v2","result":"complete"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			log.Reset()
			e.note(c.state)
			assert.Equal(t, log.Len() > 0, c.want != "", log.String())
			assert.Check(t, strings.Contains(log.String(), c.want), log.String())
			assert.Check(t, strings.Count(log.String(), btevent.RolloutEnded.Text) <= 1, log.String())
		})
	}
}

// Guards against stages whose numbers differ from those in the status of an order.
func TestNumbersOfStages(t *testing.T) {
	for s := btrollout.Waiting; s <= btrollout.Full; s++ {
		assert.Equal(t, stageNumber(s.String()), float64(s))
	}
}
