package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"bramleytack/internal/btbench"
)

const (
	fullSeeds  = 10
	quickSeeds = 2
)

func main() {
	quick := flag.Bool("quick", false, "use two seeds")
	workers := flag.Int("workers", 6, "runs at a time")
	flag.Parse()
	if flag.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: measure [-quick] [-workers N] DIR")
		os.Exit(2)
	}
	if err := measure(flag.Arg(0), *quick, *workers); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func measure(dir string, quick bool, workers int) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	t := btbench.Measure([]btbench.Mix{btbench.Foldwell(), btbench.Karamanlis()}, btbench.All(), seeds(quick), max(workers, 1))
	if err := t.WriteMarkdown(os.Stdout); err != nil {
		return err
	}
	if err := write(filepath.Join(dir, "table.md"), t.WriteMarkdown); err != nil {
		return err
	}
	if err := write(filepath.Join(dir, "table.csv"), t.WriteCSV); err != nil {
		return err
	}
	if err := t.WritePlots(dir); err != nil {
		return err
	}
	fmt.Println(t.RatioLine())
	return nil
}

// seeds returns the recorded seeds: 1, 2 and so on.
func seeds(quick bool) []uint64 {
	n := fullSeeds
	if quick {
		n = quickSeeds
	}
	list := make([]uint64, n)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

func write(name string, f func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := f(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
