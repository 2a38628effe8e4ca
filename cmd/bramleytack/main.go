package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack"
	"bramleytack/bttimer"
)

// seed of the timer service. The program takes no jitter from it.
const seed = 1

// envPrefix is the prefix of environment variables.
const envPrefix = "BRAMLEYTACK"

func main() { os.Exit(start()) }

func start() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	timers := bttimer.New(seed)
	defer timers.Close()
	a := &app{in: os.Stdin, out: os.Stdout, log: os.Stderr, timer: timers}
	return a.run(ctx, os.Args[1:])
}

// app holds what the commands share.
type app struct {
	in    io.Reader
	out   io.Writer
	log   io.Writer
	timer bramleytack.Timer
}

// run runs one command line and returns the exit status.
func (a *app) run(ctx context.Context, args []string) int {
	err := a.parseAndRun(ctx, args)
	a.report(err)
	return exitOf(err)
}

func (a *app) parseAndRun(ctx context.Context, args []string) error {
	root := a.root()
	err := root.Parse(args)
	var noExec ffcli.NoExecError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return nil
	case errors.As(err, &noExec):
		root.FlagSet.Usage()
		return usage("a command is required")
	case err != nil:
		return usage("%v", err)
	}
	return root.Run(ctx)
}

func (a *app) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "bramleytack",
		ShortUsage: "bramleytack COMMAND [flags] [arguments]",
		ShortHelp:  "Operates and calls a deployment of bramleytack.",
		FlagSet:    a.flagSet("bramleytack"),
		Subcommands: []*ffcli.Command{
			a.apply(), a.get(), a.diff(), a.delete(), a.drain(), a.returnDomain(), a.status(), a.dump(), a.fleet(), a.rollouts(),
			a.validate(), a.generate(), a.call(), a.hashKey(), a.certificates(),
		},
	}
}

func (a *app) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.log)
	return fs
}

// command returns a command whose flags can be set by the environment and the
// configuration file.
func command(fs *flag.FlagSet, args, help string, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       fs.Name(),
		ShortUsage: fmt.Sprintf("bramleytack %s [flags] %s", fs.Name(), args),
		ShortHelp:  help,
		FlagSet:    fs,
		Options: []ff.Option{
			ff.WithEnvVarPrefix(envPrefix),
			ff.WithConfigFileFlag("config"),
			ff.WithConfigFileParser(parseConfig),
		},
		Exec: exec,
	}
}
