package btevent

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"

	"bramleytack"
)

// Event is one kind of log event.
type Event struct {
	// Number never changes its meaning and is not reused.
	Number int
	Level  zerolog.Level
	Text   string
}

// The events, by range: 1xx the process, 2xx the configuration, 3xx leases and
// views, 4xx upstreams, 5xx requests, 6xx claims and quarantine, 7xx placement.
var (
	ProcessStarted          = Event{100, zerolog.InfoLevel, "daemon has started"}
	ProcessDraining         = Event{101, zerolog.InfoLevel, "daemon is draining"}
	ProcessStopped          = Event{102, zerolog.InfoLevel, "daemon has stopped"}
	ProcessFailed           = Event{103, zerolog.ErrorLevel, "daemon has failed"}
	HostLeaving             = Event{104, zerolog.WarnLevel, "platform lists this host as leaving"}
	HostIsolated            = Event{105, zerolog.ErrorLevel, "host reaches neither the store nor a peer"}
	HostRejoined            = Event{106, zerolog.InfoLevel, "host reaches the store or a peer again"}
	ProcessSuspended        = Event{107, zerolog.WarnLevel, "process was suspended, its cached state was discarded"}
	SettingsReloaded        = Event{108, zerolog.InfoLevel, "settings were read again"}
	DaemonRegistered        = Event{109, zerolog.InfoLevel, "daemon is registered in the store"}
	ConfigApplied           = Event{200, zerolog.DebugLevel, "configuration is in force"}
	RecordUndecodable       = Event{201, zerolog.WarnLevel, "record cannot be decoded, its last valid version stays in force"}
	WatchReopened           = Event{202, zerolog.InfoLevel, "watch was opened again"}
	StoreDown               = Event{203, zerolog.WarnLevel, "store is unavailable"}
	RecordChanged           = Event{204, zerolog.InfoLevel, "operator changed a record"}
	RecordConflict          = Event{205, zerolog.InfoLevel, "operator's change conflicts with another"}
	ConfigInForce           = Event{206, zerolog.InfoLevel, "new version of the configuration is in force"}
	ConfigRegressed         = Event{207, zerolog.ErrorLevel, "older version of the configuration was ignored"}
	HistoryGone             = Event{208, zerolog.InfoLevel, "store has discarded its change history, kind is listed again"}
	StoreRecovered          = Event{209, zerolog.InfoLevel, "store is available again"}
	ReplicaPulled           = Event{210, zerolog.InfoLevel, "objects were pulled from a peer"}
	WatchStarted            = Event{211, zerolog.InfoLevel, "daemon has started to watch a kind in the store"}
	WatchEnded              = Event{212, zerolog.InfoLevel, "daemon has stopped watching a kind in the store"}
	EntryRejected           = Event{213, zerolog.WarnLevel, "entry of the store cannot be read, the others hold"}
	StoreLate               = Event{214, zerolog.InfoLevel, "store's answer is late, other daemons read it"}
	StoreRestored           = Event{215, zerolog.WarnLevel, "store has come back from an older copy, kind is listed again"}
	LeaseAcquired           = Event{300, zerolog.InfoLevel, "cell lease was acquired"}
	LeaseLost               = Event{301, zerolog.WarnLevel, "cell lease was lost"}
	ViewChanged             = Event{302, zerolog.InfoLevel, "view has changed"}
	ViewExpired             = Event{303, zerolog.WarnLevel, "view lease has expired"}
	PeerLost                = Event{304, zerolog.WarnLevel, "link to a peer was lost"}
	PeerAlive               = Event{305, zerolog.InfoLevel, "peer is alive"}
	PeerPacketDropped       = Event{306, zerolog.WarnLevel, "message of a peer was dropped"}
	UpstreamStarted         = Event{400, zerolog.InfoLevel, "upstream has a new instance"}
	UpstreamFailed          = Event{401, zerolog.WarnLevel, "upstream does not answer"}
	LeavingHostsChanged     = Event{403, zerolog.InfoLevel, "list of leaving hosts has changed"}
	RegistrationUndecodable = Event{404, zerolog.WarnLevel, "registration of an upstream cannot be decoded"}
	UpstreamRegistered      = Event{405, zerolog.InfoLevel, "registration of an upstream has changed"}
	UpstreamLeavingReported = Event{406, zerolog.InfoLevel, "upstream has reported that it is leaving"}
	UpstreamRemoved         = Event{407, zerolog.InfoLevel, "registration of an upstream was removed"}
	UpstreamEjected         = Event{408, zerolog.WarnLevel, "upstream was ejected because of failures"}
	UpstreamInspected       = Event{409, zerolog.InfoLevel, "connection broke and its upstream was checked"}
	UpstreamPaused          = Event{410, zerolog.InfoLevel, "upstream has asked for a pause"}
	UpstreamLimited         = Event{411, zerolog.InfoLevel, "limit that an upstream names has changed"}
	RolloutOrdered          = Event{420, zerolog.InfoLevel, "version of a service was ordered"}
	RolloutAdvanced         = Event{421, zerolog.InfoLevel, "roll-out has entered a stage"}
	RolloutRejected         = Event{422, zerolog.WarnLevel, "version was rolled back"}
	RolloutWithdrawn        = Event{423, zerolog.InfoLevel, "order of a version was taken back"}
	RolloutStored           = Event{424, zerolog.InfoLevel, "status of a roll-out was written to the store"}
	RolloutEnded            = Event{425, zerolog.InfoLevel, "roll-out has ended at this daemon"}
	RequestFailed           = Event{500, zerolog.WarnLevel, "request failed"}
	RequestNotRun           = Event{501, zerolog.DebugLevel, "request was rejected before it ran"}
	RequestRejected         = Event{502, zerolog.InfoLevel, "request was rejected"}
	AttemptEnded            = Event{503, zerolog.InfoLevel, "attempt at an upstream has ended"}
	AttemptStarted          = Event{504, zerolog.InfoLevel, "stream was sent to an upstream"}
	RetryBudgetExhausted    = Event{505, zerolog.WarnLevel, "retry budget is exhausted"}
	CallerDisconnected      = Event{506, zerolog.InfoLevel, "caller has disconnected"}
	RequestAnswered         = Event{507, zerolog.InfoLevel, "upstream's response was forwarded"}
	SegmentEnded            = Event{508, zerolog.InfoLevel, "segment of a stream has ended"}
	StreamMoved             = Event{509, zerolog.InfoLevel, "stream continues at another upstream"}
	StreamBroken            = Event{510, zerolog.WarnLevel, "stream was aborted before its end"}
	HandoverStarted         = Event{511, zerolog.InfoLevel, "another upstream was asked to continue a stream"}
	MoveStarted             = Event{512, zerolog.InfoLevel, "move of a generation has started"}
	MoveEnded               = Event{513, zerolog.InfoLevel, "move of a generation has ended"}
	ResponseLimitExceeded   = Event{514, zerolog.WarnLevel, "response of an upstream exceeded a limit"}
	SendLimited             = Event{515, zerolog.InfoLevel, "request waited for a limited upstream or was not sent to it"}
	RequestCut              = Event{516, zerolog.WarnLevel, "request was cut by the end of the daemon"}
	RequestPanicked         = Event{517, zerolog.ErrorLevel, "request ended by a panic"}
	RejectionWithheld       = Event{518, zerolog.ErrorLevel, "request may have run and was not rejected as not run"}
	ExtraResponse           = Event{519, zerolog.InfoLevel, "extra response to an earlier request was skipped"}
	AdmissionRejected       = Event{520, zerolog.InfoLevel, "request was rejected by admission"}
	GenerationStopped       = Event{521, zerolog.InfoLevel, "engine was told to stop a generation that goes on elsewhere"}
	HandoverGivenUp         = Event{522, zerolog.WarnLevel, "engine did not stop a generation and keeps it"}
	CallsWait               = Event{530, zerolog.InfoLevel, "calls wait for places of a full service"}
	CallerRefused           = Event{540, zerolog.WarnLevel, "head of a request or connection of a caller was refused"}
	CallerCut               = Event{541, zerolog.WarnLevel, "daemon has closed a caller's connection before a whole answer"}
	AnswerLate              = Event{550, zerolog.InfoLevel, "answer was late"}
	ClaimNotStored          = Event{600, zerolog.ErrorLevel, "outcome of a claim could not be stored"}
	RequestSuspected        = Event{602, zerolog.WarnLevel, "request was running when an upstream crashed"}
	RequestQuarantined      = Event{603, zerolog.ErrorLevel, "request is quarantined"}
	KeyQuarantined          = Event{604, zerolog.ErrorLevel, "requests with a key are quarantined"}
	KeyTried                = Event{605, zerolog.InfoLevel, "request with a quarantined key runs on trial"}
	KeyCleared              = Event{606, zerolog.InfoLevel, "quarantine of a key has ended"}
	QuarantineStored        = Event{607, zerolog.InfoLevel, "quarantined keys were written to the store"}
	QuarantineLoaded        = Event{608, zerolog.InfoLevel, "quarantined keys were read from the store"}
	CommandSent             = Event{700, zerolog.InfoLevel, "command was sent to an engine"}
	CommandFailed           = Event{701, zerolog.WarnLevel, "command to an engine failed"}
	CommandFenced           = Event{702, zerolog.WarnLevel, "engine rejected a command with an old fencing token"}
	CertificateError        = Event{800, zerolog.ErrorLevel, "certificate cannot be loaded"}
)

