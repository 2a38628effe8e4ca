package btpeer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/btwire"
	"bramleytack/internal/btmemnet"
)

var (
	addrA = netip.MustParseAddrPort("10.0.0.1:7")
	addrB = netip.MustParseAddrPort("10.0.0.2:7")
)

type pair struct {
	network *btmemnet.Network
	a, b    *Node
	runs    atomic.Int64
	unblock chan struct{}
	once    sync.Once
}

// withPair runs f in a synctest bubble with a node a that has a link to a node
// b.
func withPair(t *testing.T, name string, f func(t *testing.T, p *pair)) {
	t.Run(name, func(t *testing.T) {
		// yamux keeps timers in a sync.Pool. A timer must not be used in another
		// bubble; two collections empty the pool.
		runtime.GC()
		runtime.GC()
		synctest.Test(t, func(t *testing.T) {
			timers := bttimer.New(1)
			defer timers.Close()
			p := &pair{network: &btmemnet.Network{}, unblock: make(chan struct{})}
			p.a = p.node(timers, "a", addrA)
			p.b = p.node(timers, "b", addrB)
			Handle(p.b.Mux, p.release)
			ctx, cancel := context.WithCancel(t.Context())
			l := p.network.Listen(addrB)
			served := make(chan error, 1)
			go func() { served <- p.b.Serve(ctx, l) }()
			p.a.SetPeer("b", addrB)
			defer func() {
				p.unblockCalls()
				cancel()
				<-served
				p.a.Close()
				p.b.Close()
			}()
			f(t, p)
		})
	})
}

// unblockCalls lets the calls with the grant "block" return.
func (p *pair) unblockCalls() { p.once.Do(func() { close(p.unblock) }) }

func (p *pair) node(timers bramleytack.Timer, host bramleytack.HostID, addr netip.AddrPort) *Node {
	return &Node{
		Host: host, Timer: timers, AllowPlaintext: true, Mux: &Mux{},
		Dialer: btmemnet.Dialer{Network: p.network, From: addr.Addr()},
	}
}

func (p *pair) release(_ context.Context, from bramleytack.HostID, r *btwire.Release) (*btwire.ReleaseReply, error) {
	p.runs.Add(1)
	switch r.GetGrant() {
	case "refuse":
		return nil, bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full").WithRetryAfter(time.Second)
	case "block":
		// The reply must not race with the caller's deadline.
		<-p.unblock
	}
	return &btwire.ReleaseReply{Known: from == "a"}, nil
}

func (p *pair) call(t *testing.T, grant string, timeout time.Duration) (*btwire.ReleaseReply, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return Call[btwire.Release, btwire.ReleaseReply](ctx, p.a, "b", &btwire.Release{Grant: grant})
}

func (p *pair) link() LinkState { return p.a.Dump().(State).Links[0] }

func assertFails(t *testing.T, err error, code bramleytack.Code, o bramleytack.Outcome) {
	t.Helper()
	assert.Assert(t, err != nil)
	assert.Equal(t, bramleytack.AsError(err).Code, code, "%v", err)
	assert.Equal(t, bramleytack.OutcomeOf(err), o, "%v", err)
}

