package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"bramleytack"
	"bramleytack/btdaemon"
	"bramleytack/btevent"
	"bramleytack/btsettings"
)

// Exit statuses, which doc.go describes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	check := len(args) > 0 && args[0] == "check"
	if check {
		args = args[1:]
	}
	s, err := btsettings.Load(args, os.ReadFile)
	if err != nil {
		bramleytack.PrintError(os.Stderr, "bramleytackd", err)
		return exitUsage
	}
	if check {
		fmt.Println("settings are valid")
		return exitOK
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		bramleytack.PrintError(os.Stderr, "bramleytackd", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restores the default handling after the first signal, so that a second one
	// ends the process at once.
	context.AfterFunc(ctx, stop)
	d, err := btdaemon.New(s, btevent.New(os.Stderr, level, s.Host))
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		bramleytack.PrintError(os.Stderr, "bramleytackd", err)
		return exitFailed
	}
	return exitOK
}
