package main

import (
	"context"
	"io"
	"os"

	"bramleytack"
	"bramleytack/btoperator"
	"bramleytack/btrecord"
)

// fileRecord is a record with the file that it came from.
type fileRecord struct {
	btrecord.Record
	file string
}

// readFiles reads and validates the records of all files, "-" being standard
// input. The error is about a file that cannot be read.
func (a *app) readFiles(files []string) ([]fileRecord, bramleytack.Findings, error) {
	if len(files) == 0 {
		return nil, nil, usage("a file is required; - reads standard input")
	}
	var records []fileRecord
	var found bramleytack.Findings
	for _, file := range files {
		data, err := a.readFile(file)
		if err != nil {
			return nil, nil, usage("%v", err)
		}
		parsed, findings := btrecord.Parse(file, data)
		found = append(found, findings...)
		for _, r := range parsed {
			records = append(records, fileRecord{Record: r, file: file})
		}
	}
	return records, found, nil
}

func (a *app) readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(a.in)
	}
	return os.ReadFile(file)
}

// checkSet returns the findings of the files' records against each other and
// against the stored records that they do not replace.
func checkSet(files []fileRecord, stored []btrecord.Record) bramleytack.Findings {
	replaced := map[bramleytack.Key]bool{}
	for _, r := range files {
		replaced[r.Key()] = true
	}
	var all []btrecord.Record
	for _, r := range stored {
		if !replaced[r.Key()] {
			all = append(all, r)
		}
	}
	for _, r := range files {
		all = append(all, r.Record)
	}
	var found bramleytack.Findings
	for _, f := range btrecord.Check(all) {
		// A finding of a stored record has no file and is no fault of this change.
		if f.File != "" {
			found = append(found, f)
		}
	}
	return found
}

// storedRecords returns the records that one daemon knows, and those that the
// files refer to. The latter are read from the store, because the daemon's
// list may be a few seconds behind.
func storedRecords(ctx context.Context, c *btoperator.Client, files []fileRecord) ([]btrecord.Record, error) {
	list, err := c.List(ctx, "")
	if err != nil {
		return nil, err
	}
	var stored []btrecord.Record
	known := map[bramleytack.Key]bool{}
	for _, v := range list.Records {
		known[v.Record.Key()] = true
		stored = append(stored, v.Record)
	}
	for _, r := range files {
		known[r.Key()] = true
	}
	for _, r := range files {
		for _, ref := range btrecord.References(r.Record) {
			key := bramleytack.Key{Kind: ref.Kind, Name: ref.Name}
			if known[key] {
				continue
			}
			known[key] = true
			v, err := c.Get(ctx, key)
			switch {
			case btoperator.IsNotFound(err):
			case err != nil:
				return nil, err
			default:
				stored = append(stored, v.Record)
			}
		}
	}
	return stored, nil
}
