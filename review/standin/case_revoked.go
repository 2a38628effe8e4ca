package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// configBound is config_ms.
	configBound = 2 * time.Second
	// silence is how long the store is silent for the daemons that read the configuration.
	silence      = 5 * time.Second
	fleetSize    = 9
	silentShare  = 3
	probeSpacing = 40 * time.Millisecond
)

// plainWorker is a stand-in of a worker of a plain service.
type plainWorker struct {
	l    *lab
	id   string
	runs atomic.Int64
}

func (o *plainWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.Header.Get("Expect-Instance") != o.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o.l.logf("worker %s runs %s for tenant %q", o.id, r.Header.Get("Attempt-Id"), r.Header.Get("Tenant"))
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("Server-Seal", fmt.Sprintf("seal-%s#%d", o.id, o.runs.Add(1)))
	w.Header().Set("Server-Load", "1,0,6")
	_, _ = io.WriteString(w, "run for tenant "+r.Header.Get("Tenant"))
}

// check sends a request with a key and returns the status and whether a worker has run it.
func check(d *daemon, id, key string) (status int, run bool, err error) {
	c, err := net.DialTimeout("tcp4", d.entry, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "GET /stock/%s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer %s\r\n\r\n", id, id, key)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Server-Seal") != "", err
}

// splitReaders returns the daemons that poll the configuration now and the others.
func (l *lab) splitReaders() (readers, others []*daemon) {
	for _, d := range l.daemons {
		if d.door.watchAge("config") < 3*time.Second && len(readers) < silentShare {
			readers = append(readers, d)
		} else {
			others = append(others, d)
		}
	}
	return readers, others
}

// caseRevoked takes a key away from a tenant right after the store has become silent for
// three of nine daemons, those that read the configuration for the others. The other
// daemons must reject the key after config_ms.
func caseRevoked(l *lab) bool {
	l.configureKeys(7, 34228, "key-1", "key-2")
	born := time.Now().UnixMilli()
	var addrs []string
	for i, zone := range []string{"qld-a", "qld-b", "qld-c"} {
		s, err := net.Listen("tcp4", l.ip(100+i)+":0")
		must(err)
		id := fmt.Sprintf("o-%d", i+1)
		go func() { _ = http.Serve(s, &plainWorker{l: l, id: id}) }()
		addrs = append(addrs, s.Addr().String())
		l.register(id, "counter-app", addrs[i], zone, "ready", 6, born)
	}
	l.startDaemons(fleetSize)
	time.Sleep(6 * time.Second)

	// Planned work: a zone is emptied, its worker drains, and key-3 is added.
	readers, calm := l.splitReaders()
	l.store.put("evacuations", "qld-c", map[string]any{})
	l.register("o-3", "counter-app", addrs[2], "qld-c", "draining", 6, born)
	l.configureKeys(9, 34228, "key-1", "key-2", "key-3")
	l.logf("qld-c is evacuated, o-3 drains, version 9 is acknowledged, key-3 is new")
	time.Sleep(100 * time.Millisecond)
	for _, d := range readers {
		l.logf("%s reads the store", d.name)
	}
	if l.trouble {
		for _, d := range readers {
			d.door.silent.Store(true)
		}
		l.logf("the store is silent for these %d of %d daemons", len(readers), fleetSize)
	}
	time.Sleep(50 * time.Millisecond)
	l.configureKeys(12, 34228, "key-1", "key-3")
	acknowledged := time.Now()
	l.logf("version 12 is acknowledged, key-2 is gone")

	var wg sync.WaitGroup
	var late, probes atomic.Int64
	var latest atomic.Int64
	for i, d := range calm {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(acknowledged) < silence+2*time.Second; n++ {
				id := fmt.Sprintf("%08d%08d", i, n)
				after := time.Since(acknowledged)
				status, run, err := check(d, id, "key-2")
				probes.Add(1)
				l.logf("client sends %s with key-2 to %s %d ms after the acknowledgement: status %d, run %v, error %v", id, d.name, after.Milliseconds(), status, run, err)
				if run && after > configBound {
					late.Add(1)
					latest.Store(max(latest.Load(), after.Milliseconds()))
					l.logf("CONFIG: %s ran with a key that was taken away %d ms before", id, after.Milliseconds())
				}
				time.Sleep(probeSpacing)
			}
		}()
	}
	time.Sleep(silence)
	for _, d := range readers {
		d.door.silent.Store(false)
	}
	wg.Wait()
	for _, d := range calm {
		status, run, err := check(d, "last", "key-1")
		l.logf("%s with key-1: status %d, run %v, error %v", d.name, status, run, err)
		if !run {
			panic(errSetup{fmt.Errorf("%s does not serve key-1", d.name)})
		}
	}
	l.logf("%d requests, %d ran later than %v after the acknowledgement, the last %d ms after it", probes.Load(), late.Load(), configBound, latest.Load())
	fmt.Printf("%d requests, %d ran later than %v after the acknowledgement, the last %d ms after it\n", probes.Load(), late.Load(), configBound, latest.Load())
	return late.Load() > 0
}
