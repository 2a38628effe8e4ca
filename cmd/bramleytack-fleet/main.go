package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"bramleytack"
	"bramleytack/internal/node/btnode"
	"bramleytack/internal/upstream/btconn"
	"bramleytack/platform"
)

// The exit statuses.
const (
	exitOK = iota
	exitFailed
	exitInvalidSettings
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// Hosts have one core. More running threads would only add context switches.
	runtime.GOMAXPROCS(1)
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		bramleytack.PrintError(os.Stderr, "bramleytack-fleet", err)
		return exitInvalidSettings
	}
	if len(args) > 0 && args[0] == "check" {
		fmt.Println("settings are valid")
		return exitOK
	}
	// A signal that comes before the daemon can reload must not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	store := platform.NewStore(s.Store)
	store.Memory = btnode.NewMemory(s)
	node := btnode.New(s, btnode.Adapter{
		Memory: store.Memory, Feed: store, Registry: store, Codec: platform.Codec{}, Dialect: platform.Dialect(),
		Engines:     func(pool *btconn.Pool) btnode.Engines { return &platform.EngineClient{Pool: pool} },
		EncodeAddrs: platform.EncodeAddrs, Calls: store.Calls,
	}, os.Stdout)
	go (&reloader{node: node, signals: hangups}).run()
	if err := node.Run(ctx); err != nil {
		bramleytack.PrintError(os.Stderr, "bramleytack-fleet", err)
		return exitFailed
	}
	return exitOK
}

// reloader reads the settings again on each signal.
type reloader struct {
	node    *btnode.Node
	signals chan os.Signal
}

func (r *reloader) run() {
	for range r.signals {
		s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		r.node.Reload(s, err)
	}
}
