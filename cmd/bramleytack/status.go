package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// inspector is the status and the dump command.
type inspector struct {
	*app
	connection
	format
	part string
}

func (a *app) status() *ffcli.Command {
	i := &inspector{app: a}
	fs := a.flagSet("status")
	i.connection.bind(fs)
	i.format.bind(fs)
	return command(fs, "", "Shows all daemons.", i.status)
}

func (i *inspector) status(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usage("status takes no arguments")
	}
	c, err := i.operator(&i.connection)
	if err != nil {
		return err
	}
	s := c.Status(ctx)
	t := &table{head: []string{"HOST", "DOMAIN", "CELL", "REVISION", "READY", "DRAINING", "STREAMS", "QUEUED", "UPTIME"}}
	for _, d := range s.Daemons {
		t.add(d.Host, d.FailureDomain, d.Cell, d.Config.Revision, d.Ready, d.Draining, d.Streams, d.Queued, d.Uptime)
	}
	if err := i.print(i.format, s, t); err != nil {
		return err
	}
	for _, f := range s.Failures {
		fmt.Fprintln(i.log, f)
	}
	if len(s.Failures) > 0 {
		return withStatus(exitFailed, errors.Newf("%d of %d admin addresses did not report", len(s.Failures), len(c.Admins)))
	}
	return nil
}

func (a *app) dump() *ffcli.Command {
	i := &inspector{app: a}
	fs := a.flagSet("dump")
	i.connection.bind(fs)
	fs.StringVar(&i.part, "part", "", "part of the state, such as config or owner (default: all)")
	return command(fs, "", "Prints the state of the first daemon that answers, as JSON.", i.dump)
}

func (i *inspector) dump(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return usage("dump takes no arguments; --part names a part")
	}
	c, err := i.operator(&i.connection)
	if err != nil {
		return err
	}
	state, err := c.Dump(ctx, i.part)
	if err != nil {
		return readOnly(err)
	}
	return i.print(formatJSON, state, nil)
}
