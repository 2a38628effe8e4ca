package btupstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes written to a connection and sets a read
// deadline.
type countingConn struct {
	net.Conn
	written *atomic.Int64
	// readTimeout bounds one read. Zero means no limit.
	readTimeout time.Duration
	// readDeadline is the current read deadline. Only Read uses it, which one
	// goroutine calls at a time.
	readDeadline time.Time
}

// Write counts the bytes that the kernel accepted, also in a write that fails. All count while
// they are written: the upstream may answer before the write returns.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	return n, err
}

// Read waits at least readTimeout and at most a quarter longer. The deadline is
// extended only when less than readTimeout remains, since extending it for each
// token costs more than the rest of the read.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.readTimeout <= 0 {
		return c.Conn.Read(p)
	}
	if now := time.Now(); c.readDeadline.Sub(now) < c.readTimeout {
		c.readDeadline = now.Add(c.readTimeout + c.readTimeout/4)
		if err := c.SetReadDeadline(c.readDeadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// pollConn reports when the connection fails or the other end closes it.
type pollConn struct {
	net.Conn
	onLost func()
	closed atomic.Bool
	once   sync.Once
}

// Read calls onLost on the first error unless this end closed the connection.
// The transport always has a read pending, also between two load reports, so a
// loss is noticed at once.
func (c *pollConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !c.closed.Load() {
		c.once.Do(c.onLost)
	}
	return n, err
}

// Close marks the connection as closed by this end.
func (c *pollConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
