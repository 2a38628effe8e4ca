package btsettings

import (
	"encoding/hex"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// field describes one setting.
type field struct {
	path     string // path in the YAML file, such as peerTLS.key
	allowed  string // describes the valid values in findings and flags
	required bool
	list     bool // flags and environment variables are split at commas
	// set checks the values and stores them. Its error completes a sentence that
	// starts with the path.
	set func(values []string) error
}

// validName matches names that also appear in paths and object names.
var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const (
	allowedName     = "1 to 63 lower-case letters, digits, '.' and '-', with a letter or digit at both ends"
	allowedAddr     = "an IP address with a port, such as 127.0.0.1:8080"
	allowedDuration = "a positive duration such as 30s"
	allowedHash     = "SHA-256 hashes of 64 hexadecimal digits each"
	hashDigits      = 64
)

var logLevels = []string{"debug", "info", "warn", "error"}

// fields returns the table of all settings. Their set functions write to s.
func fields(s *Settings) []field {
	return []field{
		required(name("host", &s.Host)),
		required(name("region", &s.Region)),
		required(name("failureDomain", &s.FailureDomain)),
		required(name("cell", &s.Cell)),
		required(address("listen", &s.Listen)),
		required(address("adminListen", &s.AdminListen)),
		required(address("peerListen", &s.PeerListen)),
		required(address("platform", &s.Platform)),
		text("peerTLS.certificate", &s.PeerTLS.Certificate, "a file name"),
		text("peerTLS.key", &s.PeerTLS.Key, "a file name"),
		text("peerTLS.authority", &s.PeerTLS.Authority, "a file name"),
		boolean("peerTLS.plain", &s.PeerTLS.Plain),
		hashes("operatorKeyHashes", &s.OperatorKeyHashes),
		integer("limits.maxBody", &s.Limits.MaxBody, 1<<10, 64<<20),
		integer("limits.maxHeader", &s.Limits.MaxHeader, 1<<10, 48<<10),
		duration("limits.maxTimeout", &s.Limits.MaxTimeout),
		integer("limits.maxQueued", &s.Limits.MaxQueued, 1, 1_000_000),
		duration("limits.maxQueueTime", &s.Limits.MaxQueueTime),
		duration("entriesValidFor", &s.EntriesValidFor),
		duration("drainTimeout", &s.DrainTimeout),
		duration("claimInterval", &s.ClaimInterval),
		choice("logLevel", &s.LogLevel, logLevels),
	}
}

func required(f field) field {
	f.required = true
	return f
}

func name[T ~string](path string, v *T) field {
	return scalar(path, allowedName, func(s string) error {
		if !validName.MatchString(s) {
			return errors.New("is not a valid name")
		}
		*v = T(s)
		return nil
	})
}

func text(path string, v *string, allowed string) field {
	return scalar(path, allowed, func(s string) error {
		*v = s
		return nil
	})
}

func address(path string, v *netip.AddrPort) field {
	return scalar(path, allowedAddr, func(s string) error {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return errors.New("is not an address")
		}
		*v = a
		return nil
	})
}

func boolean(path string, v *bool) field {
	return scalar(path, "true or false", func(s string) error {
		b, err := strconv.ParseBool(s)
		if err != nil {
			return errors.New("is not a boolean")
		}
		*v = b
		return nil
	})
}

func integer[T int | int64](path string, v *T, minimum, maximum T) field {
	allowed := "a whole number from " + strconv.FormatInt(int64(minimum), 10) + " to " + strconv.FormatInt(int64(maximum), 10)
	return scalar(path, allowed, func(s string) error {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || T(n) < minimum || T(n) > maximum {
			return errors.New("is out of range")
		}
		*v = T(n)
		return nil
	})
}

func duration(path string, v *time.Duration) field {
	return scalar(path, allowedDuration, func(s string) error {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 {
			return errors.New("is not a positive duration")
		}
		*v = d
		return nil
	})
}

func choice(path string, v *string, values []string) field {
	return scalar(path, strings.Join(values, ", "), func(s string) error {
		if !slices.Contains(values, s) {
			return errors.New("is not a known value")
		}
		*v = s
		return nil
	})
}

func hashes(path string, v *[]string) field {
	return field{path: path, allowed: allowedHash, list: true, set: func(values []string) error {
		for _, s := range values {
			if _, err := hex.DecodeString(s); err != nil || len(s) != hashDigits {
				return errors.New("contains a value that is not a hash")
			}
		}
		*v = values
		return nil
	}}
}

// scalar returns a field that takes exactly one value.
func scalar(path, allowed string, set func(string) error) field {
	return field{path: path, allowed: allowed, set: func(values []string) error {
		if len(values) != 1 {
			return errors.New("must be a single value")
		}
		return set(values[0])
	}}
}

// check checks the rules that span several fields.
func (s *Settings) check(file string) bramleytack.Findings {
	var findings bramleytack.Findings
	add := func(path, message string) {
		findings = append(findings, bramleytack.Finding{File: file, Path: path, Message: message})
	}
	t := s.PeerTLS
	complete := t.Certificate != "" && t.Key != "" && t.Authority != ""
	switch {
	case t.Plain && (t.Certificate != "" || t.Key != "" || t.Authority != ""):
		add("peerTLS", "plain must not be set together with certificate, key or authority")
	case !t.Plain && !complete:
		add("peerTLS", "certificate, key and authority are required unless plain is true")
	}
	pathOf := map[netip.AddrPort]string{}
	// Listeners may share port 0, since the system picks a free port for each.
	for _, l := range []struct {
		path string
		addr netip.AddrPort
	}{{"listen", s.Listen}, {"adminListen", s.AdminListen}, {"peerListen", s.PeerListen}} {
		if other, taken := pathOf[l.addr]; taken && l.addr.IsValid() && l.addr.Port() != 0 {
			add(l.path, "is the same address as "+other)
		}
		pathOf[l.addr] = l.path
	}
	return findings
}
