package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["limit"] = limitCase }

const (
	// named is the limit that the workers name, in requests a second.
	named = 2.0
	// limitWindow, limitFactor and limitSlack are those of the rule LIMIT.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitRate is the number of requests a second of all clients.
	limitRate = 60
	// silence is how long a worker is cut off from the store.
	silence = 5 * time.Second
)

// limitCase cuts a worker that names a limit off from the store for some seconds.
func limitCase(b *bed) ([]string, error) {
	b.addDaemons(3)
	b.store.put("config", "main", config(3, []map[string]any{route("r-1", "/look/", "idempotent", "desk", 5000, 1500)}, []map[string]any{service("desk")}, []map[string]any{tenant("t-1", "key-1")}))
	log := &limitLog{answered: map[string]time.Time{}, bed: b}
	var workers []*worker
	for i := range 3 {
		w := &worker{
			bed: b, id: fmt.Sprintf("i-%d", i+1), service: "desk", zone: zones[i], slots: 24, work: 300 * time.Millisecond,
			head:    func(h http.Header, r *http.Request) { h.Set("Server-Limit", fmt.Sprint(named)); log.answer(r) },
			arrived: log.arrived,
		}
		if err := w.start(); err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	end := time.Now().Add(28 * time.Second)
	cut := time.Now().Add(10 * time.Second)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		if b.trouble && !cut.IsZero() && time.Now().After(cut) {
			cut = time.Time{}
			b.note("worker %s is cut off from the store for %v", workers[0].id, silence)
			workers[0].silent.Store(true)
			time.AfterFunc(silence, func() { b.note("worker %s reaches the store again", workers[0].id); workers[0].silent.Store(false) })
		}
		d := b.daemons[i%len(b.daemons)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.send(d, attempt{method: http.MethodGet, path: "/look/" + d.name + "/x", key: "key-1", deadline: 5 * time.Second})
		}()
		time.Sleep(time.Second / limitRate)
	}
	wg.Wait()
	return log.check(workers), nil
}

// limitLog holds what the workers see. The path of a request names the daemon that got it.
type limitLog struct {
	bed      *bed
	mu       sync.Mutex
	arrivals []arrival
	// answered holds when a worker first named its limit to a daemon, and first when it did so to any.
	answered map[string]time.Time
}

type arrival struct {
	worker, daemon string
	at             time.Time
}

func daemonOf(r *http.Request) string { return strings.Split(r.URL.Path, "/")[2] }

func (l *limitLog) arrived(w *worker, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival{w.id, daemonOf(r), time.Now()})
	l.bed.note("request %s reaches worker %s from %s", r.Header.Get("Attempt-Id"), w.id, daemonOf(r))
}

func (l *limitLog) answer(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The header goes out with the answer, which is sent when the work is done.
	key := r.Header.Get("Expect-Instance") + "/" + daemonOf(r)
	if _, ok := l.answered[key]; !ok {
		l.answered[key] = time.Now().Add(300 * time.Millisecond)
	}
}

// check counts the arrivals at each worker in each window from stableWindow after it first named its limit,
// from the daemons that had passed on such an answer half a second before or earlier.
func (l *limitLog) check(workers []*worker) (violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := limitFactor*named*limitWindow.Seconds() + limitSlack
	for _, w := range workers {
		var first time.Time
		for key, at := range l.answered {
			if strings.HasPrefix(key, w.id+"/") && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
		var counted []time.Time
		for _, a := range l.arrivals {
			passed, ok := l.answered[w.id+"/"+a.daemon]
			if a.worker == w.id && ok && a.at.After(first.Add(stableWindow)) && a.at.Sub(passed) >= 500*time.Millisecond {
				counted = append(counted, a.at)
			}
		}
		worst, at := 0, time.Time{}
		for i := range counted {
			n := 0
			for _, t := range counted[i:] {
				if t.Sub(counted[i]) < limitWindow {
					n++
				}
			}
			if n > worst {
				worst, at = n, counted[i]
			}
		}
		l.bed.note("worker %s: %d requests, at most %d in %v (from %.3f on), allowed %.0f", w.id, len(counted), worst, limitWindow, at.Sub(l.bed.start).Seconds(), most)
		if float64(worst) > most {
			violations = append(violations, fmt.Sprintf("LIMIT: worker %s names %g requests a second and gets %d in %v from %.3f s on, %.0f are allowed", w.id, named, worst, limitWindow, at.Sub(l.bed.start).Seconds(), most))
		}
	}
	return violations
}
