package main

import (
	"context"
	"flag"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
	"bramleytack/internal/btplatform"
)

// timerSeed seeds the timer service, whose alarms have no jitter here.
const timerSeed = 1

// addrList is a flag that can be given more than once.
type addrList []netip.Addr

// String returns the addresses, separated by commas.
func (l *addrList) String() string {
	names := make([]string, 0, len(*l))
	for _, a := range *l {
		names = append(names, a.String())
	}
	return strings.Join(names, ",")
}

// Set adds an address.
func (l *addrList) Set(s string) error {
	a, err := netip.ParseAddr(s)
	if err != nil {
		return errors.Wrap(err, "host address")
	}
	*l = append(*l, a)
	return nil
}

func newPlatformCommand(out io.Writer, log zerolog.Logger) *ffcli.Command {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	s := &server{out: out, log: log}
	var (
		opts  btplatform.Options
		fault btmemstore.Fault
		hosts addrList
	)
	s.flags(fs)
	fs.IntVar(&opts.ReadsPerSecond, "reads-per-second", 0, "quota of reads, 0 for none")
	fs.IntVar(&opts.WritesPerSecond, "writes-per-second", 0, "quota of writes, 0 for none")
	fs.DurationVar(&opts.HostLag, "host-lag", 0, "time until a change of the host list shows")
	fs.DurationVar(&fault.Latency, "latency", 0, "time that each call takes")
	fs.Var(&hosts, "host", "address of a live host, may be repeated")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "bramleytack-standin platform [flags]",
		ShortHelp:  "Run a simulated platform.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			timers := bttimer.New(timerSeed)
			defer timers.Close()
			store := btmemstore.New()
			store.SetFault(fault)
			store.SetHosts(hostList(hosts, timers.Now()))
			return s.serve(ctx, btplatform.NewServer(opts, store, timers))
		},
	}
}

func hostList(addrs addrList, now time.Time) bramleytack.HostList {
	l := bramleytack.HostList{At: now}
	for _, a := range addrs {
		l.Hosts = append(l.Hosts, bramleytack.HostState{Addr: a})
	}
	return l
}