// Guards against errors that lose their code or outcome on the way to the
// caller, and against links that are not restored.
func TestCall(t *testing.T) {
	withPair(t, "a reply and the peer's name arrive", func(t *testing.T, p *pair) {
		r, err := p.call(t, "g", time.Second)
		assert.NilError(t, err)
		assert.Assert(t, r.GetKnown())
	})
	withPair(t, "an error keeps its code, outcome and retry delay", func(t *testing.T, p *pair) {
		_, err := p.call(t, "refuse", time.Second)
		assertFails(t, err, bramleytack.CodeOverloaded, bramleytack.NotRun)
		assert.Equal(t, bramleytack.AsError(err).RetryAfter, time.Second)
	})
	withPair(t, "an unknown type is not run", func(t *testing.T, p *pair) {
		_, err := Call[btwire.Adopt, btwire.AdoptReply](t.Context(), p.a, "b", &btwire.Adopt{})
		assertFails(t, err, bramleytack.CodeBadRequest, bramleytack.NotRun)
	})
	withPair(t, "an unknown peer is not run", func(t *testing.T, p *pair) {
		_, err := Call[btwire.Adopt, btwire.AdoptReply](t.Context(), p.a, "x", &btwire.Adopt{})
		assertFails(t, err, bramleytack.CodeNoUpstream, bramleytack.NotRun)
	})
	withPair(t, "a written request without a reply is unknown", func(t *testing.T, p *pair) {
		_, err := p.call(t, "block", time.Second)
		assertFails(t, err, bramleytack.CodeTimeout, bramleytack.Unknown)
		assert.Equal(t, p.runs.Load(), int64(1))
	})
	withPair(t, "a message over the limit is not run", func(t *testing.T, p *pair) {
		_, err := p.call(t, string(make([]byte, MaxFrameBytes+1)), time.Second)
		assertFails(t, err, bramleytack.CodeNoUpstream, bramleytack.NotRun)
		assert.Equal(t, p.runs.Load(), int64(0))
	})
	withPair(t, "a cut link is dialed again", func(t *testing.T, p *pair) {
		go func() {
			time.Sleep(100 * time.Millisecond)
			p.network.Cut(addrA.Addr(), addrB.Addr())
		}()
		_, err := p.call(t, "block", 2*time.Second)
		assertFails(t, err, bramleytack.CodeUpstreamFailed, bramleytack.Unknown)
		time.Sleep(time.Second)
		_, err = p.call(t, "g", time.Second)
		assert.NilError(t, err)
	})
	withPair(t, "a silent link is replaced after an unanswered heartbeat", func(t *testing.T, p *pair) {
		_, err := p.call(t, "g", time.Second)
		assert.NilError(t, err)
		p.network.Silence(addrA.Addr(), addrB.Addr())
		_, err = p.call(t, "g", time.Second)
		assertFails(t, err, bramleytack.CodeTimeout, bramleytack.Unknown)
		time.Sleep(pingPeriod + pingTimeout)
		_, err = p.call(t, "g", time.Second)
		assert.NilError(t, err)
		assert.Equal(t, p.link().Dialed, 2)
		time.Sleep(2 * inboundTimeout)
		assert.Equal(t, p.b.Dump().(State).Inbound, 1)
	})
	withPair(t, "a slow link delays calls and stays up", func(t *testing.T, p *pair) {
		_, err := p.call(t, "g", time.Second)
		assert.NilError(t, err)
		p.network.Slow(addrA.Addr(), addrB.Addr(), 50*time.Millisecond)
		_, err = p.call(t, "g", 5*time.Second)
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		assert.Equal(t, p.link().Dialed, 1)
	})
	withPair(t, "calls on a blocked path are not run and the link recovers", func(t *testing.T, p *pair) {
		_, err := p.call(t, "g", time.Second)
		assert.NilError(t, err)
		p.network.Block(addrB.Addr(), addrA.Addr(), true)
		time.Sleep(6 * time.Second)
		_, err = p.call(t, "g", time.Second)
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
		p.network.Block(addrB.Addr(), addrA.Addr(), false)
		time.Sleep(2*handshakeTimeout + maxBackoff)
		_, err = p.call(t, "g", time.Second)
		assert.NilError(t, err)
	})
	withPair(t, "calls over the limit of a link are rejected as not run", func(t *testing.T, p *pair) {
		for range maxInbound {
			go func() { _, _ = p.call(t, "block", time.Minute) }()
		}
		synctest.Wait()
		_, err := p.call(t, "g", time.Second)
		assertFails(t, err, bramleytack.CodeOverloaded, bramleytack.NotRun)
		time.Sleep(10 * time.Second)
		assert.Equal(t, p.link().Dialed, 1)
		p.unblockCalls()
		synctest.Wait()
		_, err = p.call(t, "g", time.Second)
		assert.NilError(t, err)
	})
	withPair(t, "links without TLS need AllowPlaintext", func(t *testing.T, _ *pair) {
		_, err := (&Node{Host: "c"}).secureOutbound(t.Context(), nil, "b")
		assert.ErrorIs(t, err, errInsecure)
	})
}

