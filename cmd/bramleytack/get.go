package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack"
	"bramleytack/btadmin"
	"bramleytack/btoperator"
	"bramleytack/btrecord"
)

// getter is the get command.
type getter struct {
	*app
	connection
	format
}

func (a *app) get() *ffcli.Command {
	g := &getter{app: a}
	fs := a.flagSet("get")
	g.connection.bind(fs)
	g.format.bind(fs)
	return command(fs, "[KIND [NAME]]", "Shows records.", g.exec)
}

const maxGetArgs = 2

func (g *getter) exec(ctx context.Context, args []string) error {
	c, err := g.operator(&g.connection)
	if err != nil {
		return err
	}
	switch len(args) {
	case maxGetArgs:
		return readOnly(g.one(ctx, c, bramleytack.Key{Kind: args[0], Name: args[1]}))
	case 1:
		return readOnly(g.list(ctx, c, args[0]))
	case 0:
		return readOnly(g.list(ctx, c, ""))
	}
	return usage("get takes a kind and a name at most; flags go before them")
}

// one prints a record in the form that apply reads.
func (g *getter) one(ctx context.Context, c *btoperator.Client, key bramleytack.Key) error {
	v, err := c.Get(ctx, key)
	if err != nil {
		return err
	}
	if g.format == formatJSON {
		return g.print(g.format, v, nil)
	}
	_, err = fmt.Fprintf(g.out, "# version %d\n%s", v.Version, btrecord.FormatYAML(v.Record))
	return err
}

func (g *getter) list(ctx context.Context, c *btoperator.Client, kind string) error {
	l, err := c.List(ctx, kind)
	if err != nil {
		return err
	}
	slices.SortFunc(l.Records, func(a, b btadmin.Versioned) int {
		return cmp.Or(cmp.Compare(a.Record.Kind, b.Record.Kind), cmp.Compare(a.Record.Name, b.Record.Name))
	})
	t := &table{head: []string{"KIND", "NAME", "VERSION", "SCHEMA"}}
	for _, v := range l.Records {
		t.add(v.Record.Kind, v.Record.Name, versionCell(v.Version), v.Record.SchemaVersion)
	}
	return g.print(g.format, l, t)
}

// differ is the diff command.
type differ struct {
	*app
	connection
	format
}

func (a *app) diff() *ffcli.Command {
	d := &differ{app: a}
	fs := a.flagSet("diff")
	d.connection.bind(fs)
	d.format.bind(fs)
	return command(fs, "FILE...", "Shows what apply would change.", d.exec)
}

// difference is the result of one record.
type difference struct {
	File    string               `json:"file"`
	Kind    string               `json:"kind"`
	Name    string               `json:"name"`
	Version bramleytack.Revision `json:"version"`
	Changes []btadmin.Change     `json:"changes"`
}

func (d *differ) exec(ctx context.Context, files []string) error {
	c, err := d.operator(&d.connection)
	if err != nil {
		return err
	}
	records, found, err := d.readFiles(files)
	if err != nil {
		return err
	}
	if found.Err() != nil {
		return found
	}
	d.findings(found)
	t := &table{head: []string{"KIND", "NAME", "VERSION", "CHANGE"}}
	all := []difference{}
	for _, r := range records {
		one, err := d.one(ctx, c, r)
		if err != nil {
			return readOnly(err)
		}
		all = append(all, one)
		for _, change := range one.Changes {
			t.add(r.Kind, r.Name, versionCell(one.Version), change)
		}
	}
	return d.print(d.format, all, t)
}

func (d *differ) one(ctx context.Context, c *btoperator.Client, r fileRecord) (difference, error) {
	stored, err := c.Get(ctx, r.Key())
	from := &stored.Record
	if btoperator.IsNotFound(err) {
		from, err = nil, nil
	}
	changes := btoperator.Compare(from, &r.Record)
	return difference{File: r.file, Kind: r.Kind, Name: r.Name, Version: stored.Version, Changes: changes}, err
}
