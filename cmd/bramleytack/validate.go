package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack"
)

// validator is the validate command.
type validator struct {
	*app
	format
	partial bool
}

func (a *app) validate() *ffcli.Command {
	v := &validator{app: a}
	fs := a.flagSet("validate")
	v.format.bind(fs)
	fs.BoolVar(&v.partial, "partial", false, "allow references to records that are not in the files")
	return command(fs, "FILE...", "Validates files without a daemon.", v.exec)
}

func (v *validator) exec(_ context.Context, files []string) error {
	records, found, err := v.readFiles(files)
	if err != nil {
		return err
	}
	if !v.partial {
		found = append(found, checkSet(records, nil)...)
	}
	if v.format == formatJSON {
		if err := v.print(formatJSON, append(bramleytack.Findings{}, found...), nil); err != nil {
			return err
		}
		return withStatus(exitUsage, found.Err())
	}
	if found.Err() != nil {
		return found
	}
	v.findings(found)
	_, err = fmt.Fprintf(v.out, "%d records are valid\n", len(records))
	return err
}

// maxKeyBytes bounds a key on standard input.
const maxKeyBytes = 64 << 10

func (a *app) hashKey() *ffcli.Command {
	return command(a.flagSet("hash-key"), "", "Prints the SHA-256 of the key on standard input, for records and settings.", a.printHash)
}

func (a *app) printHash(context.Context, []string) error {
	data, err := io.ReadAll(io.LimitReader(a.in, maxKeyBytes))
	if err != nil {
		return err
	}
	// The line end comes from the terminal or echo and is no part of the key.
	key := strings.TrimRight(string(data), "\r\n")
	if key == "" || strings.ContainsAny(key, " \t\r\n") {
		return usage("standard input must hold one key without blanks")
	}
	_, err = fmt.Fprintf(a.out, "%x\n", sha256.Sum256([]byte(key)))
	return err
}
