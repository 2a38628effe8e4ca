package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack/internal/route/btrollout"
)

// rolloutViewer is the rollouts command.
type rolloutViewer struct {
	*app
	format
	timeout time.Duration
}

// daemonRollouts are the orders that one daemon knows.
type daemonRollouts struct {
	Daemon string            `json:"daemon"`
	Orders []btrollout.State `json:"orders"`
}

func (a *app) rollouts() *ffcli.Command {
	v := &rolloutViewer{app: a}
	fs := a.flagSet("rollouts")
	v.format.bind(fs)
	fs.DurationVar(&v.timeout, "timeout", fleetTimeout, "longest time for each daemon")
	return command(fs, "ADDRESS...", "Shows the orders of versions that daemons of bramleytack-fleet know, with what each has sent to the ordered version, and the sums. The addresses are their metrics addresses.", v.exec)
}

func (v *rolloutViewer) exec(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return usage("rollouts takes the metrics address of one daemon or more")
	}
	for _, a := range args {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return usage("%s is not an address with a port", a)
		}
	}
	var all []daemonRollouts
	t := &table{head: []string{"DAEMON", "SERVICE", "TARGET", "STAGE", "RESULT", "AGE", "SHARE", "SENT", "EXPOSED", "ANSWERS", "BAD"}}
	var order []string
	sums := map[string]*btrollout.State{}
	for _, a := range args {
		states, err := getPart[[]btrollout.State](ctx, v.timeout, a, "rollouts")
		if err != nil {
			fmt.Fprintf(v.log, "%s: %v\n", a, err)
			continue
		}
		all = append(all, daemonRollouts{a, states})
		for _, s := range states {
			t.add(a, s.Service, s.Target, s.Stage, resultOf(s), s.Age.Round(time.Second), fmt.Sprintf("%.3f", s.Share), s.Sent, s.Exposed, s.Answers, s.Bad)
			key := s.Service + "\x00" + s.Target
			sum := sums[key]
			if sum == nil {
				order = append(order, key)
				sum = &btrollout.State{Service: s.Service, Target: s.Target}
				sums[key] = sum
			}
			sum.Sent, sum.Exposed, sum.Answers, sum.Bad = sum.Sent+s.Sent, sum.Exposed+s.Exposed, sum.Answers+s.Answers, sum.Bad+s.Bad
		}
	}
	for _, key := range order {
		s := sums[key]
		t.add("all", s.Service, s.Target, "", "", "", "", s.Sent, s.Exposed, s.Answers, s.Bad)
	}
	if err := v.print(v.format, all, t); err != nil {
		return err
	}
	if failed := len(args) - len(all); failed > 0 {
		return withStatus(exitFailed, errors.Newf("%d of %d daemons did not answer", failed, len(args)))
	}
	return nil
}

// resultOf returns how far an order is at a daemon.
func resultOf(s btrollout.State) string {
	switch {
	case s.RolledBack:
		return "rolledBack"
	case s.Complete:
		return "complete"
	case s.Blind:
		return "blind"
	}
	return "running"
}
