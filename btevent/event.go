package btevent

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"

	"bramleytack"
)

// Event is one kind of log event.
type Event struct {
	// Number is fixed for the life of the project.
	Number int
	Level  zerolog.Level
	Text   string
}

// The events, by range: 1xx the process, 2xx the configuration, 3xx leases and
// views, 4xx upstreams, 5xx requests, 6xx claims and quarantine, 7xx placement.
var (
	ProcessStarted   = Event{100, zerolog.InfoLevel, "daemon has started"}
	ProcessDraining  = Event{101, zerolog.InfoLevel, "daemon is draining"}
	ProcessStopped   = Event{102, zerolog.InfoLevel, "daemon has stopped"}
	ProcessFailed    = Event{103, zerolog.ErrorLevel, "daemon has failed"}
	HostLeaving      = Event{104, zerolog.WarnLevel, "platform lists this host as leaving"}
	HostIsolated     = Event{105, zerolog.ErrorLevel, "host reaches neither the store nor a peer"}
	HostRejoined     = Event{106, zerolog.InfoLevel, "host reaches the store or a peer again"}
	ConfigApplied    = Event{200, zerolog.DebugLevel, "configuration is in force"}
	ConfigUndecoded  = Event{201, zerolog.WarnLevel, "record cannot be decoded, its last good form stays in force"}
	WatchReopened    = Event{202, zerolog.InfoLevel, "watch was opened again"}
	StoreDown        = Event{203, zerolog.WarnLevel, "store is unavailable"}
	RecordChanged    = Event{204, zerolog.InfoLevel, "operator changed a record"}
	RecordConflict   = Event{205, zerolog.InfoLevel, "operator's change conflicts with another"}
	LeaseAcquired    = Event{300, zerolog.InfoLevel, "cell lease was acquired"}
	LeaseLost        = Event{301, zerolog.WarnLevel, "cell lease was lost"}
	ViewChanged      = Event{302, zerolog.InfoLevel, "view has changed"}
	ViewExpired      = Event{303, zerolog.WarnLevel, "view lease has expired"}
	PeerLost         = Event{304, zerolog.WarnLevel, "link to a peer was lost"}
	UpstreamStarted  = Event{400, zerolog.InfoLevel, "upstream has a new instance"}
	UpstreamFailed   = Event{401, zerolog.WarnLevel, "upstream does not answer"}
	UpstreamLeaving  = Event{403, zerolog.InfoLevel, "upstream is leaving"}
	RequestFailed    = Event{500, zerolog.WarnLevel, "request failed"}
	RequestRefused   = Event{501, zerolog.DebugLevel, "request was refused"}
	ClaimUnstored    = Event{600, zerolog.ErrorLevel, "outcome of a claim could not be stored"}
	RequestSuspect   = Event{602, zerolog.WarnLevel, "request was running when an upstream crashed"}
	RequestPoison    = Event{603, zerolog.ErrorLevel, "request is quarantined"}
	OrderSent        = Event{700, zerolog.InfoLevel, "order was sent to an engine"}
	OrderFailed      = Event{701, zerolog.WarnLevel, "order to an engine failed"}
	OrderFenced      = Event{702, zerolog.WarnLevel, "engine refused an old fencing number"}
	CertificateError = Event{800, zerolog.ErrorLevel, "certificate cannot be loaded"}
)

// All returns the catalogue in the order of the numbers.
func All() []Event {
	return []Event{
		ProcessStarted, ProcessDraining, ProcessStopped, ProcessFailed, HostLeaving, HostIsolated, HostRejoined,
		ConfigApplied, ConfigUndecoded, WatchReopened, StoreDown, RecordChanged, RecordConflict,
		LeaseAcquired, LeaseLost, ViewChanged, ViewExpired, PeerLost,
		UpstreamStarted, UpstreamFailed, UpstreamLeaving,
		RequestFailed, RequestRefused,
		ClaimUnstored, RequestSuspect, RequestPoison,
		OrderSent, OrderFailed, OrderFenced, CertificateError,
	}
}

// Logger writes events. The zero value discards them.
type Logger struct {
	log zerolog.Logger
}

// New returns a logger that writes JSON lines.
func New(w io.Writer, level zerolog.Level, host bramleytack.HostID) *Logger {
	return &Logger{log: zerolog.New(w).Level(level).With().Timestamp().Str("host", string(host)).Logger()}
}

// Event starts a line. The caller adds fields and calls Send.
func (l *Logger) Event(e Event) *zerolog.Event {
	if l == nil {
		return nil
	}
	if e.Level < l.log.GetLevel() {
		return nil
	}
	return l.log.WithLevel(e.Level).Str("event", fmt.Sprintf("BT%03d", e.Number)).Str("text", e.Text)
}
