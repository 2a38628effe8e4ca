package btfleet

import (
	"cmp"
	"time"

	"bramleytack"
)

// Names of a fleet's records.
const (
	Region    = "qld"
	Cell      = "qld-1"
	Model     = "crease-lm"
	Version   = "1"
	Service   = "counter-app"
	Workspace = "stylists"
)

// engineWarmAfter is the number of completed generations that warm an engine.
// An owner doubles its limit after two successes for each unit of the cold
// limit, so that the engine has to be warm by then.
const engineWarmAfter = engineCold

// Domains are the failure domains. Processes are spread over them in turn.
var Domains = []bramleytack.FailureDomainID{"qld-a", "qld-b", "qld-c"}

// Config describes a fleet. Bin, Dir and Timer are required; other zero fields
// take the sizes of today's deployment.
type Config struct {
	// Bin holds the programs, Dir receives settings and logs.
	Bin   string
	Dir   string
	Timer bramleytack.Timer

	Daemons  int
	Engines  int
	Services int
	// EntriesValidFor is how long callers keep an entry list, and with it the
	// shortest duration of a graceful shutdown.
	EntriesValidFor time.Duration
	// MaxQueueTime bounds the wait for capacity.
	MaxQueueTime time.Duration
	// Step is the time that an engine takes for a step.
	Step time.Duration
	// Work is the time that a service takes for a call.
	Work time.Duration
	// EngineColdLimit makes engines die above this concurrency while they are
	// cold. Zero takes the limit of the records.
	EngineColdLimit int
	// EngineColdGrace is the time after an unannounced switch to cold during
	// which an engine survives its old load.
	EngineColdGrace time.Duration
	// EngineRestartAfter restarts a crashed engine in its process.
	EngineRestartAfter time.Duration
	// HostLag is the time until a change of the host list shows.
	HostLag time.Duration
}

func (c Config) withDefaults() Config {
	c.Daemons = cmp.Or(c.Daemons, 8)
	c.Engines = cmp.Or(c.Engines, 12)
	c.Services = cmp.Or(c.Services, 3)
	c.EntriesValidFor = cmp.Or(c.EntriesValidFor, time.Second)
	c.MaxQueueTime = cmp.Or(c.MaxQueueTime, 20*time.Second)
	c.Step = cmp.Or(c.Step, 8*time.Millisecond)
	c.EngineColdLimit = cmp.Or(c.EngineColdLimit, engineCold)
	c.Work = cmp.Or(c.Work, 20*time.Millisecond)
	return c
}
