package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	err := newRootCommand(os.Stdout, log).ParseAndRun(ctx, os.Args[1:])
	stop()
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(2)
	}
	if err != nil {
		log.Error().Err(err).Msg("stopped")
		os.Exit(1)
	}
}

func newRootCommand(out io.Writer, log zerolog.Logger) *ffcli.Command {
	return &ffcli.Command{
		Name:       "bramleytack-standin",
		ShortUsage: "bramleytack-standin <subcommand> [flags]",
		ShortHelp:  "Run a simulated platform, model engine or plain service, or send load.",
		FlagSet:    flag.NewFlagSet("bramleytack-standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			newPlatformCommand(out, log),
			newEngineCommand(out, log),
			newServiceCommand(out, log),
			newLoadCommand(out),
		},
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}
