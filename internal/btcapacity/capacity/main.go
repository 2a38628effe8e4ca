package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"bramleytack/internal/btcapacity"
)

var errUsage = errors.New("usage: capacity run [flags] DIR | report DIR")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	switch args[0] {
	case "run":
		return runAll(ctx, args[1:])
	case "report":
		return report(args[1])
	case "backend":
		return backend(ctx, args[1])
	case "fleet":
		return fleet(ctx, args[1])
	}
	return errUsage
}

// backend serves until its standard input ends.
func backend(ctx context.Context, scenario string) error {
	var s btcapacity.Scenario
	if err := json.Unmarshal([]byte(scenario), &s); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return btcapacity.RunBackend(ctx, s, func() { fmt.Println("ready") })
}

// fleet prints the sample of a scenario.
func fleet(ctx context.Context, scenario string) error {
	var s btcapacity.Scenario
	if err := json.Unmarshal([]byte(scenario), &s); err != nil {
		return err
	}
	sample, err := btcapacity.Measure(ctx, s)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(sample)
}
