package btupstream

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// slowConn returns from a write only after a while.
type slowConn struct {
	net.Conn
	writing chan struct{}
	delay   time.Duration
}

func (c *slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	select {
	case c.writing <- struct{}{}:
	default:
	}
	time.Sleep(c.delay)
	return n, err
}

// A caller cancels a call while its connection writes the request. Guards against the outcome
// NotRun for a request that reaches the upstream afterwards.
func TestCallCanceledDuringWriteIsNotRunOnlyIfUnsent(t *testing.T) {
	for range 20 {
		u, requests := upstream(t, bramleytack.KindService, "SILENT")
		ctx, cancel := context.WithCancel(t.Context())
		writing := make(chan struct{}, 1)
		s, err := NewPool(Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return &slowConn{Conn: c, writing: writing, delay: 20 * time.Millisecond}, err
		}}).Service(u)
		assert.NilError(t, err)
		go func() {
			<-writing
			cancel()
		}()
		_, err = s.Call(ctx, serviceCall("a"))
		outcome := bramleytack.AsError(err).Outcome
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, outcome != bramleytack.NotRun || requests.Load() == 0, "outcome %v, %d requests arrived", outcome, requests.Load())
	}
}
