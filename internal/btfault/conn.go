package btfault

import (
	"io"
	"net"
	"sync/atomic"
)

// Listen applies the faults of connections to those that l accepts.
func (s *Switch) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, faults: s}
}

type listener struct {
	net.Listener
	faults *Switch
}

// Accept returns the next connection that is not to be reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.faults.refusesConnection() {
			return l.faults.track(c), nil
		}
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a connection that can become silent.
type conn struct {
	net.Conn
	faults *Switch
	frozen atomic.Bool
}

func (s *Switch) track(c net.Conn) *conn {
	t := &conn{Conn: c, faults: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[t] = struct{}{}
	return t
}

// Read returns nothing on a silent connection until the peer closes it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.frozen.Load() {
		return 0, c.drain()
	}
	return n, err
}

func (c *conn) drain() error {
	if _, err := io.Copy(io.Discard, c.Conn); err != nil {
		return err
	}
	return io.EOF
}

// Write discards what is written to a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection.
func (c *conn) Close() error {
	c.faults.mu.Lock()
	delete(c.faults.conns, c)
	c.faults.mu.Unlock()
	return c.Conn.Close()
}