// authority signs host certificates for a test.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	return &authority{key: key, cert: tmpl, pem: encodePEM("CERTIFICATE", der)}
}

func (a *authority) issue(t *testing.T, dir, name string) *Certificates {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	c := &Certificates{
		CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca"),
	}
	assert.NilError(t, os.WriteFile(c.CertFile, encodePEM("CERTIFICATE", der), 0o600))
	assert.NilError(t, os.WriteFile(c.KeyFile, encodePEM("EC PRIVATE KEY", keyDER), 0o600))
	assert.NilError(t, os.WriteFile(c.CAFile, a.pem, 0o600))
	return c
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// connect returns both ends of a loopback connection. With net.Pipe, a side that
// sends an alert while the other side writes would block both.
func connect(t *testing.T) (dialed, accepted net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	dialed, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err = l.Accept()
	assert.NilError(t, err)
	return dialed, accepted
}

// Guards against links to or from a host whose certificate has another name or
// another CA, and against certificates that are not reloaded.
func TestCertificates(t *testing.T) {
	runtime.GC()
	runtime.GC()
	ca, other := newAuthority(t), newAuthority(t)
	handshake := func(t *testing.T, client, server *Certificates, name bramleytack.HostID) (bramleytack.HostID, error, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		c, s := connect(t)
		defer func() { _ = c.Close() }()
		type result struct {
			host bramleytack.HostID
			err  error
		}
		done := make(chan result, 1)
		go func() {
			defer func() { _ = s.Close() }()
			secured, host, err := (&Node{Certificates: server}).secureInbound(ctx, s)
			if err == nil {
				_, err = secured.Write([]byte{1})
			}
			done <- result{host, err}
		}()
		secured, err := (&Node{Certificates: client}).secureOutbound(ctx, c, name)
		if err == nil {
			_, err = secured.Read(make([]byte, 1))
		}
		_ = c.Close()
		r := <-done
		return r.host, err, r.err
	}
	a, b := ca.issue(t, t.TempDir(), "a"), ca.issue(t, t.TempDir(), "b")
	t.Run("both names are checked", func(t *testing.T) {
		host, err, serverErr := handshake(t, a, b, "b")
		assert.NilError(t, err)
		assert.NilError(t, serverErr)
		assert.Equal(t, host, bramleytack.HostID("a"))
	})
	t.Run("a server with another name is refused", func(t *testing.T) {
		_, err, _ := handshake(t, a, b, "c")
		assert.ErrorContains(t, err, "not c")
	})
	t.Run("a client of another authority is refused", func(t *testing.T) {
		_, _, err := handshake(t, other.issue(t, t.TempDir(), "a"), b, "b")
		assert.Assert(t, err != nil)
	})
	t.Run("changed files are read again", func(t *testing.T) {
		dir := filepath.Dir(a.CertFile)
		ca.issue(t, dir, "a2")
		later := time.Now().Add(time.Minute)
		assert.NilError(t, os.Chtimes(a.CertFile, later, later))
		host, err, _ := handshake(t, a, b, "b")
		assert.NilError(t, err)
		assert.Equal(t, host, bramleytack.HostID("a2"))
	})
	t.Run("unreadable files leave the former state in use", func(t *testing.T) {
		assert.NilError(t, os.Remove(a.KeyFile))
		_, err, _ := handshake(t, a, b, "b")
		assert.NilError(t, err)
	})
}
