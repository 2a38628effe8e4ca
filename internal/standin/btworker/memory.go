package btworker

import (
	"net/netip"
	"time"
)

// heldCopy is a copy of a run's memory, complete from a time on.
type heldCopy struct {
	run   int
	start int
	at    time.Time
}

// keep stores a copy of a run that arrives after d.
func (w *Worker) keep(name string, work *Span, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies[name] = heldCopy{work.Run, work.Start, time.Now().Add(d)}
}

// drop frees a copy.
func (w *Worker) drop(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.copies, name)
}

// KeepsMove reports whether the upstream keeps the copy of a generation that a move from a source made.
func (w *Worker) KeepsMove(source netip.AddrPort, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.copies[moveCopy(source, id).String()]
	return ok
}

// use takes a copy that has arrived, nil without one.
func (w *Worker) use(name string) *heldCopy {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.copies[name]
	if !ok || time.Now().Before(c.at) {
		return nil
	}
	delete(w.copies, name)
	return &c
}
