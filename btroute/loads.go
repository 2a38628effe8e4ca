package btroute

import (
	"sync"

	"bramleytack"
)

// Load is what the entry knows of an upstream's load.
type Load struct {
	// InFlight counts the entry's own requests on the upstream.
	InFlight int
}

// Loads holds the load of upstreams. The zero value is ready for use.
type Loads struct {
	mu        sync.Mutex
	upstreams map[bramleytack.UpstreamID]*Load
}

// Load returns the load of an upstream.
func (l *Loads) Load(id bramleytack.UpstreamID) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.upstreams[id]; ok {
		return *u
	}
	return Load{}
}

func (l *Loads) start(id bramleytack.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.upstreams == nil {
		l.upstreams = make(map[bramleytack.UpstreamID]*Load)
	}
	u, ok := l.upstreams[id]
	if !ok {
		u = &Load{}
		l.upstreams[id] = u
	}
	u.InFlight++
}

func (l *Loads) end(id bramleytack.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, ok := l.upstreams[id]; ok && u.InFlight > 0 {
		u.InFlight--
	}
}
