package btplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// heartbeatPeriod is the time between two heartbeats of a watch.
const heartbeatPeriod = time.Second

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		writeError(w, errors.Wrap(errInvalid, "after needs a revision"))
		return
	}
	watch, err := s.store.Watch(r.Context(), r.PathValue("kind"), bramleytack.Revision(after))
	if err != nil {
		writeError(w, err)
		return
	}
	s.reads.hold(1)
	defer s.reads.hold(-1)
	// Closing a watch of the in-memory store cannot fail.
	defer func() { _ = watch.Close() }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	if flush(w) != nil {
		return
	}
	s.sendWatch(w, r, watch)
}

// sendWatch sends changes and heartbeats until the reader is gone or the
// platform is down.
func (s *Server) sendWatch(w http.ResponseWriter, r *http.Request, watch bramleytack.Watch) {
	next := s.timer.Now().Add(heartbeatPeriod)
	for {
		ctx, cancel := context.WithDeadline(r.Context(), next)
		err := sendChanges(ctx, w, watch)
		cancel()
		if r.Context().Err() != nil {
			return
		}
		if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, bramleytack.ErrWatchSilent) {
			return
		}
		if s.timer.Now().Before(next) {
			continue
		}
		next = next.Add(heartbeatPeriod)
		if s.sendHeartbeat(w, watch) != nil {
			return
		}
	}
}

// sendChanges sends changes until the context ends.
func sendChanges(ctx context.Context, w http.ResponseWriter, watch bramleytack.Watch) error {
	for {
		o, err := watch.Next(ctx)
		if err != nil {
			return err
		}
		wire := toWire(o)
		if err := sendLine(w, WatchLine{Object: &wire}); err != nil {
			return err
		}
	}
}

// sendHeartbeat sends all changes up to the current revision and then a
// heartbeat with it, so that the reader can take the revision as seen.
func (s *Server) sendHeartbeat(w http.ResponseWriter, watch bramleytack.Watch) error {
	f := s.store.Fault()
	if f.Down {
		return bramleytack.ErrStoreDown
	}
	if f.SilentWatches {
		return nil
	}
	revision := s.store.Revision()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := sendChanges(ended, w, watch); !errors.Is(err, context.Canceled) {
		return err
	}
	return sendLine(w, WatchLine{Heartbeat: true, Revision: revision})
}

// sendLine sends one line with one Write, as btfault counts tokens.
func sendLine(w http.ResponseWriter, l WatchLine) error {
	line, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return err
	}
	return flush(w)
}

func flush(w http.ResponseWriter) error {
	return http.NewResponseController(w).Flush()
}
