package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Println("usage: standin CASE")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "engine":
		runEngine(os.Args[2:])
	case "unframed":
		os.Exit(run(caseUnframed))
	case "joined":
		os.Exit(run(caseJoined))
	case "twice":
		os.Exit(run(caseTwice))
	case "revoked":
		os.Exit(run(caseRevoked))
	default:
		os.Exit(exitNotRun)
	}
}

// run runs a case and returns its exit status.
func run(f func(l *lab) bool) (status int) {
	var l *lab
	defer func() {
		if l != nil {
			l.close()
		}
		if e := recover(); e != nil {
			setup, ok := e.(errSetup)
			if !ok {
				panic(e)
			}
			fmt.Println("could not run:", setup.error)
			status = exitNotRun
		}
	}()
	l = newLab()
	if f(l) {
		l.logf("result: the rule was broken")
		return exitBroken
	}
	l.logf("result: the rule held")
	return exitHeld
}
