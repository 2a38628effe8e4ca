package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// overlapBound is the time in seconds for which a worker may still work on a request that
// goes on at another one.
const overlapBound = 0.4

// caseTwice lets a model worker leave on notice. While it moves its generations it has no
// path to one of four daemons for 0.3 s. No generation may go on at two workers.
func caseTwice(l *lab) bool {
	l.configure(34228)
	zones := []string{"qld-a", "qld-b", "qld-c"}
	born := time.Now().UnixMilli()
	const engines, streams = 5, 40
	addrs := make([]string, engines)
	for i := range engines {
		addrs[i] = fmt.Sprintf("%s:%d", l.ip(100+i), freePort(l.ip(100+i)))
		args := []string{"engine", "-addr", addrs[i], "-id", fmt.Sprintf("i-%d", i+1), "-born", fmt.Sprint(born), "-moves", "-gap", "30ms", "-from-copy", "250ms"}
		if l.trouble && i == 0 {
			args = append(args, "-cut", "300ms")
		}
		l.startWorker(args...)
		l.register(fmt.Sprintf("i-%d", i+1), "crease-lm", addrs[i], zones[i%3], "ready", 24, born)
	}
	l.startDaemons(4)
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The callers of the first daemon have ids that begin with "a".
			d, id := l.daemons[0], fmt.Sprintf("a%015d", i)
			if i%2 == 1 {
				d, id = l.daemons[1+i/2%3], fmt.Sprintf("b%015d", i)
			}
			l.logf("client sends %s to %s", id, d.name)
			got := stream(d, "/guide/", id, 900, 600, 30*time.Second)
			l.logf("client of %s: status %d, seal %q, %d events, complete %v, error %v", id, got.status, got.seal, len(got.pieces), got.complete, got.err)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(550 * time.Millisecond)
	l.logf("i-1 reports draining")
	l.register("i-1", "crease-lm", addrs[0], zones[0], "draining", 24, born)
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	return l.overlaps() > 0
}

// workSpan is the time in which a worker worked on a request.
type workSpan struct {
	id, worker, run string
	from, to        float64
}

var (
	beginLine = regexp.MustCompile(`^ *([0-9.]+)  worker (\S+) (?:runs|goes on with) (\S+) as (\S+), `)
	endLine   = regexp.MustCompile(`^ *([0-9.]+)  worker \S+(?:: caller of| has ended) (\S+) `)
)

// overlaps reads the record and returns the number of requests that went on at another
// worker while the one before still worked on them for longer than overlapBound.
func (l *lab) overlaps() int {
	data, err := os.ReadFile(l.record.Name())
	must(err)
	byRun := map[string]*workSpan{}
	var spans []*workSpan
	for line := range strings.Lines(string(data)) {
		if m := beginLine.FindStringSubmatch(line); m != nil {
			at, _ := strconv.ParseFloat(m[1], 64)
			s := &workSpan{id: m[3], worker: m[2], run: strings.TrimSuffix(m[4], ","), from: at, to: time.Since(l.started).Seconds()}
			byRun[s.run] = s
			spans = append(spans, s)
		} else if m := endLine.FindStringSubmatch(line); m != nil && byRun[m[2]] != nil {
			byRun[m[2]].to, _ = strconv.ParseFloat(m[1], 64)
		}
	}
	n := 0
	for _, a := range spans {
		for _, b := range spans {
			if a.id == b.id && a.worker != b.worker && a.from < b.from && a.to-b.from > overlapBound {
				n++
				l.logf("TWICE: %s goes on at %s as %s from %.3f, and %s works on it as %s until %.3f, %.0f ms later", a.id, b.worker, b.run, b.from, a.worker, a.run, a.to, (a.to-b.from)*1000)
			}
		}
	}
	l.logf("%d runs, %d of them worked on beside the one that followed", len(spans), n)
	fmt.Printf("%d runs, %d of them worked on beside the one that followed\n", len(spans), n)
	return n
}
