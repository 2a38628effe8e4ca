package btentry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against values of Retry-After that are misread or make a pause without end.
func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		name   string
		values []string
		want   time.Duration
	}{
		{"none", nil, 0},
		{"seconds", []string{"2"}, 2 * time.Second},
		{"fraction", []string{" 0.25 "}, 250 * time.Millisecond},
		{"zero", []string{"0"}, 0},
		{"negative", []string{"-5"}, 0},
		{"text", []string{"soon"}, 0},
		{"not a number", []string{"NaN"}, 0},
		{"infinite", []string{"inf"}, maxRetryAfterSeconds * time.Second},
		{"huge", []string{"1e300"}, maxRetryAfterSeconds * time.Second},
		{"out of range", []string{"1e999"}, maxRetryAfterSeconds * time.Second},
		{"negative out of range", []string{"-1e999"}, 0},
		{"text beside seconds", []string{"soon", "2"}, 2 * time.Second},
		{"several", []string{"1", "3", "2"}, 3 * time.Second},
		{"date", []string{"Fri, 02 Jan 2026 03:04:15 GMT"}, 10 * time.Second},
		{"earlier date", []string{"Fri, 02 Jan 2026 03:04:00 GMT"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, retryAfter(http.Header{"Retry-After": c.values}, now), c.want)
		})
	}
}
