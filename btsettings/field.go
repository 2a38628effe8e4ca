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

// field is one entry of the settings' table.
type field struct {
	path     string
	allowed  string
	required bool
	list     bool
	set      func(values []string) error
}

// names is the alphabet of names that also appear in paths and object names.
var names = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const (
	allowedName     = "lower-case letters, digits, '.' and '-', at most 63"
	allowedAddr     = "an IP address with a port, such as 127.0.0.1:8080"
	allowedDuration = "a positive duration such as 30s"
	allowedHash     = "SHA-256 hashes in 64 hexadecimal digits"
	hashDigits      = 64
)

// logLevels are the values of logLevel.
var logLevels = []string{"debug", "info", "warn", "error"}

// fields returns the table of all settings, writing to s.
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
		flag("peerTLS.plain", &s.PeerTLS.Plain),
		hashes("operatorKeyHashes", &s.OperatorKeyHashes),
		count("limits.maxBody", &s.Limits.MaxBody, 1<<10, 64<<20),
		count("limits.maxHeader", &s.Limits.MaxHeader, 1<<10, 48<<10),
		duration("limits.maxTimeout", &s.Limits.MaxTimeout),
		count("limits.maxQueued", &s.Limits.MaxQueued, 1, 1_000_000),
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
		if !names.MatchString(s) {
			return errors.New("is no valid name")
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
			return errors.New("is no address")
		}
		*v = a
		return nil
	})
}

func flag(path string, v *bool) field {
	return scalar(path, "true or false", func(s string) error {
		b, err := strconv.ParseBool(s)
		if err != nil {
			return errors.New("is no truth value")
		}
		*v = b
		return nil
	})
}

func count[T int | int64](path string, v *T, least, most T) field {
	allowed := "a number from " + strconv.FormatInt(int64(least), 10) + " to " + strconv.FormatInt(int64(most), 10)
	return scalar(path, allowed, func(s string) error {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || T(n) < least || T(n) > most {
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
			return errors.New("is no positive duration")
		}
		*v = d
		return nil
	})
}

func choice(path string, v *string, of []string) field {
	return scalar(path, strings.Join(of, ", "), func(s string) error {
		if !slices.Contains(of, s) {
			return errors.New("is no known value")
		}
		*v = s
		return nil
	})
}

func hashes(path string, v *[]string) field {
	return field{path: path, allowed: allowedHash, list: true, set: func(values []string) error {
		for _, s := range values {
			if _, err := hex.DecodeString(s); err != nil || len(s) != hashDigits {
				return errors.New("holds a value that is no hash")
			}
		}
		*v = values
		return nil
	}}
}

func scalar(path, allowed string, set func(string) error) field {
	return field{path: path, allowed: allowed, set: func(values []string) error {
		if len(values) != 1 {
			return errors.New("must be one value")
		}
		return set(values[0])
	}}
}

// check returns what depends on more than one field.
func (s *Settings) check(file string) bramleytack.Findings {
	var found bramleytack.Findings
	add := func(path, message string) {
		found = append(found, bramleytack.Finding{File: file, Path: path, Message: message})
	}
	t := s.PeerTLS
	complete := t.Certificate != "" && t.Key != "" && t.Authority != ""
	switch {
	case t.Plain && (t.Certificate != "" || t.Key != "" || t.Authority != ""):
		add("peerTLS", "plain is set together with certificate files")
	case !t.Plain && !complete:
		add("peerTLS", "certificate, key and authority are required unless plain is true")
	}
	addrs := map[netip.AddrPort]string{}
	for _, l := range []struct {
		path string
		addr netip.AddrPort
	}{{"listen", s.Listen}, {"adminListen", s.AdminListen}, {"peerListen", s.PeerListen}} {
		if other, taken := addrs[l.addr]; taken && l.addr.IsValid() && l.addr.Port() != 0 {
			add(l.path, "is the same address as "+other)
		}
		addrs[l.addr] = l.path
	}
	return found
}
