package btsettings

import (
	stdflag "flag"
	"io"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"bramleytack"
)

// envPrefix is the prefix of environment variables.
const envPrefix = "BRAMLEYTACK"

// ErrNoFile says that no settings file was named.
var ErrNoFile = errors.New("btsettings: --config is required")

// Load reads settings from the file that --config names, the environment and
// the flags in args. Faults are returned as bramleytack.Findings.
func Load(args []string, readFile func(string) ([]byte, error)) (Settings, error) {
	s := Defaults()
	table := fields(&s)
	fs := stdflag.NewFlagSet("bramleytackd", stdflag.ContinueOnError)
	fs.SetOutput(io.Discard)
	config := fs.String("config", "", "settings file")
	for _, f := range table {
		fs.String(flagName(f.path), "", f.allowed)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return s, errors.Wrap(err, "btsettings: flags")
	}
	if *config == "" {
		return s, ErrNoFile
	}
	data, err := readFile(*config)
	if err != nil {
		return s, errors.Wrap(err, "btsettings: read")
	}
	seen, found := readYAML(*config, data, table)
	found = append(found, override(fs, table, seen)...)
	for _, f := range table {
		if f.required && !seen[f.path] {
			found = append(found, bramleytack.Finding{File: *config, Path: f.path, Message: "is missing", Allowed: f.allowed})
		}
	}
	if len(found) == 0 {
		found = s.check(*config)
	}
	return s, found.Err()
}

// override applies the flags and environment variables that were set.
func override(fs *stdflag.FlagSet, table []field, seen map[string]bool) bramleytack.Findings {
	var found bramleytack.Findings
	set := map[string]string{}
	fs.Visit(func(f *stdflag.Flag) { set[f.Name] = f.Value.String() })
	for _, f := range table {
		v, ok := set[flagName(f.path)]
		if !ok {
			continue
		}
		seen[f.path] = true
		values := []string{v}
		if f.list {
			values = strings.Split(v, ",")
		}
		if err := f.set(values); err != nil {
			found = append(found, bramleytack.Finding{
				File: "--" + flagName(f.path), Path: f.path, Message: err.Error(), Allowed: f.allowed,
			})
		}
	}
	return found
}

// flagName returns the flag of a field: peerTLS.key becomes peer-tls-key.
func flagName(path string) string {
	var b strings.Builder
	lower := false
	for _, r := range path {
		switch {
		case r == '.':
			b.WriteByte('-')
			lower = false
		case unicode.IsUpper(r):
			if lower {
				b.WriteByte('-')
			}
			b.WriteRune(unicode.ToLower(r))
			lower = false
		default:
			b.WriteRune(r)
			lower = true
		}
	}
	return b.String()
}
