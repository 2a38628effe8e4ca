package btupstream

import (
	"net"
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
}

// Write counts what was handed to the kernel, also in a failed write.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read waits at most the silence limit.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.silence > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}
