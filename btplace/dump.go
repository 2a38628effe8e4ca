package btplace

import (
	"time"

	"bramleytack"
)

// Dump is the state of a Controller for the debug pages. It is the zero value on
// a daemon that does not hold the lease.
type Dump struct {
	// Acting is set while the daemon holds the lease. Age is the time since the
	// Controller first saw it.
	Acting bool              `json:"acting"`
	Fence  bramleytack.Fence `json:"fence,omitempty"`
	Age    time.Duration     `json:"age,omitempty"`
	// Version is the version of the stored object with the desired state.
	Version bramleytack.Revision `json:"version,omitempty"`
	// Desired is the state that was last read from the store or written to it.
	Desired State `json:"desired"`
	// Tokens is the content of the token bucket for loads when it was last used.
	Tokens  float64      `json:"loadTokens"`
	Error   string       `json:"error,omitempty"`
	Engines []EngineDump `json:"engines,omitempty"`
}

// EngineDump is an engine in a Dump.
type EngineDump struct {
	Upstream bramleytack.UpstreamID    `json:"upstream"`
	Instance bramleytack.InstanceID    `json:"instance,omitempty"`
	Role     string                    `json:"role,omitempty"`
	Models   []bramleytack.LoadedModel `json:"models,omitempty"`
	// Missed is the number of reports missed since the last one that was read.
	Missed int `json:"missed"`
	// FiguresAt is the time that the figures of the last report describe.
	FiguresAt   time.Time            `json:"figuresAt"`
	LastCommand *bramleytack.Command `json:"lastOrder,omitempty"`
	LastError   string               `json:"lastError,omitempty"`
	// RepeatFrom is the time from which the last command may be repeated.
	RepeatFrom time.Time `json:"repeatFrom,omitzero"`
}

// Dump returns the current state. It may be called while Run runs.
func (c *Controller) Dump() Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.term
	if t == nil {
		return Dump{}
	}
	d := Dump{
		Acting: true, Fence: t.fence, Age: c.Timer.Now().Sub(t.started), Version: t.version, Desired: t.state, Tokens: t.bucket.tokens,
	}
	if t.err != nil {
		d.Error = t.err.Error()
	}
	for _, e := range t.engines {
		d.Engines = append(d.Engines, e.dump())
	}
	return d
}

func (e *engine) dump() EngineDump {
	d := EngineDump{Upstream: e.record.ID, Missed: e.missed, FiguresAt: e.figuresAt}
	if e.report != nil {
		d.Instance, d.Role, d.Models = e.report.Instance, e.report.Role, e.report.Models
	}
	if e.last.at.IsZero() {
		return d
	}
	command := e.last.command
	d.LastCommand, d.RepeatFrom = &command, e.last.repeatFrom
	if e.last.err != nil {
		d.LastError = e.last.err.Error()
	}
	return d
}
