package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack"
	"bramleytack/internal/fleet/btgossip"
)

const (
	// fleetTimeout bounds the call to one daemon.
	fleetTimeout = 2 * time.Second
	// maxFleetState bounds a response in bytes.
	maxFleetState = 1 << 20
)

// fleetViewer is the fleet command.
type fleetViewer struct {
	*app
	format
	timeout time.Duration
}

func (a *app) fleet() *ffcli.Command {
	f := &fleetViewer{app: a}
	fs := a.flagSet("fleet")
	f.format.bind(fs)
	fs.DurationVar(&f.timeout, "timeout", fleetTimeout, "longest time for each daemon")
	return command(fs, "ADDRESS...", "Shows what daemons of bramleytack-fleet know of the fleet: failure domains, live daemons, hubs and the ages of loads. The addresses are their metrics addresses.", f.exec)
}

func (f *fleetViewer) exec(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return usage("fleet takes the metrics address of one daemon or more")
	}
	for _, a := range args {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return usage("%s is not an address with a port", a)
		}
	}
	var states []btgossip.State
	t := &table{head: []string{"DAEMON", "DOMAIN", "ALIVE", "HUBS", "LOAD AGE"}}
	failed := 0
	for _, a := range args {
		s, err := getPart[btgossip.State](ctx, f.timeout, a, "fleet")
		if err != nil {
			failed++
			fmt.Fprintf(f.log, "%s: %v\n", a, err)
			continue
		}
		states = append(states, s)
		for _, name := range slices.Sorted(maps.Keys(s.Domains)) {
			d := s.Domains[name]
			alive, age := d.Alive, d.TableAge
			if name == string(s.FailureDomain) {
				alive, age = d.Alive+1, s.TotalAge
			}
			t.add(s.Host, name, alive, joinHosts(d.Hubs), time.Duration(age)*time.Millisecond)
		}
	}
	if err := f.print(f.format, states, t); err != nil {
		return err
	}
	if failed > 0 {
		return withStatus(exitFailed, errors.Newf("%d of %d daemons did not answer", failed, len(args)))
	}
	return nil
}

// getPart returns a part of the state of the daemon with a metrics address.
func getPart[T any](ctx context.Context, timeout time.Duration, addr, part string) (value T, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/debug/state?part="+part, nil)
	if err != nil {
		return value, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return value, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return value, errors.Newf("status %d", resp.StatusCode)
	}
	state := map[string]T{}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxFleetState)).Decode(&state)
	return state[part], errors.Wrap(err, "decode state")
}

func joinHosts(hosts []bramleytack.HostID) string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = string(h)
	}
	return strings.Join(names, ",")
}
