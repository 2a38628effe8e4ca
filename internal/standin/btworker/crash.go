package btworker

import (
	"net/http"
	"time"
)

// crashByRequest ends the upstream during a request, which gets no answer.
func (w *Worker) crashByRequest() {
	w.CrashAndRestart()
	panic(http.ErrAbortHandler)
}

// CrashAndRestart ends the upstream, cuts its connections, and starts it again after
// Restart.
func (w *Worker) CrashAndRestart() {
	if w.crashed.CompareAndSwap(false, true) {
		w.end()
		time.AfterFunc(w.cfg.Restart, w.restart)
	}
}

func (w *Worker) restart() {
	next := w.pool.Start(w.cfg)
	if w.cfg.Restarted != nil {
		w.cfg.Restarted(next)
	}
}
