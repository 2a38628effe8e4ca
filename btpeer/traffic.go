package btpeer

import (
	"cmp"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// unknownType counts all requests without a handler, so that a peer cannot add
// counters without limit by sending made-up type names.
const unknownType = "unknown"

// MessageCount is the traffic of one message type since the Node was created.
// The bytes include the envelope and the length prefixes.
type MessageCount struct {
	Type          string `json:"type"`
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sentBytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"receivedBytes"`
}

// Traffic is what a Node has sent and received since it was created.
type Traffic struct {
	Messages []MessageCount `json:"messages"`
	// SentBytes and ReceivedBytes count all bytes on the connections, including
	// those of TLS and yamux.
	SentBytes     uint64 `json:"sentBytes"`
	ReceivedBytes uint64 `json:"receivedBytes"`
}

// Traffic returns the current counts, with messages in the order of their types.
func (n *Node) Traffic() Traffic {
	t := Traffic{SentBytes: n.traffic.sentBytes.Load(), ReceivedBytes: n.traffic.receivedBytes.Load()}
	n.traffic.mu.RLock()
	defer n.traffic.mu.RUnlock()
	for name, c := range n.traffic.types {
		t.Messages = append(t.Messages, MessageCount{
			Type: name, Sent: c.sent.Load(), SentBytes: c.sentBytes.Load(),
			Received: c.received.Load(), ReceivedBytes: c.receivedBytes.Load(),
		})
	}
	slices.SortFunc(t.Messages, func(a, b MessageCount) int { return cmp.Compare(a.Type, b.Type) })
	return t
}

// traffic counts messages by type and the bytes of connections.
type traffic struct {
	sentBytes, receivedBytes atomic.Uint64

	mu    sync.RWMutex
	types map[string]*messageCounter
}

type messageCounter struct {
	sent, sentBytes, received, receivedBytes atomic.Uint64
}

func (t *traffic) counter(name string) *messageCounter {
	t.mu.RLock()
	c := t.types[name]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.types == nil {
		t.types = map[string]*messageCounter{}
	}
	if t.types[name] == nil {
		t.types[name] = &messageCounter{}
	}
	return t.types[name]
}

func (t *traffic) sent(m proto.Message, bytes int) {
	c := t.counter(typeName(m))
	c.sent.Add(1)
	c.sentBytes.Add(uint64(bytes))
}

// received counts a message, or the part of it that arrived.
func (t *traffic) received(name string, bytes int) {
	if bytes == 0 {
		return
	}
	c := t.counter(name)
	c.received.Add(1)
	c.receivedBytes.Add(uint64(bytes))
}

// countedReader counts the bytes that are read from a stream.
type countedReader struct {
	io.Reader
	bytes int
}

// Read implements io.Reader.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytes += n
	return n, err
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	total *traffic
	// received counts the bytes of this connection only.
	received atomic.Uint64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	c.total.receivedBytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.sentBytes.Add(uint64(n))
	return n, err
}
