package main

import (
	"flag"
	"io"
	"net/netip"
	"strings"

	"github.com/goccy/go-yaml"

	"bramleytack/btclient"
	"bramleytack/btoperator"
)

// connection are the options that say where and as whom to connect.
type connection struct {
	config      string
	admin       addrs
	entries     addrs
	operatorKey string
	apiKey      string
}

// bind registers the options. Each command has all of them, so that one
// configuration file serves operators and callers.
func (c *connection) bind(fs *flag.FlagSet) {
	fs.StringVar(&c.config, "config", "", "YAML file with connection options")
	fs.Var(&c.admin, "admin", "admin addresses, separated by commas")
	fs.Var(&c.entries, "entries", "entry addresses, separated by commas")
	fs.StringVar(&c.operatorKey, "operator-key", "", "operator key; the environment or a file keeps it out of process lists")
	fs.StringVar(&c.apiKey, "api-key", "", "API key of a workspace")
}

// operator returns a client of the operators' API.
func (a *app) operator(c *connection) (*btoperator.Client, error) {
	if len(c.admin) == 0 {
		return nil, usage("an admin address is required: --admin, %s_ADMIN or admin in the --config file", envPrefix)
	}
	return &btoperator.Client{Admins: c.admin, Key: c.operatorKey, Timer: a.timer}, nil
}

// caller returns a client of the entries.
func (a *app) caller(c *connection) (*btclient.Client, error) {
	if len(c.entries) == 0 {
		return nil, usage("an entry address is required: --entries, %s_ENTRIES or entries in the --config file", envPrefix)
	}
	return &btclient.Client{Seeds: c.entries, Key: c.apiKey, Timer: a.timer}, nil
}

// addrs is a flag with a list of addresses.
type addrs []netip.AddrPort

// String implements flag.Value.
func (l *addrs) String() string {
	parts := make([]string, len(*l))
	for i, a := range *l {
		parts[i] = a.String()
	}
	return strings.Join(parts, ",")
}

// Set implements flag.Value. A later value replaces an earlier one.
func (l *addrs) Set(s string) error {
	*l = nil
	for part := range strings.SplitSeq(s, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return err
		}
		*l = append(*l, a)
	}
	return nil
}

// parseConfig reads the configuration file for ff.
func parseConfig(r io.Reader, set func(name, value string) error) error {
	var file struct {
		Admin       []string `yaml:"admin"`
		Entries     []string `yaml:"entries"`
		OperatorKey string   `yaml:"operatorKey"`
		APIKey      string   `yaml:"apiKey"`
	}
	if err := yaml.NewDecoder(r, yaml.DisallowUnknownField()).Decode(&file); err != nil {
		return err
	}
	for _, option := range []struct{ name, value string }{
		{"admin", strings.Join(file.Admin, ",")},
		{"entries", strings.Join(file.Entries, ",")},
		{"operator-key", file.OperatorKey},
		{"api-key", file.APIKey},
	} {
		if option.value == "" {
			continue
		}
		if err := set(option.name, option.value); err != nil {
			return err
		}
	}
	return nil
}
