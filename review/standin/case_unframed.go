package main

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// caseUnframed lets a model worker leave on notice while it generates, and its process
// end two seconds later. Responses of the workers have neither a length nor chunks. A
// stream that the end cut short must not end as complete.
func caseUnframed(l *lab) bool {
	l.configure(34228)
	const streams, events, engines = 48, 150, 6
	zones := []string{"qld-a", "qld-b", "qld-c"}
	var ids, addrs []string
	var workers []*exec.Cmd
	born := time.Now().UnixMilli()
	for i := range engines {
		zone := zones[i%3]
		id, addr := fmt.Sprintf("i-%d", i+1), fmt.Sprintf("%s:%d", l.ip(100+i), freePort(l.ip(100+i)))
		workers = append(workers, l.startWorker("engine", "-addr", addr, "-id", id, "-born", fmt.Sprint(born), "-unframed", "-gap", "40ms"))
		l.register(id, "crease-lm", addr, zone, "ready", 24, born)
		ids, addrs = append(ids, id), append(addrs, addr)
	}
	l.startDaemons(3)

	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, cut, whole := 0, 0, 0
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			id := fmt.Sprintf("g%015d", i)
			l.logf("client sends %s to %s", id, l.daemons[i%3].name)
			got := stream(l.daemons[i%3], "/guide/", id, 3000, events*tokensPerEvent, 30*time.Second)
			mu.Lock()
			defer mu.Unlock()
			last := ""
			if n := len(got.pieces); n > 0 {
				last = got.pieces[n-1]
			}
			l.logf("client of %s: status %d, seal %q, %d events, last %q, ended as complete: %v, error %v", id, got.status, got.seal, len(got.pieces), last, got.complete, got.err)
			switch {
			case got.status != 200 || !got.complete:
				cut++
			case strings.HasSuffix(last, fmt.Sprintf(" %d/%d", events, events)):
				whole++
			default:
				broken++
				l.logf("ORDER: %s ended as complete before its last piece", id)
			}
		}()
	}
	time.Sleep(3500 * time.Millisecond)
	if l.trouble {
		l.logf("%s reports draining, its end is in 2 s", ids[0])
		l.register(ids[0], "crease-lm", addrs[0], zones[0], "draining", 24, born)
		time.Sleep(2 * time.Second)
		l.logf("the process of %s is killed", ids[0])
		_ = workers[0].Process.Kill()
		_ = workers[0].Wait()
		l.store.remove("servers", ids[0])
	}
	wg.Wait()
	l.logf("%d streams: %d whole, %d broken off or refused, %d ended as complete before their last piece", streams, whole, cut, broken)
	fmt.Printf("%d whole, %d broken off or refused, %d ended as complete before their last piece\n", whole, cut, broken)
	return broken > 0
}
