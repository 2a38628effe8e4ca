package btworker

// Deafen keeps the upstream from noticing that callers leave, as the loss of a path does, or
// ends that.
func (w *Worker) Deafen(on bool) { w.deaf.Store(on) }

// DeafenForGood keeps the upstream from ever noticing that callers leave.
func (w *Worker) DeafenForGood() { w.deafForGood.Store(true) }

// Deaf reports whether the upstream never notices that callers leave.
func (w *Worker) Deaf() bool { return w.deafForGood.Load() }

// IgnoreStops makes the upstream work on after an order to stop, which it confirms.
func (w *Worker) IgnoreStops() { w.unstoppable.Store(true) }

// stop ends the work on a request, unless the upstream ignores that. It reports whether there was
// any.
func (w *Worker) stop(id string) bool {
	w.mu.Lock()
	cancel := w.cancels[id]
	w.mu.Unlock()
	if cancel == nil || w.unstoppable.Load() {
		return false
	}
	cancel()
	return true
}

// hears reports whether the upstream notices now that callers leave.
func (w *Worker) hears() bool { return !w.deaf.Load() && !w.Deaf() }
