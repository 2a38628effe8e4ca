package btentry_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"bramleytack/btevent"
	"bramleytack/internal/standin/btworker"
)

// lateLines returns the log lines about late answers.
func lateLines(t *testing.T, log *bytes.Buffer) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for line := range strings.Lines(log.String()) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		if fields["text"] == btevent.AnswerLate.Text {
			lines = append(lines, fields)
		}
	}
	return lines
}

// Guards against late answers from whose id no cause is found, and against lines for those in time.
func TestLateAnswersAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		target string
		config btworker.Config
		stall  bool
		cause  string
	}{
		"call in time":   {"/check/a", btworker.Config{Work: 20 * time.Millisecond}, false, ""},
		"slow call":      {"/check/a", btworker.Config{Work: 170 * time.Millisecond}, false, "upstream"},
		"stream in time": {"/guide/a", btworker.Config{Events: streamEvents, Gap: eventGap}, false, ""},
		"slow start":     {"/guide/a", btworker.Config{Events: streamEvents, Gap: eventGap, Read: 2 * time.Second}, false, "upstream"},
		"paused stream":  {"/guide/a", btworker.Config{Events: streamEvents, Gap: eventGap}, true, "pace"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				var log bytes.Buffer
				h.handler.Log = btevent.New(&log, zerolog.InfoLevel, "h")
				service := engineService
				if c.config.Events == 0 {
					service = callService
				}
				w := h.start("u", service, c.config)
				after(500*time.Millisecond, func() { w.Stall(c.stall) })
				after(800*time.Millisecond, func() { w.Stall(false) })
				got := h.generate(c.target)
				assert.Equal(t, got.status, http.StatusOK)
				lines := lateLines(t, &log)
				if c.cause == "" {
					assert.Equal(t, len(lines), 0)
					return
				}
				assert.Equal(t, len(lines), 1)
				assert.Equal(t, lines[0]["request"], got.id)
				assert.Equal(t, lines[0]["cause"], c.cause)
				assert.Equal(t, lines[0]["upstream"] == "u", c.cause == "pace" || service == callService)
			})
		})
	}
}
