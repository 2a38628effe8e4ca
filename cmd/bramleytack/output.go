package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// format is the flag of the output's form.
type format string

// The forms of output.
const (
	formatTable format = "table"
	formatJSON  format = "json"
)

func (f *format) bind(fs *flag.FlagSet) {
	*f = formatTable
	fs.Var(f, "output", "form of the output: table or json")
}

// String implements flag.Value.
func (f *format) String() string { return string(*f) }

// Set implements flag.Value.
func (f *format) Set(s string) error {
	if format(s) != formatTable && format(s) != formatJSON {
		return errors.New("must be table or json")
	}
	*f = format(s)
	return nil
}

// table is a table for people. Its cells are printed in aligned columns.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

const columnGap = 2

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{t.head}, t.rows...) {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// print writes a value as JSON, or its table.
func (a *app) print(f format, v any, t *table) error {
	if f == formatTable {
		return t.write(a.out)
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
