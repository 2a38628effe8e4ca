package btworker

import "time"

// Deafen keeps the upstream from noticing that callers leave, as the loss of a path does, or
// ends that.
func (w *Worker) Deafen(on bool) { w.deaf.Store(on) }

// DeafenForGood keeps the upstream from ever noticing that callers leave.
func (w *Worker) DeafenForGood() { w.deafForGood.Store(true) }

// Deaf reports whether the upstream never notices that callers leave.
func (w *Worker) Deaf() bool { return w.deafForGood.Load() }

// IgnoreStops makes the upstream work on after an order to stop, which it confirms.
func (w *Worker) IgnoreStops() { w.unstoppable.Store(true) }

// StopLate makes the upstream work on for d after it has confirmed an order to stop.
func (w *Worker) StopLate(d time.Duration) { w.stopDelay.Store(int64(d)) }

// LoseStopAnswers loses the answers to the next n orders to stop a generation that runs.
func (w *Worker) LoseStopAnswers(n int) { w.lostAnswers.Store(int64(n)) }

// stop ends the work on a request, if there is any.
func (w *Worker) stop(id string) {
	w.mu.Lock()
	cancel := w.cancels[id]
	w.mu.Unlock()
	if cancel == nil {
		return
	}
	if d := time.Duration(w.stopDelay.Load()); d > 0 {
		time.AfterFunc(d, cancel)
		return
	}
	cancel()
}

// hears reports whether the upstream notices now that callers leave.
func (w *Worker) hears() bool { return !w.deaf.Load() && !w.Deaf() }
