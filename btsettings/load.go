package btsettings

import (
	"flag"
	"io"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"bramleytack"
)

// envPrefix precedes the names of environment variables, joined by an
// underscore: peerTLS.key is read from BRAMLEYTACK_PEER_TLS_KEY.
const envPrefix = "BRAMLEYTACK"

// ErrNoConfig is returned by Load if neither --config nor BRAMLEYTACK_CONFIG names
// a settings file.
var ErrNoConfig = errors.New("btsettings: --config is required")

// Load reads settings from the file that --config names, the environment and
// the flags in args. Invalid settings are returned as bramleytack.Findings,
// unknown flags and an unreadable file as other errors.
func Load(args []string, readFile func(string) ([]byte, error)) (Settings, error) {
	s := Defaults()
	table := fields(&s)
	fs := flag.NewFlagSet("bramleytackd", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	config := fs.String("config", "", "settings file")
	for _, f := range table {
		fs.String(flagName(f.path), "", f.allowed)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return s, errors.Wrap(err, "btsettings: parse flags")
	}
	if *config == "" {
		return s, ErrNoConfig
	}
	data, err := readFile(*config)
	if err != nil {
		return s, errors.Wrap(err, "btsettings: read settings file")
	}
	seen, findings := readYAML(*config, data, table)
	findings = append(findings, override(fs, table, seen)...)
	for _, f := range table {
		if f.required && !seen[f.path] {
			findings = append(findings, bramleytack.Finding{File: *config, Path: f.path, Message: "is missing", Allowed: f.allowed})
		}
	}
	if len(findings) == 0 {
		findings = s.check(*config)
	}
	return s, findings.Err()
}

// override applies the flags and environment variables that were set and adds
// their paths to seen. The flag set does not record which of the two set a
// value, so a finding always names the flag.
func override(fs *flag.FlagSet, table []field, seen map[string]bool) bramleytack.Findings {
	var findings bramleytack.Findings
	given := map[string]string{}
	fs.Visit(func(f *flag.Flag) { given[f.Name] = f.Value.String() })
	for _, f := range table {
		v, ok := given[flagName(f.path)]
		if !ok {
			continue
		}
		seen[f.path] = true
		values := []string{v}
		if f.list {
			values = strings.Split(v, ",")
		}
		if err := f.set(values); err != nil {
			findings = append(findings, bramleytack.Finding{
				File: "--" + flagName(f.path), Path: f.path, Message: err.Error(), Allowed: f.allowed,
			})
		}
	}
	return findings
}

// flagName converts a path to a flag name: peerTLS.key becomes peer-tls-key. A
// run of capitals counts as one word.
func flagName(path string) string {
	var b strings.Builder
	afterLower := false
	for _, r := range path {
		switch {
		case r == '.':
			b.WriteByte('-')
			afterLower = false
		case unicode.IsUpper(r):
			if afterLower {
				b.WriteByte('-')
			}
			b.WriteRune(unicode.ToLower(r))
			afterLower = false
		default:
			b.WriteRune(r)
			afterLower = true
		}
	}
	return b.String()
}
