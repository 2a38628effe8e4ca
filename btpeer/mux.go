package btpeer

import (
	"context"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"bramleytack"
	"bramleytack/btwire"
)

// message is satisfied by pointers to generated message types.
type message[T any] interface {
	*T
	proto.Message
}

// handler reads a request message from r and returns the reply message.
type handler func(ctx context.Context, from bramleytack.HostID, r io.Reader) (proto.Message, error)

// Mux selects the handler of a request by its message type. The zero value is
// ready to use. It is safe for concurrent use.
type Mux struct {
	mu       sync.RWMutex
	handlers map[string]handler
}

// Handle registers the handler of a request type. A second registration of the
// same type replaces the first.
func Handle[Req, Resp any, PReq message[Req], PResp message[Resp]](
	m *Mux, f func(ctx context.Context, from bramleytack.HostID, r *Req) (*Resp, error),
) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlers == nil {
		m.handlers = map[string]handler{}
	}
	m.handlers[typeName(PReq(new(Req)))] = func(ctx context.Context, from bramleytack.HostID, r io.Reader) (proto.Message, error) {
		req := new(Req)
		if err := readFrame(r, PReq(req), MaxFrameBytes); err != nil {
			return nil, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "malformed message").WithCause(err)
		}
		resp, err := f(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return PResp(resp), nil
	}
}

func (m *Mux) handler(name string) (handler, bool) {
	if m == nil {
		return nil, false
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.handlers[name]
	return h, ok
}

func typeName(m proto.Message) string {
	return string(m.ProtoReflect().Descriptor().FullName())
}

// pong answers a Ping message. Nodes of this version send yamux pings instead.
func pong(_ context.Context, _ bramleytack.HostID, r io.Reader) (proto.Message, error) {
	var p btwire.Ping
	if err := readFrame(r, &p, maxEnvelopeBytes); err != nil {
		return nil, err
	}
	return &btwire.Pong{Sequence: p.GetSequence()}, nil
}