// All returns the catalogue in the order of the numbers.
func All() []Event {
	return []Event{
		ProcessStarted,
		ProcessDraining,
		ProcessStopped,
		ProcessFailed,
		HostLeaving,
		HostIsolated,
		HostRejoined,
		ProcessSuspended,
		SettingsReloaded,
		DaemonRegistered,
		ConfigApplied,
		RecordUndecodable,
		WatchReopened,
		StoreDown,
		RecordChanged,
		RecordConflict,
		ConfigInForce,
		ConfigRegressed,
		HistoryGone,
		StoreRecovered,
		ReplicaPulled,
		WatchStarted,
		WatchEnded,
		EntryRejected,
		StoreLate,
		StoreRestored,
		LeaseAcquired,
		LeaseLost,
		ViewChanged,
		ViewExpired,
		PeerLost,
		PeerAlive,
		PeerPacketDropped,
		UpstreamStarted,
		UpstreamFailed,
		LeavingHostsChanged,
		RegistrationUndecodable,
		UpstreamRegistered,
		UpstreamLeavingReported,
		UpstreamRemoved,
		UpstreamEjected,
		UpstreamInspected,
		UpstreamPaused,
		UpstreamLimited,
		RolloutOrdered,
		RolloutAdvanced,
		RolloutRejected,
		RolloutWithdrawn,
		RolloutStored,
		RolloutEnded,
		RequestFailed,
		RequestNotRun,
		RequestRejected,
		AttemptEnded,
		AttemptStarted,
		RetryBudgetExhausted,
		CallerDisconnected,
		RequestAnswered,
		SegmentEnded,
		StreamMoved,
		StreamBroken,
		HandoverStarted,
		MoveStarted,
		MoveEnded,
		ResponseLimitExceeded,
		SendLimited,
		RequestCut,
		RequestPanicked,
		RejectionWithheld,
		ExtraResponse,
		AdmissionRejected,
		GenerationStopped,
		HandoverGivenUp,
		CallsWait,
		CallerRefused,
		CallerCut,
		AnswerLate,
		ClaimNotStored,
		RequestSuspected,
		RequestQuarantined,
		KeyQuarantined,
		KeyTried,
		KeyCleared,
		QuarantineStored,
		QuarantineLoaded,
		CommandSent,
		CommandFailed,
		CommandFenced,
		CertificateError,
	}
}

// Logger writes events as JSON lines. The zero value and nil discard them.
type Logger struct {
	log zerolog.Logger
}

// New returns a logger that writes events of the level and above, each with the
// time and the host's name.
func New(w io.Writer, level zerolog.Level, host bramleytack.HostID) *Logger {
	return &Logger{log: zerolog.New(w).Level(level).With().Timestamp().Str("host", string(host)).Logger()}
}

// Event starts a line, which is written when the caller calls Send. It returns nil,
// whose methods do nothing, for an event below the logger's level.
func (l *Logger) Event(e Event) *zerolog.Event {
	if l == nil {
		return nil
	}
	if e.Level < l.log.GetLevel() {
		return nil
	}
	return l.log.WithLevel(e.Level).Str("event", fmt.Sprintf("BT%03d", e.Number)).Str("text", e.Text)
}
