package main

import (
	"strings"
	"time"
)

// config returns a configuration with a plain and an engine service.
func config(coldPerSecond float64, backups bool) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "export", "host": "shop.example", "path_prefix": "/export/", "kind": "idempotent", "timeout_ms": 39000, "target_latency_ms": 20000, "priority": 2, "service": "export", "max_attempts": 1, "public": true, "sticky": false, "resumable": false},
			map[string]any{"name": "order", "host": "shop.example", "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 2500, "target_latency_ms": 150, "priority": 2, "service": "orders", "max_attempts": 1, "public": false, "sticky": false, "resumable": false},
			map[string]any{"name": "guide", "host": "shop.example", "path_prefix": "/guide/", "kind": "streaming", "timeout_ms": 39000, "target_latency_ms": 1800, "gap_aim_ms": 180, "priority": 1, "service": "lm", "max_attempts": 1, "public": false, "sticky": true, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": "export", "health_path": "/health", "max_conns": 252, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
			map[string]any{"name": "orders", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": coldFor.Seconds(), "cold_per_s": coldPerSecond},
			map[string]any{"name": "lm", "health_path": "/health", "max_conns": 252, "protocol": "h1", "tls": false, "cold_start_s": coldFor.Seconds(), "cold_per_s": coldPerSecond, "engine": map[string]any{
				"slots": 24, "kv_capacity": kvCapacity, "kv_token_bytes": 262144, "link_mbps": 38000.0, "moves": true, "backups": backups, "stride": stride, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}

// The paths of the clients' requests.
const (
	order = "/order/x"
	guide = "/guide/x"
)

// The bound of FAILBACK.
const (
	coldPerSecond = 5.0
	coldOver      = 1.5
	coldSlack     = 5.0
)

// mostWhileCold returns the most requests that reached a cold worker within a second of those that
// were sent in it.
func (f *fleet) mostWhileCold() (most int, worker string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, first := range f.arrivals {
		n := 0
		for _, a := range f.arrivals[i:] {
			if a.at.Sub(first.at) >= time.Second {
				break
			}
			if a.worker == first.worker && a.cold && first.cold {
				n++
			}
		}
		if n > most {
			most, worker, at = n, first.worker, first.at
		}
	}
	return most, worker, at
}

func (f *fleet) judgeCold() bool {
	most, worker, at := f.mostWhileCold()
	bound := coldPerSecond*coldOver + coldSlack
	f.rec.say("most requests in one second at a cold worker: %d (%s, from %.3f s); allowed %.1f", most, worker, at.Sub(f.rec.start).Seconds(), bound)
	return float64(most) > bound
}

// coldUnknown has a worker that turns cold while the store is away.
func coldUnknown(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", "main", config(coldPerSecond, false))
	var ws []*worker
	for _, z := range zones {
		ws = append(ws, f.startWorker(workerConfig{service: "orders", zone: z, slots: 6, work: 100 * time.Millisecond, crashAbove: int(5 * coldPerSecond)}))
	}
	if err := f.startDaemons(); err != nil {
		return false, err
	}
	c := newClients(f)
	started := time.Now()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.each(105, started.Add(20*time.Second), func() { c.send(order, nil, 2500*time.Millisecond) })
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		f.rec.line("the store goes away")
		f.store.setDown(true)
	}
	time.Sleep(3 * time.Second)
	ws[1].turnCold(coldFor)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ws[1].isDead() {
			time.Sleep(time.Second)
			again := ws[1].workerConfig
			again.coldFor = coldFor
			ws[1] = f.startWorkerAs(again, ws[1].addr, ws[1].id)
		}
	}
	f.rec.line("the store is back")
	f.store.setDown(false)
	c.wg.Wait()
	broken := f.judgeCold()
	f.lost(c)
	return broken, nil
}

// lost tells how many orders a worker had begun whose clients got no answer of it.
func (f *fleet) lost(c *clients) {
	served, lost, other := 0, 0, 0
	cut := map[string]bool{}
	for _, r := range f.runs {
		cut[r.id] = r.result != "whole"
	}
	for _, a := range c.answers {
		switch {
		case a.status == 200 && a.whole:
			served++
		case cut[a.id]:
			lost++
		default:
			other++
		}
	}
	f.rec.say("orders: %d served, %d begun and lost with a worker, %d ended otherwise", served, lost, other)
}

// coldMoves has engines that are replaced by new ones, while they run generations.
func coldMoves(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", "main", config(coldPerSecond, false))
	var ws []*worker
	for _, z := range zones {
		ws = append(ws, f.startWorker(workerConfig{service: "lm", zone: z, slots: 24, engine: true}))
	}
	if err := f.startDaemons(); err != nil {
		return false, err
	}
	c := newClients(f)
	started := time.Now()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.each(5, started.Add(20*time.Second), func() {
			c.send(guide, map[string]string{"Model": "m", "Token-Counts": "200,1000", "Prompt-Prefix": "aa:50,bb:150"}, 39*time.Second)
		})
	}()
	time.Sleep(10 * time.Second)
	if trouble {
		w := f.startWorker(workerConfig{service: "lm", zone: ws[0].zone, slots: 24, engine: true, coldFor: coldFor, crashAbove: int(3 * coldPerSecond)})
		time.Sleep(time.Second)
		f.rec.line("worker %s begins to leave, worker %s takes its place", ws[0].id, w.id)
		ws[0].drain()
	}
	c.wg.Wait()
	broken := f.judgeCold()
	f.streams(c, 250)
	return broken, nil
}

func (f *fleet) streams(c *clients, events int) {
	whole, broken := 0, 0
	for _, a := range c.answers {
		if a.path != guide {
			continue
		}
		if a.status == 200 && a.whole && strings.Count(a.body, "data:") == events {
			whole++
		} else {
			broken++
		}
	}
	f.rec.say("generations: %d whole, %d not", whole, broken)
}

// deafEngine has an engine that does not notice closed connections and leaves.
func deafEngine(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", "main", config(0, false))
	var ws []*worker
	for i, z := range zones {
		ws = append(ws, f.startWorker(workerConfig{service: "lm", zone: z, slots: 24, engine: true, deaf: i == 0}))
	}
	if err := f.startDaemons(); err != nil {
		return false, err
	}
	c := newClients(f)
	started := time.Now()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.each(2, started.Add(15*time.Second), func() {
			c.send(guide, map[string]string{"Model": "m", "Token-Counts": "200,1000", "Prompt-Prefix": "aa:50,bb:150"}, 39*time.Second)
		})
	}()
	time.Sleep(8 * time.Second)
	if trouble {
		f.rec.line("worker %s begins to leave", ws[0].id)
		ws[0].drain()
	}
	c.wg.Wait()
	f.streams(c, 250)
	return f.judgeTwice(), nil
}

