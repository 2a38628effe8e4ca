package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack/internal/btcapacity"
)

// scenarioLimit bounds one scenario, and waitDelay the end of its processes.
const (
	scenarioLimit = 2 * time.Minute
	waitDelay     = 5 * time.Second
)

// samplesFile holds one sample per line.
const samplesFile = "samples.jsonl"

// runAll runs the scenarios and adds their samples to the samples in DIR.
func runAll(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	only := flags.String("only", "", "sweep to run: daemons, upstreams, workspaces, changes, hosts, design, streams")
	repeats := flags.Int("repeats", 2, "runs of each scenario")
	seconds := flags.Int("seconds", 8, "measured time of each run")
	if err := flags.Parse(args); err != nil {
		return err
	}
	dir := flags.Arg(0)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, samplesFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	for range *repeats {
		for _, s := range btcapacity.Scenarios(*only) {
			s.Seconds = *seconds
			sample, err := one(ctx, s)
			if err != nil {
				return errors.Wrapf(err, "%+v", s)
			}
			if err := json.NewEncoder(out).Encode(sample); err != nil {
				return err
			}
			fmt.Println(sample.Line())
		}
	}
	return report(dir)
}

// one runs a scenario in two processes of its own.
func one(ctx context.Context, s btcapacity.Scenario) (btcapacity.Sample, error) {
	var sample btcapacity.Sample
	ctx, cancel := context.WithTimeout(ctx, scenarioLimit)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return sample, err
	}
	scenario, err := json.Marshal(s)
	if err != nil {
		return sample, err
	}
	backend := exec.CommandContext(ctx, self, "backend", string(scenario))
	backend.Stderr, backend.WaitDelay = os.Stderr, waitDelay
	input, err := backend.StdinPipe()
	if err != nil {
		return sample, err
	}
	output, err := backend.StdoutPipe()
	if err != nil {
		return sample, err
	}
	if err := backend.Start(); err != nil {
		return sample, err
	}
	defer func() {
		_ = input.Close()
		_ = backend.Wait()
	}()
	if !bufio.NewScanner(output).Scan() {
		return sample, errors.New("backend has not started")
	}
	fleet := exec.CommandContext(ctx, self, "fleet", string(scenario))
	fleet.Stderr, fleet.WaitDelay = os.Stderr, waitDelay
	data, err := fleet.Output()
	if err != nil {
		return sample, err
	}
	return sample, json.Unmarshal(data, &sample)
}

func report(dir string) error {
	data, err := os.ReadFile(filepath.Join(dir, samplesFile))
	if err != nil {
		return err
	}
	samples, err := btcapacity.DecodeSamples(data)
	if err != nil {
		return err
	}
	text := btcapacity.Report(samples)
	fmt.Print(text)
	return os.WriteFile(filepath.Join(dir, "slopes.txt"), []byte(text), 0o644)
}
