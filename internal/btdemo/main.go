package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"

	"bramleytack/bttimer"
	"bramleytack/internal/btfleet"
)

// timerSeed seeds the timer service, whose alarms have no jitter here.
const timerSeed = 1

// options are the flags of the program.
type options struct {
	once  bool
	serve string
	work  string
}

func main() {
	var o options
	flag.BoolVar(&o.once, "once", false, "run the demonstration and exit")
	flag.StringVar(&o.serve, "serve", "", "leave the fleet running and write how to reach it to this directory")
	flag.StringVar(&o.work, "work", "", "directory of this run, removed at the end unless the run failed")
	flag.Parse()
	if o.once == (o.serve != "") || o.work == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: scripts/demo --once | --serve DIR")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "demo: FAILED: %v\nlogs are in %s\n", err, o.work)
		os.Exit(1)
	}
	_ = os.RemoveAll(o.work)
}

func run(ctx context.Context, o options) error {
	bin, err := btfleet.Build(ctx, filepath.Join(o.work, "bin"))
	if err != nil {
		return err
	}
	timers := bttimer.New(timerSeed)
	defer timers.Close()
	dir := filepath.Join(o.work, "fleet")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "demo: directory")
	}
	begin := timers.Now()
	fleet, err := btfleet.Start(ctx, btfleet.Config{Bin: bin, Dir: dir, Timer: timers})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	if err := fleet.Configure(ctx); err != nil {
		return err
	}
	d := &demo{Fleet: fleet, out: os.Stdout, begin: begin}
	d.say("%d processes run: platform, %d engines, %d services, %d daemons over %d failure domains",
		len(fleet.Processes()), len(fleet.Engines), len(fleet.Services), len(fleet.Daemons), len(btfleet.Domains))
	if o.once {
		return d.run(ctx)
	}
	return d.serve(ctx, o.serve)
}
