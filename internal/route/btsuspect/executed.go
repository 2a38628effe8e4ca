package btsuspect

import "time"

// maxExecuted bounds the keys of one generation of executed.
const maxExecuted = 8192

// executed holds the keys of recent executions in two generations, each as long as
// executedWindow. Keys beyond maxExecuted are not added.
type executed struct {
	young, old map[Key]time.Time
	since      time.Time
}

func (e *executed) add(key Key, now time.Time) {
	if e.young == nil || now.Sub(e.since) >= executedWindow {
		e.young, e.old, e.since = map[Key]time.Time{}, e.young, now
	}
	if len(e.young) < maxExecuted {
		e.young[key] = now
	}
}

// recent reports whether a key was added within executedWindow.
func (e *executed) recent(key Key, now time.Time) bool {
	at, ok := e.young[key]
	if !ok {
		at, ok = e.old[key]
	}
	return ok && now.Sub(at) < executedWindow
}
