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

// Certificates are the files of a host's certificate, its key and the
// authority that signs all hosts. The certificate has one DNS name, the host
// id. The files are read again when they changed, for new links.
type Certificates struct {
	CertFile string
	KeyFile  string
	CAFile   string

	mu     sync.Mutex
	stamps [3]stamp
	cert   tls.Certificate
	pool   *x509.CertPool
}

// stamp identifies a state of a file.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files if they changed. While they cannot be read, the former
// state stays in use. It fails if there is none.
func (c *Certificates) Load() (tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamps, err := c.stat()
	if err == nil && (c.pool == nil || stamps != c.stamps) {
		err = c.read(stamps)
	}
	if c.pool == nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "btpeer: certificates")
	}
	return c.cert, c.pool, nil
}

func (c *Certificates) stat() ([3]stamp, error) {
	var stamps [3]stamp
	for i, name := range []string{c.CertFile, c.KeyFile, c.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, err
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func (c *Certificates) read(stamps [3]stamp) error {
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
		return errors.New("btpeer: no certificate of an authority")
	}
	c.cert, c.pool, c.stamps = cert, pool, stamps
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
		// Resumption would keep a peer's old certificate in use.
		SessionTicketsDisabled: true,
	}, nil
}

// errInsecure is returned for a node with neither Certificates nor AllowPlaintext.
var errInsecure = errors.New("btpeer: no certificates, and plain links are not allowed")

// client secures a dialed connection and checks that the peer is host.
func (n *Node) client(ctx context.Context, c net.Conn, host bramleytack.HostID) (net.Conn, error) {
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

// server secures an accepted connection and returns the peer's host.
func (n *Node) server(ctx context.Context, c net.Conn) (net.Conn, bramleytack.HostID, error) {
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
		return nil, "", errors.Newf("btpeer: certificate of a peer has %d names", len(names))
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
	return within(ctx, c, func() error {
		_, err := c.Write(data)
		return err
	})
}

func (n *Node) readName(ctx context.Context, c net.Conn) (bramleytack.HostID, error) {
	if !n.AllowPlaintext {
		return "", errInsecure
	}
	var m btwire.Member
	err := within(ctx, c, func() error { return readFrame(c, &m, maxEnvelopeBytes) })
	return bramleytack.HostID(m.GetHost()), err
}

// within does f with the context's deadline on the connection.
func within(ctx context.Context, c net.Conn, f func() error) error {
	if end, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(end); err != nil {
			return err
		}
	}
	if err := f(); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}
