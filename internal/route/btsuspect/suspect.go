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

// maxCompanions bounds the companions of one suspect.
const maxCompanions = 8

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
	Key     Key
	Crashes []CountedCrash
	Cleared []Clearing
	// Companions are the keys that the requests of all crashes had besides.
	Companions []Key
	// Trials is the number of trials that ended with a crash.
	Trials int
	// Age is the time since the newest crash.
	Age time.Duration
	// Apart is the largest number of events that requests without the key have got since the first of
	// the crashes, AllEvents if that does not matter.
	Apart int
}

// suspect is the state of one key.
type suspect struct {
	evidence
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
	// held is set while the key is quarantined.
	held bool
	// logged is set once the quarantine has been logged.
	logged bool
}

// suspected reports whether crashes that nothing clears are in common, even if they do not
// count yet.
func (s *suspect) suspected() bool { return len(s.crashes) >= commonCrashes }

// whole reports whether the key is that of whole requests. There is nothing to compare them with, and
// only one that ends well shows that they are sound.
func (s *suspect) whole() bool { return s.apart == AllEvents }

// hasAll reports whether all crashes that count against another suspect are known here.
func (s *suspect) hasAll(other *suspect, now time.Time) bool {
	for _, k := range other.settled(now) {
		if !s.had(k.crash) {
			return false
		}
	}
	return true
}

// accompany keeps the companions that are among the other keys of one more request.
func (s *suspect) accompany(others []Key, first bool) {
	if first {
		s.companions = slices.Clone(others[:min(len(others), maxCompanions)])
		return
	}
	s.companions = slices.DeleteFunc(s.companions, func(k Key) bool { return !slices.Contains(others, k) })
}

func (s *suspect) record(key Key, now time.Time) Record {
	r := Record{Key: key, Cleared: slices.Clone(s.cleared), Companions: slices.Clone(s.companions), Trials: s.trials, Age: now.Sub(s.newest), Apart: s.apart}
	for _, k := range s.crashes {
		r.Crashes = append(r.Crashes, CountedCrash{k.crash, k.events, now.Sub(k.at)})
	}
	return r
}
