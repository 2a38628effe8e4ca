package main

import (
	"context"
	"flag"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack/bttimer"
	"bramleytack/internal/btload"
)

// entryList is a flag that can be given more than once.
type entryList []netip.AddrPort

// String returns the addresses, separated by commas.
func (l *entryList) String() string {
	names := make([]string, 0, len(*l))
	for _, a := range *l {
		names = append(names, a.String())
	}
	return strings.Join(names, ",")
}

// Set adds addresses, separated by commas.
func (l *entryList) Set(s string) error {
	for name := range strings.SplitSeq(s, ",") {
		a, err := netip.ParseAddrPort(name)
		if err != nil {
			return errors.Wrap(err, "entry address")
		}
		*l = append(*l, a)
	}
	return nil
}

func newLoadCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	l := &btload.Load{}
	fs.Var((*entryList)(&l.Entries), "entry", "entry addresses, separated by commas, may be repeated")
	keyFile := fs.String("key-file", "", "file with the API key")
	all := fs.Bool("all-complete", false, "fail unless each request is complete")
	loadFlags(fs, l)
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "bramleytack-standin load [flags]",
		ShortHelp:  "Send load to a deployment and check what comes back.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			key, err := os.ReadFile(*keyFile)
			if err != nil {
				return errors.Wrap(err, "API key")
			}
			if len(l.Entries) == 0 {
				return errors.New("no entry is given")
			}
			l.Key = strings.TrimSpace(string(key))
			timers := bttimer.New(timerSeed)
			defer timers.Close()
			l.Timer = timers
			report := l.Run(ctx)
			report.Print(out)
			if *all {
				return report.AllComplete()
			}
			return report.Err()
		},
	}
}

func loadFlags(fs *flag.FlagSet, l *btload.Load) {
	fs.IntVar(&l.Streams, "streams", 0, "number of generations")
	fs.IntVar(&l.Orders, "orders", 0, "number of orders")
	fs.StringVar(&l.Model, "model", "crease-lm", "model of the generations")
	fs.IntVar(&l.Tokens, "tokens", 100, "length of a generation")
	fs.StringVar(&l.Service, "service", "counter-app", "plain service of the orders")
	fs.StringVar(&l.Prefix, "prefix", "", "start of all idempotency keys, a new one for each run")
	fs.StringVar(&l.Priority, "priority", "", "priority of the generations")
	fs.IntVar(&l.Concurrency, "concurrency", btload.DefaultConcurrency, "requests in flight")
	fs.DurationVar(&l.Limit, "limit", btload.DefaultLimit, "longest duration of the run")
	fs.DurationVar(&l.Stall, "stall", btload.DefaultStall, "time between two tokens that counts as a stall")
}
