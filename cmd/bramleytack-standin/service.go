package main

import (
	"context"
	"crypto/rand"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btservice"
)

func newServiceCommand(out io.Writer, log zerolog.Logger) *ffcli.Command {
	fs := flag.NewFlagSet("service", flag.ContinueOnError)
	s := &server{out: out, log: log}
	opts := btservice.Options{Instance: "service", ColdFactor: 4, WarmAfter: 20, Exit: os.Exit}
	s.flags(fs)
	fs.Func("instance", "prefix of the instance id", func(s string) error {
		opts.Instance = bramleytack.InstanceID(s)
		return nil
	})
	fs.DurationVar(&opts.Work, "work", opts.Work, "time that a call takes")
	fs.IntVar(&opts.MaxCalls, "max-calls", opts.MaxCalls, "calls executed at a time, 0 for no bound")
	fs.IntVar(&opts.ColdLimit, "cold-limit", opts.ColdLimit, "calls that a cold service survives, 0 for a service that is never cold")
	fs.Float64Var(&opts.ColdFactor, "cold-factor", opts.ColdFactor, "factor of the work time of a cold service")
	fs.IntVar(&opts.WarmAfter, "warm-after", opts.WarmAfter, "completed calls that warm the service")
	fs.DurationVar(&opts.ColdGrace, "cold-grace", opts.ColdGrace, "time after an unannounced switch to cold without the cold limit")
	fs.DurationVar(&opts.ReportLag, "report-lag", opts.ReportLag, "age of load reports")
	return &ffcli.Command{
		Name:       "service",
		ShortUsage: "bramleytack-standin service [flags]",
		ShortHelp:  "Run a simulated plain service.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			opts.Instance = newInstance(opts.Instance)
			timers := bttimer.New(timerSeed)
			defer timers.Close()
			v := btservice.NewServer(opts, timers)
			defer v.Close()
			return s.serve(ctx, v)
		},
	}
}

// newInstance makes an id that no earlier process of the prefix had.
func newInstance(prefix bramleytack.InstanceID) bramleytack.InstanceID {
	const randomLength = 8
	return prefix + "-" + bramleytack.InstanceID(rand.Text()[:randomLength])
}
