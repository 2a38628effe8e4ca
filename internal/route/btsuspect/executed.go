package btsuspect

import "time"

// maxExecuted bounds the keys of one generation of executed.
const maxExecuted = 8192

// executed holds the keys of recent executions in two generations, each as long as
// executedWindow. Keys beyond maxExecuted are not added.
type executed struct {
	young, old map[Key]execution
	since      time.Time
}

// execution is the newest execution of a key.
type execution struct {
	at time.Time
	// events is the number of events at which upstreams lived under the key.
	events int
}

// add adds an execution with a number of events at which the upstream lived.
func (e *executed) add(key Key, events int, now time.Time) {
	if e.young == nil || now.Sub(e.since) >= executedWindow {
		e.young, e.old, e.since = map[Key]execution{}, e.young, now
	}
	if _, known := e.young[key]; known || len(e.young) < maxExecuted {
		e.young[key] = execution{now, max(events, e.recent(key, now))}
	}
}

// recent returns the number of events at which upstreams lived under a key within executedWindow.
// It is zero without an execution.
func (e *executed) recent(key Key, now time.Time) int {
	events := 0
	for _, generation := range []map[Key]execution{e.young, e.old} {
		if x, ok := generation[key]; ok && now.Sub(x.at) < executedWindow {
			events = max(events, x.events)
		}
	}
	return events
}
