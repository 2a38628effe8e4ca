package main

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btengine"
)

// modelList is a flag that can be given more than once.
type modelList []bramleytack.LoadedModel

// String returns the models as they are given.
func (l *modelList) String() string {
	names := make([]string, 0, len(*l))
	for _, m := range *l {
		name := m.Model + "@" + m.Version
		if m.Adapter != "" {
			name += "+" + m.Adapter
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}

// Set adds a model in the form model@version or model@version+adapter.
func (l *modelList) Set(s string) error {
	model, rest, ok := strings.Cut(s, "@")
	version, adapter, _ := strings.Cut(rest, "+")
	if !ok || model == "" || version == "" {
		return errors.Newf("model %q is not of the form model@version[+adapter]", s)
	}
	*l = append(*l, bramleytack.LoadedModel{Model: model, Version: version, Adapter: adapter})
	return nil
}

func newEngineCommand(out io.Writer, log zerolog.Logger) *ffcli.Command {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	s := &server{out: out, log: log}
	opts := btengine.Options{Config: btengine.DefaultConfig(), Exit: os.Exit}
	s.flags(fs)
	engineFlags(fs, &opts)
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "bramleytack-standin engine [flags]",
		ShortHelp:  "Run a simulated model engine.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			if opts.RestartAfter > 0 {
				opts.Exit = nil
			}
			opts.Instance = newInstance(opts.Instance)
			timers := bttimer.New(timerSeed)
			defer timers.Close()
			e := btengine.NewServer(opts, timers)
			defer e.Close()
			return s.serve(ctx, e)
		},
	}
}

func engineFlags(fs *flag.FlagSet, o *btengine.Options) {
	c := &o.Config
	fs.Func("instance", "prefix of the instance id", func(s string) error {
		c.Instance = bramleytack.InstanceID(s)
		return nil
	})
	fs.Uint64Var(&c.Seed, "seed", c.Seed, "seed of output lengths and lost cache events")
	fs.IntVar(&c.MemoryTokens, "memory-tokens", c.MemoryTokens, "key-value memory in tokens")
	fs.IntVar(&c.MaxBatch, "max-batch", c.MaxBatch, "generations that decode at a time")
	fs.IntVar(&c.MaxWaiting, "max-waiting", c.MaxWaiting, "length of the queue, 0 for no bound")
	fs.IntVar(&c.PrefillChunk, "prefill-chunk", c.PrefillChunk, "prompt tokens processed in one step")
	fs.DurationVar(&c.StepBase, "step-base", c.StepBase, "time of a step")
	fs.DurationVar(&c.StepPerSequence, "step-per-sequence", c.StepPerSequence, "time added for each generation in the batch")
	fs.DurationVar(&c.StepPerPrefill, "step-per-prefill", c.StepPerPrefill, "time added for each prompt token")
	fs.Float64Var(&c.Lengths.Median, "length-median", c.Lengths.Median, "median output length")
	fs.Float64Var(&c.Lengths.Sigma, "length-sigma", c.Lengths.Sigma, "standard deviation of the logarithm of the output length")
	fs.IntVar(&c.Lengths.Min, "length-min", c.Lengths.Min, "least output length")
	fs.IntVar(&c.Lengths.Max, "length-max", c.Lengths.Max, "largest output length, 0 for no bound")
	fs.Var((*modelList)(&c.Models), "model", "model@version[+adapter] held from the start, may be repeated")
	fs.IntVar(&c.MaxModels, "max-models", c.MaxModels, "models, versions and adapters held at a time, 0 for no bound")
	fs.DurationVar(&c.LoadTime, "load-time", c.LoadTime, "time to load a model version")
	fs.DurationVar(&c.AdapterTime, "adapter-time", c.AdapterTime, "time to load an adapter")
	fs.IntVar(&c.ColdLimit, "cold-limit", c.ColdLimit, "generations that a cold engine survives, 0 for an engine that is never cold")
	fs.Float64Var(&c.ColdFactor, "cold-factor", c.ColdFactor, "factor of the step time of a cold engine")
	fs.IntVar(&c.WarmAfter, "warm-after", c.WarmAfter, "completed generations that warm the engine")
	fs.DurationVar(&c.ColdGrace, "cold-grace", c.ColdGrace, "time after an unannounced switch to cold without the cold limit")
	fs.IntVar(&c.CacheTokens, "cache-tokens", c.CacheTokens, "prefix cache in tokens")
	fs.IntVar(&c.BlockTokens, "block-tokens", c.BlockTokens, "block of the prefix cache in tokens")
	fs.DurationVar(&c.CacheEventDelay, "cache-event-delay", c.CacheEventDelay, "time until a cache event is published")
	fs.Float64Var(&c.CacheEventLoss, "cache-event-loss", c.CacheEventLoss, "share of cache events that are lost")
	fs.DurationVar(&c.ReportLag, "report-lag", c.ReportLag, "age of load reports")
	fs.BoolVar(&c.ChecksFence, "checks-fence", c.ChecksFence, "refuse orders with an old fencing number")
	fs.DurationVar(&c.Retention, "retention", c.Retention, "time that a finished generation can be resumed")
	fs.DurationVar(&o.RestartAfter, "restart-after", o.RestartAfter, "restart in place after a crash instead of exiting")
}
