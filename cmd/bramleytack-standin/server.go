package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bramleytack/internal/btfault"
)

const (
	// shutdownTime is how long requests may take to end after a signal.
	shutdownTime = time.Second
	// headerTime bounds the reading of a request header.
	headerTime = 10 * time.Second
	debugPath  = "/debug/"
)

// system is a simulated system.
type system interface {
	Handler() http.Handler
	Faults() *btfault.Switch
}

// ready is the line that tells the addresses of a running server.
type ready struct {
	Listening netip.AddrPort  `json:"listening"`
	Debug     *netip.AddrPort `json:"debug,omitempty"`
}

// server serves one simulated system.
type server struct {
	listen netip.AddrPort
	debug  netip.AddrPort
	out    io.Writer
	log    zerolog.Logger
}

func (s *server) flags(fs *flag.FlagSet) {
	fs.TextVar(&s.listen, "listen", netip.MustParseAddrPort("127.0.0.1:0"), "address and port, where port 0 takes a free one")
	fs.TextVar(&s.debug, "debug-listen", netip.AddrPort{}, "second address for the paths under /debug/")
}

// serve runs until the context ends.
func (s *server) serve(ctx context.Context, sys system) error {
	l, err := listen(s.listen)
	if err != nil {
		return err
	}
	line := ready{Listening: addrOf(l)}
	servers := []*http.Server{s.start(sys.Faults().Listen(l), sys.Handler())}
	if s.debug.IsValid() {
		d, err := listen(s.debug)
		if err != nil {
			return errors.CombineErrors(err, stop(servers))
		}
		addr := addrOf(d)
		line.Debug = &addr
		servers = append(servers, s.start(d, debugOnly(sys.Handler())))
	}
	if err := json.NewEncoder(s.out).Encode(line); err != nil {
		return errors.CombineErrors(err, stop(servers))
	}
	s.log.Info().Stringer("listening", line.Listening).Msg("ready")
	<-ctx.Done()
	s.log.Info().Msg("stopping")
	return stop(servers)
}

func (s *server) start(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	go s.run(srv, l)
	return srv
}

func (s *server) run(srv *http.Server, l net.Listener) {
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error().Err(err).Msg("server failed")
	}
}

// stop lets requests end for a short time and then closes all connections.
func stop(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	var err error
	for _, srv := range servers {
		if srv.Shutdown(ctx) != nil {
			err = errors.CombineErrors(err, srv.Close())
		}
	}
	return err
}

func debugOnly(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, debugPath) {
			http.NotFound(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}

func addrOf(l net.Listener) netip.AddrPort {
	a := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
