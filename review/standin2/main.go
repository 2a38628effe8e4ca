package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"cold-unknown": coldUnknown,
	"cold-moves":   coldMoves,
	"deaf":         deafEngine,
	"crowd":        crowd,
	"stale-copy":   staleCopy,
	"restored":     restored,
}

func main() { os.Exit(start(os.Args[1:])) }

func start(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM DIR")
		return exitNotRun
	}
	program, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec, program)
	if err != nil {
		rec.say("cannot run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	broken, err := cases[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("cannot run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
