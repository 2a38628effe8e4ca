package btpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btwire"
)

// Certificates names the files of a host's certificate, its key and the CA that
// signs the certificates of all hosts. The certificate has one DNS name, the
// host id. Changed files are read again and take effect for new links. It is
// safe for concurrent use.
type Certificates struct {
	CertFile string
	KeyFile  string
	CAFile   string

	mu       sync.Mutex
	versions [3]fileVersion
	cert     tls.Certificate
	pool     *x509.CertPool
}

// fileVersion is compared to detect that a file changed.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Load returns the host's certificate and the CA pool. It reads the files if
// they changed. If that fails, it returns the last certificates that it read; it
// returns an error only if there are none.
func (c *Certificates) Load() (tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions, err := c.stat()
	if err == nil && (c.pool == nil || versions != c.versions) {
		err = c.read(versions)
	}
	if c.pool == nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "btpeer: certificates")
	}
	return c.cert, c.pool, nil
}

func (c *Certificates) stat() ([3]fileVersion, error) {
	var versions [3]fileVersion
	for i, name := range []string{c.CertFile, c.KeyFile, c.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return versions, err
		}
		versions[i] = fileVersion{info.ModTime(), info.Size()}
	}
	return versions, nil
}

func (c *Certificates) read(versions [3]fileVersion) error {
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return err
	}
	ca, err := os.ReadFile(c.CAFile)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return errors.New("btpeer: CA file has no certificate")
	}
	c.cert, c.pool, c.versions = cert, pool, versions
	return nil
}

func (c *Certificates) config() (*tls.Config, error) {
	cert, pool, err := c.Load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A resumed session would keep using the peer's old certificate.
		SessionTicketsDisabled: true,
	}, nil
}

// errInsecure is returned for a node with neither Certificates nor AllowPlaintext.
var errInsecure = errors.New("btpeer: no certificates, and plaintext links are not allowed")

// secureOutbound does the TLS handshake on a dialed connection and checks that
// the peer is host. Without TLS it only sends this node's host.
func (n *Node) secureOutbound(ctx context.Context, c net.Conn, host bramleytack.HostID) (net.Conn, error) {
	if n.Certificates == nil {
		return c, n.sendName(ctx, c)
	}
	cfg, err := n.Certificates.config()
	if err != nil {
		return nil, err
	}
	cfg.ServerName = string(host)
	secured := tls.Client(c, cfg)
	return secured, errors.Wrap(secured.HandshakeContext(ctx), "btpeer: handshake")
}

// secureInbound does the TLS handshake on an accepted connection and returns the
// peer's host. Without TLS the peer sends its host.
func (n *Node) secureInbound(ctx context.Context, c net.Conn) (net.Conn, bramleytack.HostID, error) {
	if n.Certificates == nil {
		host, err := n.readName(ctx, c)
		return c, host, err
	}
	cfg, err := n.Certificates.config()
	if err != nil {
		return nil, "", err
	}
	secured := tls.Server(c, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, "", errors.Wrap(err, "btpeer: handshake")
	}
	names := secured.ConnectionState().PeerCertificates[0].DNSNames
	if len(names) != 1 {
		return nil, "", errors.Newf("btpeer: peer certificate has %d DNS names, not 1", len(names))
	}
	return secured, bramleytack.HostID(names[0]), nil
}

func (n *Node) sendName(ctx context.Context, c net.Conn) error {
	if !n.AllowPlaintext {
		return errInsecure
	}
	data, err := appendFrame(nil, &btwire.Member{Host: string(n.Host)}, maxEnvelopeBytes)
	if err != nil {
		return err
	}
	return withDeadline(ctx, c, func() error {
		_, err := c.Write(data)
		return err
	})
}

func (n *Node) readName(ctx context.Context, c net.Conn) (bramleytack.HostID, error) {
	if !n.AllowPlaintext {
		return "", errInsecure
	}
	var m btwire.Member
	err := withDeadline(ctx, c, func() error { return readFrame(c, &m, maxEnvelopeBytes) })
	return bramleytack.HostID(m.GetHost()), err
}

// withDeadline calls f while the connection has the deadline of ctx.
func withDeadline(ctx context.Context, c net.Conn, f func() error) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if err := f(); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}
