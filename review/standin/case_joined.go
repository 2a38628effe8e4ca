package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// joinedEngines is the number of engines and slowEngines that of slow ones, a share of
	// 0.167.
	joinedEngines = 12
	slowEngines   = 2
	slowFactor    = 8
)

// caseJoined lets two of twelve model workers work eight times as long, for 6.5 s at a time. A stream of a
// route whose requests may be resumed must have the pieces of one run, or go on with a
// run that began after the last piece before.
func caseJoined(l *lab) bool {
	l.configure(34228)
	zones := []string{"qld-a", "qld-b", "qld-c"}
	born := time.Now().UnixMilli()
	for i := range joinedEngines {
		id, addr := fmt.Sprintf("i-%d", i+1), fmt.Sprintf("%s:%d", l.ip(100+i), freePort(l.ip(100+i)))
		slow := 1.0
		if l.trouble && i < slowEngines {
			slow = slowFactor
		}
		l.startWorker("engine", "-addr", addr, "-id", id, "-born", fmt.Sprint(born), "-slow", fmt.Sprint(slow))
		l.register(id, "crease-lm", addr, zones[i%3], "ready", 24, born)
	}
	l.startDaemons(3)
	// Prompts have a mean of 2,200 tokens, a spread of 0.6 and at most 6,000.
	rng := rand.New(rand.NewPCG(1, 2))
	const length, perSecond, sigma = 100 * time.Second, 25, 0.6
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, failed, joined := 0, 0, 0
	for i := 0; time.Since(l.started) < length; i++ {
		prompt := int(min(max(2200*math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2), 300), 6000))
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("t%015d", i)
			l.logf("client sends %s to %s, %d prompt tokens", id, l.daemons[i%3].name, prompt)
			got := stream(l.daemons[i%3], "/tag/", id, prompt, 40, 6*time.Second)
			mu.Lock()
			defer mu.Unlock()
			l.logf("client of %s: status %d, seal %q, complete: %v, error %v, pieces %q", id, got.status, got.seal, got.complete, got.err, got.pieces)
			switch {
			case joinsRuns(got.pieces):
				joined++
				l.logf("ORDER: %s has pieces of two runs, and the second one did not go on after the last piece", id)
			case got.status == 200 && got.complete:
				whole++
			default:
				failed++
			}
		}()
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	l.logf("%d whole, %d failed, %d joined", whole, failed, joined)
	fmt.Printf("%d whole, %d failed, %d joined\n", whole, failed, joined)
	return joined > 0
}

// joinsRuns reports whether the pieces are of several runs, one of which did not begin
// after the last piece of the run before.
func joinsRuns(pieces []string) bool {
	before, number := "", 0
	for _, p := range pieces {
		var run string
		var from, n, total int
		if _, err := fmt.Sscanf(p, "%s from %d %d/%d", &run, &from, &n, &total); err != nil {
			continue
		}
		if before != "" && run != before && from != number {
			return true
		}
		before, number = run, n
	}
	return false
}