// judgeTwice reports whether a generation went on at another worker while the one before still
// worked on it 400 ms later.
func (f *fleet) judgeTwice() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	twice := 0
	for _, a := range f.runs {
		for _, b := range f.runs {
			if a.id == b.id && a.worker != b.worker && a.began.Before(b.began) && (a.ended.IsZero() || a.ended.Sub(b.began) > 400*time.Millisecond) {
				twice++
				f.rec.line("%s went on at %s, and %s worked on it for %v more", a.id, b.worker, a.worker, a.ended.Sub(b.began).Round(time.Millisecond))
			}
		}
	}
	f.rec.say("generations that two workers worked on for more than 400 ms: %d", twice)
	return twice > 0
}

// staleCopy has an engine that restarts under its id, and then another one leaves whose generations
// had copies there.
func staleCopy(f *fleet, trouble bool) (bool, error) {
	f.gap = 100 * time.Millisecond
	f.store.put("config", "main", config(0, true))
	c1 := workerConfig{service: "lm", zone: zones[0], slots: 24, engine: true}
	c2 := workerConfig{service: "lm", zone: zones[1], slots: 24, engine: true}
	leaver, holder := f.startWorker(c1), f.startWorker(c2)
	if err := f.startDaemons(); err != nil {
		return false, err
	}
	c := newClients(f)
	started := time.Now()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.each(1.2, started.Add(16*time.Second), func() {
			c.send(guide, map[string]string{"Model": "m", "Token-Counts": "200,600", "Prompt-Prefix": "aa:50,bb:150"}, 39*time.Second)
		})
	}()
	time.Sleep(11 * time.Second)
	if trouble {
		f.restart(holder, time.Second, c2)
	}
	time.Sleep(3 * time.Second)
	f.rec.line("worker %s begins to leave", leaver.id)
	leaver.drain()
	c.wg.Wait()
	f.streams(c, 150)
	return f.judgeCut(c, 150) > 3, nil
}

// judgeCut returns the number of generations that ended before their end although all workers that
// ran them were sound.
func (f *fleet) judgeCut(c *clients, events int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := 0
	for _, a := range c.answers {
		if got := strings.Count(a.body, "data:"); a.path == guide && a.status == 200 && got < events {
			var at []string
			crashed := false
			for _, r := range f.runs {
				if r.id == a.id {
					at = append(at, r.worker+" "+r.result)
					crashed = crashed || r.result == "crashed"
				}
			}
			f.rec.line("generation %s ended after %d of %d events; its runs: %s", a.id, got, events, strings.Join(at, ", "))
			if !crashed {
				cut++
			}
		}
	}
	f.rec.say("generations that were cut although no worker that ran them had failed: %d", cut)
	return cut
}
