package main

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btadmin"
)

// The exit statuses. They are documented in the package comment.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitConflict
	exitBehind
	exitNotRun
	exitUnknown
)

// statusError is an error with a fixed exit status.
type statusError struct {
	status int
	err    error
}

// Error returns the underlying error's text.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *statusError) Unwrap() error { return e.err }

func withStatus(status int, err error) error {
	if err == nil {
		return nil
	}
	return &statusError{status: status, err: err}
}

func usage(format string, args ...any) error {
	return withStatus(exitUsage, errors.Newf(format, args...))
}

// readOnly gives the errors of commands that change nothing the status of a
// failure, since they have no outcome worth telling.
func readOnly(err error) error {
	var fixed *statusError
	if errors.As(err, &fixed) {
		return err
	}
	return withStatus(exitFailed, err)
}

// withOutcome gives an error of a call or a generation an unknown outcome unless
// it has one.
func withOutcome(err error) error {
	var e *bramleytack.Error
	if errors.As(err, &e) {
		return err
	}
	return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Unknown, "answer is incomplete").WithCause(err)
}

// exitOf returns the exit status of a command's error.
func exitOf(err error) int {
	if err == nil {
		return exitOK
	}
	var fixed *statusError
	if errors.As(err, &fixed) {
		return fixed.status
	}
	var found bramleytack.Findings
	if errors.As(err, &found) {
		return exitUsage
	}
	var e *bramleytack.Error
	if !errors.As(err, &e) {
		return exitFailed
	}
	switch {
	case e.Code == bramleytack.CodeConflict:
		return exitConflict
	case e.Outcome == bramleytack.NotRun:
		return exitNotRun
	case e.Outcome == bramleytack.Unknown:
		return exitUnknown
	}
	return exitFailed
}

// report prints an error. Findings and conflicts are printed one a line.
func (a *app) report(err error) {
	var found bramleytack.Findings
	var conflict *btadmin.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &found):
		a.findings(found)
	case errors.As(err, &conflict):
		fmt.Fprintln(a.log, conflict)
		for _, path := range conflict.Overlap {
			fmt.Fprintln(a.log, "both changed:", path)
		}
	default:
		fmt.Fprintln(a.log, "bramleytack:", strings.TrimPrefix(err.Error(), "bramleytack: "))
	}
}

func (a *app) findings(found bramleytack.Findings) {
	for _, f := range found {
		fmt.Fprintln(a.log, f)
	}
}
