package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// The figures of the crowd. The smallest machines have 112 MB and 4,100 descriptors.
const (
	crowdRequests = 400
	crowdLines    = 210
	crowdConns    = 600
)

// crowd has clients that the users do not control at daemon 0.
func crowd(f *fleet, trouble bool) (bool, error) {
	f.memory = 112
	f.store.put("config", "main", config(0, false))
	for _, z := range zones {
		f.startWorker(workerConfig{service: "orders", zone: z, slots: 6})
		f.startWorker(workerConfig{service: "lm", zone: z, slots: 24, engine: true})
		f.startWorker(workerConfig{service: "export", zone: z, slots: 200, work: 14 * time.Second})
	}
	if err := f.startDaemons(); err != nil {
		return false, err
	}
	c := newClients(f)
	c.only = true
	started := time.Now()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.each(40, started.Add(22*time.Second), func() { c.send(order, nil, 2500*time.Millisecond) })
	}()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.each(2, started.Add(18*time.Second), func() {
			c.send(guide, map[string]string{"Model": "m", "Token-Counts": "200,1000", "Prompt-Prefix": "aa:50,bb:150"}, 39*time.Second)
		})
	}()
	time.Sleep(8 * time.Second)
	done := make(chan struct{})
	if trouble {
		f.crowdOfRequests()
		time.Sleep(2 * time.Second)
		f.crowdOfHeads(done)
	}
	time.Sleep(12 * time.Second)
	close(done)
	c.wg.Wait()
	f.sayMemory()
	f.sayOrders(c)
	f.streams(c, 250)
	return f.judgeCut(c, 250) > 3, nil
}

// crowdOfRequests sends whole requests of legal size of very many short header lines.
func (f *fleet) crowdOfRequests() {
	var lines strings.Builder
	for i := range crowdLines {
		fmt.Fprintf(&lines, "x%d:1\r\n", i)
	}
	for i := range crowdRequests {
		go func() {
			conn, err := net.Dial("tcp4", f.entry(0))
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "GET /export/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: cafe%012x\r\nDeadline-Ms: 39000\r\n%s\r\n", i, lines.String())
			got, _ := io.ReadAll(io.LimitReader(conn, 12))
			f.rec.line("crowd: request %d of %d lines gets %q", i, crowdLines, got)
			// The connection is kept.
			_, _ = io.Copy(io.Discard, conn)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	f.rec.line("crowd: %d requests of %d header lines are sent", crowdRequests, crowdLines)
}

// crowdOfHeads keeps connections on which heads come without end, slowly.
func (f *fleet) crowdOfHeads(done chan struct{}) {
	var wg sync.WaitGroup
	for range crowdConns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				if f.endlessHead(done) {
					return
				}
			}
		}()
	}
	f.rec.line("crowd: %d connections with heads without end begin", crowdConns)
}

// endlessHead sends a head without end until it is refused. It reports whether the crowd has ended.
func (f *fleet) endlessHead(done chan struct{}) bool {
	conn, err := net.DialTimeout("tcp4", f.entry(0), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
	} else {
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /export/x HTTP/1.1\r\nHost: shop.example\r\n")
	}
	for {
		select {
		case <-done:
			return true
		case <-time.After(time.Duration(500+rand.IntN(500)) * time.Millisecond):
		}
		if err == nil {
			_, err = conn.Write(bytes.Repeat([]byte("y:1\r\n"), 2))
		}
		if err != nil {
			return false
		}
	}
}

// sayOrders tells how the orders of ordinary clients were answered.
func (f *fleet) sayOrders(c *clients) {
	byStatus := map[int]int{}
	for _, a := range c.answers {
		if a.path == order {
			byStatus[a.status]++
		}
	}
	f.rec.say("orders by status: %v", byStatus)
}

// sayMemory tells the most memory of daemon 0 so far.
func (f *fleet) sayMemory() {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmds[0].Process.Pid))
	for _, l := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(l, "VmHWM") || strings.HasPrefix(l, "VmRSS") {
			f.rec.say("daemon 0: %s", l)
		}
	}
}
