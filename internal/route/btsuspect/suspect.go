package btsuspect

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
)

const (
	// maxCrashes bounds the crashes of one suspect, counted and cleared ones each. The
	// oldest are dropped.
	maxCrashes = 12
	// maxCompanions bounds the companions of one suspect.
	maxCompanions = 8
)

// Key is the hash of what requests may have in common. Forging a request for a given key
// takes 2^64 attempts.
type Key uint64

// KeyOf returns the key of a list of parts.
func KeyOf(parts ...string) Key {
	f := bramleytack.FingerprintOf(parts...)
	return Key(binary.BigEndian.Uint64(f[:]))
}

// String returns the key in hexadecimal.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error { return parseHex(k, text) }

func parseHex[T ~uint64](v *T, text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*v = T(n)
	return err
}

// Crash identifies the crash of one instance of an upstream, equally at every daemon.
type Crash uint64

// MarshalText implements encoding.TextMarshaler.
func (c Crash) MarshalText() ([]byte, error) { return Key(c).MarshalText() }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Crash) UnmarshalText(text []byte) error { return parseHex(c, text) }

// CrashOf returns the crash of an upstream's present instance.
func CrashOf(u *bramleytack.Upstream) Crash {
	return Crash(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(u.ID), uint64(u.Started.UnixMilli()))))
}

// Record is the state of one suspect as daemons send it to each other.
type Record struct {
	Key Key
	// Crashes count against the key, Cleared do not.
	Crashes []Crash
	Cleared []Crash
	// Companions are the keys that the requests of all crashes had besides.
	Companions []Key
	// Trials is the number of trials that ended with a crash.
	Trials int
	// Age is the time since the newest crash.
	Age time.Duration
}

// suspect is the state of one key.
type suspect struct {
	crashes []countedCrash
	cleared []Crash
	// companions are the keys that the requests of all crashes had besides this one, at
	// most maxCompanions of them.
	companions []Key
	// newest is the time of the newest crash.
	newest time.Time
	// trials is the number of trials that ended with a crash, at any daemon.
	trials int
	// trial is the request that may run although the key is quarantined.
	trial   bramleytack.RequestID
	trialAt time.Time
	// logged is set once the quarantine has been logged.
	logged bool
}

// countedCrash is a crash with the time from which on it counts.
type countedCrash struct {
	crash Crash
	from  time.Time
}

// add adds a crash, and reports false if it is known.
func (s *suspect) add(c Crash, from time.Time) bool {
	if slices.Contains(s.cleared, c) || slices.ContainsFunc(s.crashes, func(k countedCrash) bool { return k.crash == c }) {
		return false
	}
	s.crashes = append(s.crashes, countedCrash{c, from})
	s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashes):]
	return true
}

// hasAll reports whether all of some crashes count against s too.
func (s *suspect) hasAll(crashes []countedCrash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(s.crashes, func(k countedCrash) bool { return k.crash == c.crash }) {
			return false
		}
	}
	return true
}

// clear clears one crash, and reports false if that is known.
func (s *suspect) clear(c Crash) bool {
	if slices.Contains(s.cleared, c) {
		return false
	}
	s.cleared = append(s.cleared, c)
	s.cleared = s.cleared[max(0, len(s.cleared)-maxCrashes):]
	s.crashes = slices.DeleteFunc(s.crashes, func(k countedCrash) bool { return k.crash == c })
	return true
}

// clearAll clears all crashes that count.
func (s *suspect) clearAll() {
	for _, k := range slices.Clone(s.crashes) {
		s.clear(k.crash)
	}
	s.trials = 0
}

// count returns the number of crashes that count now.
func (s *suspect) count(now time.Time) int {
	n := 0
	for _, k := range s.crashes {
		if !now.Before(k.from) {
			n++
		}
	}
	return n
}

// quarantined reports whether enough crashes count now.
func (s *suspect) quarantined(now time.Time) bool { return s.count(now) >= quarantineCrashes }

// accompany keeps the companions that are among the other keys of one more request.
func (s *suspect) accompany(others []Key, first bool) {
	if first {
		s.companions = slices.Clone(others[:min(len(others), maxCompanions)])
		return
	}
	s.companions = slices.DeleteFunc(s.companions, func(k Key) bool { return !slices.Contains(others, k) })
}

func (s *suspect) record(key Key, now time.Time) Record {
	r := Record{Key: key, Cleared: slices.Clone(s.cleared), Companions: slices.Clone(s.companions), Trials: s.trials, Age: now.Sub(s.newest)}
	for _, k := range s.crashes {
		r.Crashes = append(r.Crashes, k.crash)
	}
	return r
}
