package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["begun"] = begunCase }

const (
	// fatalPart is the part of a prompt that crashes engines.
	fatalPart = "e4402b7d"
	// fatalRate is the number of requests with it a second, soundRate that of others.
	fatalRate = 1
	soundRate = 4
	// engineBack is how long an engine is down.
	engineBack = 3 * time.Second
	// fatalCrashes and fatalAllowed are those of the rule BUDGET.
	fatalCrashes = 5
	fatalAllowed = 3
)

// begunCase sends requests with a part that crashes each engine which begins to write an answer on it. With
// EVENTS=0 in the environment the engines crash before their first event is out.
func begunCase(b *bed) ([]string, error) {
	b.addDaemons(3)
	b.store.put("config", "main", config(3, []map[string]any{streamRoute("r-1", "/guide/", "model")}, []map[string]any{engineService("model")}, []map[string]any{tenant("t-1", "key-1")}))
	fleet := newEngineFleet(b)
	var mu sync.Mutex
	var crashes []time.Time
	var arrivals []time.Time
	number, crashAfter := 0, 1
	if os.Getenv("EVENTS") == "0" {
		crashAfter = 0
	}
	var add func(zone string) error
	add = func(zone string) error {
		mu.Lock()
		number++
		id := fmt.Sprintf("i-%02d", number)
		mu.Unlock()
		e := &engine{fleet: fleet, id: id, service: "model", zone: zone, events: 20, crashAfter: crashAfter}
		if b.trouble {
			e.fatal = fatalPart
		}
		e.arrived = func(_, parts string) {
			if strings.Contains(parts, fatalPart+":") {
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, time.Now())
			}
		}
		e.crashed = func(e *engine) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			time.AfterFunc(engineBack, func() { _ = add(e.zone) })
		}
		return e.start()
	}
	for i := range 12 {
		if err := add(zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	var wg sync.WaitGroup
	send := func(i int, parts ...string) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.stream(b.daemons[i%len(b.daemons)], "/guide/x", "key-1", fmt.Sprintf("%06d", i)+strings.Repeat("x", 2594), 20, parts...)
		}()
	}
	for i := range 30 * soundRate {
		if i%(soundRate/fatalRate) == 0 {
			send(1000+i, fatalPart+":30")
		}
		send(i, "91bd3f06:30")
		time.Sleep(time.Second / soundRate)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.note("%d crashes, %d requests with the part reached engines", len(crashes), len(arrivals))
	if len(crashes) < fatalCrashes {
		return nil, nil
	}
	late, from := 0, crashes[fatalCrashes-1].Add(stableWindow)
	for _, at := range arrivals {
		if at.After(from) {
			late++
		}
	}
	b.note("%d of them later than %v after crash %d", late, stableWindow, fatalCrashes)
	if late > fatalAllowed {
		return []string{fmt.Sprintf("BUDGET: %d requests with a part that crashes engines reach them later than %v after the fifth crash, %d are allowed; %d crashes", late, stableWindow, fatalAllowed, len(crashes))}, nil
	}
	return nil, nil
}
