package btfault

import (
	"net/http"
	"time"
)

// crossWait is how long a request waits for another one to swap answers with.
const crossWait = 2 * time.Second

// crossing is one of two requests that swap their answers.
type crossing struct {
	w       http.ResponseWriter
	partner chan *crossing
	done    chan struct{}
}

// cross answers r through the writer of another request and the other way
// round. Without another request in time, r is answered normally.
func (s *Switch) cross(w http.ResponseWriter, r *http.Request, next http.Handler) {
	c := &crossing{w: w, partner: make(chan *crossing, 1), done: make(chan struct{})}
	if p := s.pair(c, r); p != nil {
		c.swap(p, r, next)
		return
	}
	next.ServeHTTP(w, r)
}

// swap executes r and answers through the partner's writer, which is valid
// until the partner's handler returns.
func (c *crossing) swap(p *crossing, r *http.Request, next http.Handler) {
	defer func() {
		close(c.done)
		<-p.done
	}()
	next.ServeHTTP(p.w, r)
}

// pair returns the partner of c, or nil if none came in time.
func (s *Switch) pair(c *crossing, r *http.Request) *crossing {
	s.mu.Lock()
	p := s.waiting
	if p != nil {
		s.waiting = nil
		s.mu.Unlock()
		p.partner <- c
		return p
	}
	s.waiting = c
	s.mu.Unlock()
	return s.awaitPartner(c, r)
}

func (s *Switch) awaitPartner(c *crossing, r *http.Request) *crossing {
	limit := s.Timer.After(crossWait)
	defer limit.Stop()
	select {
	case p := <-c.partner:
		return p
	case <-limit.C():
	case <-r.Context().Done():
	}
	s.mu.Lock()
	alone := s.waiting == c
	if alone {
		s.waiting = nil
	}
	s.mu.Unlock()
	if alone {
		return nil
	}
	return <-c.partner
}
