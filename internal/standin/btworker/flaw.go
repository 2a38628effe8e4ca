package btworker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Flaw is what is wrong with a bad version of an upstream's software.
type Flaw struct {
	// Share is that of the answers that are bad where the flaw shows.
	Share float64
	// Slow is how many times as long bad answers take. Zero makes them failures with status 500.
	Slow int
	// From is when the flaw begins to show, zero for at once.
	From time.Time
	// Busy is the number of requests that must run at the upstream, Path how the paths of
	// requests begin.
	Busy int
	Path string
}

// How answers are affected by a flaw: a sound one takes as long as always, others several times as
// long.
const (
	fails     = 0
	soundPace = 1
)

// String describes the flaw.
func (f *Flaw) String() string {
	if f == nil {
		return "good"
	}
	return fmt.Sprintf("bad %.2f, %d times as long, from %s, %d requests or more, path %q", f.Share, f.Slow, f.From.Format("15:04:05"), f.Busy, f.Path)
}

// of returns how many times as long an answer takes, or fails. active is the number of requests
// that run at the upstream, with this one.
func (f *Flaw) of(r *http.Request, active int) int {
	if f == nil || active < f.Busy || time.Now().Before(f.From) || !strings.HasPrefix(r.URL.Path, f.Path) || rand.Float64() >= f.Share {
		return soundPace
	}
	return f.Slow
}
