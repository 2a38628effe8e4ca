package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["popular"] = popularCase }

const (
	// guideRate is the number of requests a second, and guideEvents the number of events of each answer.
	guideRate   = 24
	guideEvents = 70
	// From quietTime on, popularShare of the requests are about one thing, for popularTime.
	quietTime    = 8 * time.Second
	popularTime  = 5500 * time.Millisecond
	popularShare = 0.28
	// zoneFails is how long after that the workers of a zone go down, for zoneDown.
	zoneFails = 2500 * time.Millisecond
	zoneDown  = 4500 * time.Millisecond
	// lastTime is the time without popular requests at the end.
	lastTime = 4 * time.Second
)

// popularCase takes the workers of a zone down while many clients have asked for the same.
func popularCase(b *bed) ([]string, error) {
	b.addDaemons(3)
	b.store.put("config", "main", config(3, []map[string]any{streamRoute("r-1", "/guide/", "model")}, []map[string]any{engineService("model")}, []map[string]any{tenant("t-1", "key-1")}))
	fleet := newEngineFleet(b)
	var engines []*engine
	number := 0
	add := func(zone string, cold time.Duration) error {
		number++
		e := &engine{fleet: fleet, id: fmt.Sprintf("i-%02d", number), service: "model", zone: zone, events: guideEvents, cold: cold}
		engines = append(engines, e)
		return e.start()
	}
	for i := range 12 {
		if err := add(zones[i%len(zones)], 0); err != nil {
			return nil, err
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	if b.trouble {
		time.AfterFunc(quietTime+zoneFails, func() {
			for _, e := range engines[:12] {
				if e.zone == zones[0] {
					go e.crash()
				}
			}
		})
		time.AfterFunc(quietTime+zoneFails+zoneDown, func() {
			for range 4 {
				_ = add(zones[0], time.Second)
			}
		})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]map[int]int{"popular": {}, "other": {}}
	total, popular := 0, 0.0
	began := time.Now()
	for ; time.Since(began) < quietTime+popularTime+lastTime; total++ {
		kind, body := "other", fmt.Sprintf("%06d", total)+strings.Repeat("x", 2594)
		if at := time.Since(began); at >= quietTime && at < quietTime+popularTime {
			if popular += popularShare; popular >= 1 {
				popular--
				kind, body = "popular", "popular"+strings.Repeat("x", 2593)
			}
		}
		d := b.daemons[total%len(b.daemons)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := b.stream(d, "/guide/x", "key-1", body, guideEvents)
			mu.Lock()
			defer mu.Unlock()
			statuses[kind][s.status]++
		}()
		time.Sleep(time.Second / guideRate)
	}
	wg.Wait()
	b.note("%d requests: statuses of popular ones %v, of others %v", total, statuses["popular"], statuses["other"])
	denied := 0
	for _, byStatus := range statuses {
		for status, n := range byStatus {
			if status >= 300 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
				denied += n
			}
		}
	}
	if allowed := 5 + float64(total)/500; float64(denied) > allowed {
		return []string{fmt.Sprintf("DENIED: %d of %d proper requests are answered with a status of the system's own from 300 to 499, %.1f are allowed", denied, total, allowed)}, nil
	}
	return nil, nil
}
