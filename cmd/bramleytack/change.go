package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack"
	"bramleytack/btoperator"
	"bramleytack/btrecord"
)

// deleter is the delete command.
type deleter struct {
	*app
	connection
	format
	expected uint64
}

func (a *app) delete() *ffcli.Command {
	d := &deleter{app: a}
	fs := a.flagSet("delete")
	d.connection.bind(fs)
	d.format.bind(fs)
	fs.Uint64Var(&d.expected, "expected", 0, "version that the record must have (default: the stored one)")
	return command(fs, "KIND NAME", "Removes a record.", d.exec)
}

const deleteArgs = 2

func (d *deleter) exec(ctx context.Context, args []string) error {
	if len(args) != deleteArgs {
		return usage("delete takes a kind and a name; flags go before them")
	}
	c, err := d.operator(&d.connection)
	if err != nil {
		return err
	}
	key := bramleytack.Key{Kind: args[0], Name: args[1]}
	expected := bramleytack.Revision(d.expected)
	if expected == 0 {
		stored, err := c.Get(ctx, key)
		if btoperator.IsNotFound(err) {
			return withStatus(exitFailed, err)
		}
		if err != nil {
			return bramleytack.AsError(err).WithOutcome(bramleytack.NotRun)
		}
		expected = stored.Version
	}
	v, err := c.Delete(ctx, key, expected)
	if err != nil {
		return err
	}
	return d.printChange(d.format, change{Kind: key.Kind, Name: key.Name, Result: "deleted", Version: v})
}

// change is the result of a change of one record.
type change struct {
	Kind    string               `json:"kind"`
	Name    string               `json:"name"`
	Result  string               `json:"result"`
	Version bramleytack.Revision `json:"version,omitempty"`
}

func (a *app) printChange(f format, c change) error {
	t := &table{head: []string{"KIND", "NAME", "RESULT", "VERSION"}}
	t.add(c.Kind, c.Name, c.Result, versionCell(c.Version))
	return a.print(f, c, t)
}

// domainSetter is the drain and the return command.
type domainSetter struct {
	*app
	connection
	waiter
	format
	result string
	set    func(*btoperator.Client, context.Context, bramleytack.FailureDomainID) (bramleytack.Revision, error)
}

func (a *app) drain() *ffcli.Command {
	d := &domainSetter{app: a, result: string(bramleytack.DomainOut), set: (*btoperator.Client).Drain}
	return d.command("drain", "Takes a failure domain out of service.")
}

func (a *app) returnDomain() *ffcli.Command {
	d := &domainSetter{app: a, result: string(bramleytack.DomainActive), set: (*btoperator.Client).Return}
	return d.command("return", "Puts a failure domain back into service.")
}

func (d *domainSetter) command(name, help string) *ffcli.Command {
	fs := d.flagSet(name)
	d.connection.bind(fs)
	d.waiter.bind(fs)
	d.format.bind(fs)
	return command(fs, "DOMAIN", help, d.exec)
}

func (d *domainSetter) exec(ctx context.Context, args []string) error {
	if len(args) != 1 || !btrecord.ValidName(args[0]) {
		return usage("the name of one failure domain is required; flags go before it")
	}
	c, err := d.operator(&d.connection)
	if err != nil {
		return err
	}
	v, err := d.set(c, ctx, bramleytack.FailureDomainID(args[0]))
	if btoperator.IsNotFound(err) {
		return withStatus(exitFailed, err)
	}
	if err != nil {
		return err
	}
	done := change{Kind: btrecord.KindFailureDomain, Name: args[0], Result: d.result, Version: v}
	if err := d.printChange(d.format, done); err != nil {
		return err
	}
	return d.waiter.run(ctx, d.app, c, v)
}
