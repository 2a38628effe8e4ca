package btupstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes written to a connection and limits the time
// that one read may wait.
type countingConn struct {
	net.Conn
	written *atomic.Int64
	// silence is the longest wait of one read. Zero means no limit.
	silence time.Duration
	// deadline is the read deadline that is set. One goroutine reads.
	deadline time.Time
}

// Write counts what was handed to the kernel, also in a failed write.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read waits at least the silence limit and at most a quarter longer: setting
// the deadline anew for each token would cost more than the rest of the read.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.silence <= 0 {
		return c.Conn.Read(p)
	}
	if now := time.Now(); c.deadline.Sub(now) < c.silence {
		c.deadline = now.Add(c.silence + c.silence/4)
		if err := c.SetReadDeadline(c.deadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// pollConn tells when the other end closes the connection.
type pollConn struct {
	net.Conn
	lost   func()
	closed atomic.Bool
	once   sync.Once
}

// Read reports the loss unless this end closed the connection. The transport
// always reads, also between two reports.
func (c *pollConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !c.closed.Load() {
		c.once.Do(c.lost)
	}
	return n, err
}

// Close marks the connection as closed by this end.
func (c *pollConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
