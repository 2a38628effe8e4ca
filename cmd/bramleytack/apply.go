package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack"
	"bramleytack/btadmin"
	"bramleytack/btoperator"
	"bramleytack/btrecord"
)

// defaultWait is ten times the target of 3 s for a change to be in force.
const defaultWait = 30 * time.Second

// waiter are the flags of a wait for the daemons.
type waiter struct {
	wait    bool
	timeout time.Duration
}

func (w *waiter) bind(fs *flag.FlagSet) {
	fs.BoolVar(&w.wait, "wait", false, "wait until the change is in force on every daemon")
	fs.DurationVar(&w.timeout, "wait-timeout", defaultWait, "longest wait")
}

// run waits for a revision and prints the daemons that are behind.
func (w *waiter) run(ctx context.Context, a *app, c *btoperator.Client, revision bramleytack.Revision) error {
	if !w.wait {
		return nil
	}
	behind := c.Wait(ctx, revision, w.timeout)
	if behind.None() {
		fmt.Fprintf(a.log, "revision %d is in force on every daemon\n", revision)
		return nil
	}
	for _, d := range behind.Daemons {
		fmt.Fprintf(a.log, "behind: %s has revision %d\n", d.Host, d.Config.Revision)
	}
	for _, f := range behind.Failures {
		fmt.Fprintln(a.log, "behind:", f)
	}
	n := len(behind.Daemons) + len(behind.Failures)
	return withStatus(exitBehind, errors.Newf("revision %d is stored, but %d daemons are behind", revision, n))
}

// applied is the result of one record.
type applied struct {
	File    string               `json:"file"`
	Kind    string               `json:"kind"`
	Name    string               `json:"name"`
	Result  string               `json:"result"`
	Version bramleytack.Revision `json:"version,omitempty"`
	// Error and Conflict are set if the record was not accepted.
	Error    string                 `json:"error,omitempty"`
	Conflict *btadmin.ConflictError `json:"conflict,omitempty"`
}

// The results of a record.
const (
	resultApplied  = "applied"
	resultConflict = "conflict"
	resultUnknown  = "unknown"
	resultFailed   = "failed"
	resultNotTried = "notTried"
)

// applier is the apply command.
type applier struct {
	*app
	connection
	waiter
	format
	expected string
	client   *btoperator.Client
}

func (a *app) apply() *ffcli.Command {
	p := &applier{app: a}
	fs := a.flagSet("apply")
	p.connection.bind(fs)
	p.waiter.bind(fs)
	p.format.bind(fs)
	fs.StringVar(&p.expected, "expected", "", "version that the only record must have, 0 if it must not exist (default: the stored one)")
	return command(fs, "FILE...", "Validates and writes the records of files.", p.exec)
}

func (p *applier) exec(ctx context.Context, files []string) error {
	var err error
	if p.client, err = p.operator(&p.connection); err != nil {
		return err
	}
	records, err := p.check(ctx, files)
	if err != nil {
		return err
	}
	expected, err := p.fixedVersion(len(records))
	if err != nil {
		return err
	}
	results, failed := p.writeAll(ctx, records, expected)
	if err := p.printResults(results); err != nil {
		return err
	}
	if failed != nil {
		return failed
	}
	var newest bramleytack.Revision
	for _, r := range results {
		newest = max(newest, r.Version)
	}
	return p.waiter.run(ctx, p.app, p.client, newest)
}

// check reads the files and reports all findings before anything is written.
// The records are returned in an order in which none refers to a later one.
func (p *applier) check(ctx context.Context, files []string) ([]fileRecord, error) {
	records, found, err := p.readFiles(files)
	if err != nil {
		return nil, err
	}
	stored, err := storedRecords(ctx, p.client, records)
	if err != nil {
		if invalid := found.Err(); invalid != nil {
			return nil, invalid
		}
		// Nothing has been written yet.
		return nil, bramleytack.AsError(err).WithOutcome(bramleytack.NotRun)
	}
	found = append(found, checkSet(records, stored)...)
	if found.Err() != nil {
		return nil, found
	}
	p.findings(found)
	if len(records) == 0 {
		return nil, usage("files hold no record")
	}
	kinds := btrecord.Kinds()
	slices.SortStableFunc(records, func(a, b fileRecord) int {
		return cmp.Compare(slices.Index(kinds, a.Kind), slices.Index(kinds, b.Kind))
	})
	return records, nil
}

// fixedVersion returns the version that the operator expects, nil for the one
// that is stored.
func (p *applier) fixedVersion(records int) (*bramleytack.Revision, error) {
	if p.expected == "" {
		return nil, nil
	}
	if records != 1 {
		return nil, usage("--expected needs exactly one record, files hold %d", records)
	}
	n, err := strconv.ParseUint(p.expected, 10, 64)
	if err != nil {
		return nil, usage("--expected: %q is not a version", p.expected)
	}
	v := bramleytack.Revision(n)
	return &v, nil
}

// writeAll writes the records in order and stops at the first that fails, as
// later ones may depend on it.
func (p *applier) writeAll(ctx context.Context, records []fileRecord, expected *bramleytack.Revision) ([]applied, error) {
	results := make([]applied, len(records))
	var failed error
	for i, r := range records {
		results[i] = applied{File: r.file, Kind: r.Kind, Name: r.Name, Result: resultNotTried}
		if failed != nil {
			continue
		}
		v, err := p.write(ctx, r, expected)
		if err != nil {
			failed = err
			results[i].fail(err)
			continue
		}
		results[i].Result, results[i].Version = resultApplied, v
	}
	return results, failed
}

func (p *applier) write(ctx context.Context, r fileRecord, expected *bramleytack.Revision) (bramleytack.Revision, error) {
	if expected != nil {
		v, err := p.client.Put(ctx, r.Record, *expected)
		return v, inFile(err, r.file)
	}
	stored, err := p.client.Version(ctx, r.Key())
	if err != nil {
		return 0, bramleytack.AsError(err).WithOutcome(bramleytack.NotRun)
	}
	v, err := p.client.Put(ctx, r.Record, stored)
	return v, inFile(err, r.file)
}

// inFile adds the file to the findings of a daemon, which does not know it.
func inFile(err error, file string) error {
	var found bramleytack.Findings
	if errors.As(err, &found) {
		for i := range found {
			found[i].File = file
		}
	}
	return err
}

func (r *applied) fail(err error) {
	r.Error = err.Error()
	switch exitOf(err) {
	case exitConflict:
		r.Result = resultConflict
		errors.As(err, &r.Conflict)
	case exitUnknown:
		r.Result = resultUnknown
	default:
		r.Result = resultFailed
	}
}

func (p *applier) printResults(results []applied) error {
	t := &table{head: []string{"KIND", "NAME", "RESULT", "VERSION", "FILE"}}
	for _, r := range results {
		t.add(r.Kind, r.Name, r.Result, versionCell(r.Version), r.File)
	}
	return p.print(p.format, results, t)
}

func versionCell(v bramleytack.Revision) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatUint(uint64(v), 10)
}
