package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// busyListener is the listener of an engine. While the path to the engine is cut it accepts
// no connections and its queue of new connections is full, so that the kernel drops the
// opening packets of others.
type busyListener struct {
	net.Listener
	mu sync.Mutex
}

// listenShort listens with the shortest queue of new connections.
func listenShort(addr string) (*busyListener, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	l, err := net.FileListener(f)
	return &busyListener{Listener: l}, err
}

// Accept waits until the path is back.
func (b *busyListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	b.mu.Lock()
	defer b.mu.Unlock()
	return c, err
}

// busy fills the queue of new connections and accepts none for some time.
func (b *busyListener) busy(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := time.Now().Add(d)
	for range 4 {
		go func() {
			c, err := (&net.Dialer{Deadline: until}).Dial("tcp4", b.Addr().String())
			if err == nil {
				time.Sleep(time.Until(until))
				c.Close()
			}
		}()
	}
	time.Sleep(time.Until(until))
}

// transfer is the time for which a move takes, queued behind the others of the engine.
// cutAfter is the time from the first move until the engine is cut off.
const (
	transfer = 420 * time.Millisecond
	cutAfter = 30 * time.Millisecond
)

// cutOff is the part of an engine that is cut off from one daemon for a while: runs for its
// callers send nothing and new connections are not accepted. Ids that begin with "a" are
// those of this daemon's callers.
type cutOff struct {
	length time.Duration
	once   sync.Once
	gate   sync.RWMutex
}

// pass waits while the path to the daemon of a request is cut.
func (c *cutOff) pass(id string) {
	if id[0] != 'a' {
		return
	}
	c.gate.RLock()
	defer c.gate.RUnlock()
}

func (c *cutOff) run(e *engine) {
	time.Sleep(cutAfter)
	fmt.Printf("worker %s has lost the path to a daemon for %v\n", e.id, c.length)
	c.gate.Lock()
	defer c.gate.Unlock()
	e.listener.busy(c.length)
	fmt.Printf("worker %s has the path again\n", e.id)
}

// move copies a run to another engine.
func (e *engine) move(w http.ResponseWriter, id, target string) {
	if e.cut.length > 0 {
		e.cut.once.Do(func() { go e.cut.run(e) })
	}
	fmt.Printf("worker %s moves %s to %s\n", e.id, id, target)
	time.Sleep(transfer)
	e.cut.pass(id)
	fmt.Printf("worker %s has copied %s to %s\n", e.id, id, target)
	answer(w, http.StatusOK, map[string]any{"handle": "h-" + id, "created_rev": 1, "born": e.born})
}
