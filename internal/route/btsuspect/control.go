package btsuspect

import (
	"slices"
	"time"
)

// maxControl is the number of runs that control holds.
const maxControl = 32

// control holds the newest runs of requests whose prompts have parts, to compare with those that a
// part is suspected for. Where requests without the part get no further than those with it, whatever
// crashes the upstreams is not the part.
type control struct {
	runs []*Run
	next int
}

func (c *control) add(r *Run) {
	if len(r.keys) < 2 {
		return
	}
	if len(c.runs) < maxControl {
		c.runs = append(c.runs, r)
		return
	}
	c.runs[c.next] = r
	c.next = (c.next + 1) % maxControl
}

// without returns the largest number of events that runs without a key have got, of those that got one
// since a time.
func (c *control) without(key Key, since time.Time) int {
	most := 0
	for _, r := range c.runs {
		if !slices.Contains(r.keys, key) && r.advanced.Load() >= since.UnixNano() {
			most = max(most, int(r.events.Load()))
		}
	}
	return most
}
