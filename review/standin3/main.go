package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"
)

// runTime bounds a case, so that its processes end before the 120 seconds of a script.
const runTime = 110 * time.Second

// Exit statuses.
const (
	held = iota
	broken
	notRun
)

// cases are the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(*bed) (violations []string, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: standin3 %s RECORD\n", strings.Join(names, "|"))
		return notRun
	}
	b, err := newBed(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer b.close()
	watchdog := time.AfterFunc(runTime, func() {
		b.note("the case takes too long")
		b.close()
		os.Exit(notRun)
	})
	defer watchdog.Stop()
	violations, err := cases[os.Args[1]](b)
	switch {
	case err != nil:
		b.note("case could not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case len(violations) > 0:
		for _, v := range violations {
			b.note("BROKEN %s", v)
			fmt.Println("broken:", v)
		}
		return broken
	}
	b.note("HELD")
	fmt.Println("held")
	return held
}
